// Runners that do nothing for a while, as one whose machine hangs: calls there wait until the
// boxes take them elsewhere.

package sitebench

import "slices"

// noticeMillis is after how long boxes notice the silence of a runner that has calls.
const hangDetectionMillis = 1200.0

// goDark ends all that the runner does.
func (r *runner) hang() {
	r.hung, r.prefilling = true, false
	for _, j := range slices.Concat(r.active, r.urgent, r.normal) {
		r.reroute(j)
	}
	r.running, r.active, r.urgent, r.normal = 0, nil, nil, nil
	r.activeTokens, r.cached = 0, nil
	r.sim.schedule(hangDetectionMillis, func() { r.hangDetected = r.hung })
	r.notifyDrained()
}

// comeBack lets the runner work again, with nothing kept.
func (r *runner) recover() { r.hung, r.hangDetected = false, false }

// lose lets the box of a prompt take it elsewhere when it has noticed.
func (r *runner) reroute(j *job) {
	j.lost = true
	c := j.call
	r.sim.schedule(hangDetectionMillis, func() {
		held := boxWork{1, 0, int(c.tokens())}
		if !j.streaming {
			held.pending = c.pending
		}
		r.work[c.box].sub(held)
		if !j.streaming {
			c.waitUntil = r.sim.now + retryMillis
			c.place()
		}
	})
}
