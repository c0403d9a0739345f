// Sending origins to their holders.

package streamorigin

import (
	"context"
	"sync"
	"time"

	"github.com/cometlock/cometlock/internal/boottime"
)

// send sends the origins that have to be sent now, and waits for the responses.
func (o *Origins) send(ctx context.Context) {
	var sends sync.WaitGroup
	for box, batch := range o.takeBatches() {
		sends.Go(func() { o.sendBatch(ctx, box, batch) })
	}
	sends.Wait()
}

// takeBatches returns the origins to send, by holder, of the services that have several versions.
func (o *Origins) takeBatches() map[Box][]pending {
	var services []string
	o.mu.Lock()
	for service := range o.unsent {
		services = append(services, service)
	}
	o.mu.Unlock()
	batches := map[Box][]pending{}
	for _, service := range services {
		if o.hasSeveralVersions(service) {
			o.addBatches(batches, service)
		}
	}
	return batches
}

// addBatches adds the origins of a service to the batches of their holders.
func (o *Origins) addBatches(batches map[Box][]pending, service string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	now := boottime.Now()
	boxes := o.others(now, true)
	queue := o.unsent[service]
	count := min(len(queue), maxBatch)
	if o.unsent[service] = queue[count:]; len(queue) == count {
		delete(o.unsent, service)
	}
	for _, each := range queue[:count] {
		if !now.Before(each.origin.Expires) {
			continue
		}
		each.sends++
		for _, box := range holders(each.key, boxes) {
			batches[box] = append(batches[box], each)
		}
	}
}

// sendBatch sends origins to a holder. Those of a holder that does not respond are sent again, to the box
// that replaces it.
func (o *Origins) sendBatch(ctx context.Context, box Box, batch []pending) {
	now := boottime.Now()
	var origins request
	for _, each := range batch {
		origins.Origins = append(origins.Origins, encode(each.key, each.origin, now))
	}
	var ignored response
	if err := o.client.Exchange(ctx, box.Address, &origins, &ignored, exchangeTimeout); err != nil && ctx.Err() == nil {
		o.cfg.Logger.Info().Str("other", box.Name).Int("origins", len(batch)).Str("error", err.Error()).Msg("stream_origins_not_sent")
		o.avoid(box, now)
		o.sendAgain(batch, now)
	}
}

// sendAgain adds origins to those to send, unless they were sent often enough.
func (o *Origins) sendAgain(batch []pending, now time.Time) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, each := range batch {
		if each.sends < maxSends {
			o.addUnsent(each, now)
		}
	}
}
