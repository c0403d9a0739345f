// Runners that hang for a while, as when their machine hangs. Their calls wait until the boxes
// send them to other runners.

package sitebench

import "slices"

// hangDetectionMillis is the time after which boxes detect that a runner with calls no longer
// responds.
const hangDetectionMillis = 1200.0

// hang stops all work of the runner and loses its jobs and its cache.
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

// recover lets the runner work again, with an empty cache.
func (r *runner) recover() { r.hung, r.hangDetected = false, false }

// reroute marks a job as lost. Once its box detects the hang, it places the call again unless the
// answer has already started.
func (r *runner) reroute(j *job) {
	j.lost = true
	c := j.call
	r.sim.schedule(hangDetectionMillis, func() {
		load := boxWork{1, 0, int(c.tokens())}
		if !j.streaming {
			load.pending = c.pending
		}
		r.work[c.box].sub(load)
		if !j.streaming {
			c.waitUntil = r.sim.now + retryMillis
			c.place()
		}
	})
}
