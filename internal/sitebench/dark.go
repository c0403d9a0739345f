// Runners that do nothing for a while, as one whose machine hangs: calls there wait until the
// boxes take them elsewhere.

package sitebench

import "slices"

// noticeMillis is after how long boxes notice the silence of a runner that has calls.
const noticeMillis = 1200.0

// goDark ends all that the runner does.
func (r *runner) goDark() {
	r.dark, r.reading = true, false
	for _, j := range slices.Concat(r.runs, r.urgent, r.others) {
		r.lose(j)
	}
	r.running, r.runs, r.urgent, r.others = 0, nil, nil, nil
	r.held, r.kept = 0, nil
	r.world.after(noticeMillis, func() { r.missed = r.dark })
	r.tellDrained()
}

// comeBack lets the runner work again, with nothing kept.
func (r *runner) comeBack() { r.dark, r.missed = false, false }

// lose lets the box of a prompt take it elsewhere when it has noticed.
func (r *runner) lose(j *job) {
	j.lost = true
	c := j.call
	r.world.after(noticeMillis, func() {
		held := boxWork{1, 0, int(c.tokens())}
		if !j.answered {
			held.pending = c.pending
		}
		r.work[c.box].sub(held)
		if !j.answered {
			c.lookUntil = r.world.now + waitStep
			c.look()
		}
	})
}
