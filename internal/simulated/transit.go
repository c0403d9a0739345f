package simulated

import "time"

// Transit has requests and answers in transit. Its zero value is ready for use.
type Transit struct {
	deliveries []delivery
}

// delivery is a request or an answer in transit.
type delivery struct {
	at      time.Time
	deliver func()
}

// DeliverAfter schedules a delivery.
func (t *Transit) DeliverAfter(delay time.Duration, deliver func()) {
	t.deliveries = append(t.deliveries, delivery{time.Now().Add(delay), deliver})
}

// DeliverDue carries out the deliveries that are due. They may schedule others.
func (t *Transit) DeliverDue() {
	now, deliveries := time.Now(), t.deliveries
	t.deliveries = nil
	for _, d := range deliveries {
		if now.Before(d.at) {
			t.deliveries = append(t.deliveries, d)
		} else {
			d.deliver()
		}
	}
}
