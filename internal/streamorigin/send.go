// Sending origins to their holders.

package streamorigin

import (
	"context"
	"sync"

	"github.com/cespare/xxhash/v2"

	"github.com/cometlock/cometlock/internal/boottime"
)

// send sends the origins that holders do not have, and waits for the responses.
func (o *Origins) send(ctx context.Context) {
	var sends sync.WaitGroup
	for box, batch := range o.takeBatches() {
		sends.Go(func() { o.sendBatch(ctx, box, batch) })
	}
	sends.Wait()
}

// takeBatches returns the keys of the streams whose origins have to be sent, by holder.
func (o *Origins) takeBatches() map[Box][]Key {
	services := o.servicesToRecord()
	batches := map[Box][]Key{}
	if len(services) == 0 {
		return batches
	}
	now := boottime.Now()
	o.mu.Lock()
	defer o.mu.Unlock()
	boxes := o.others(now, true)
	o.checkAllIfChanged(boxes)
	for key, stream := range o.own {
		if !now.Before(stream.origin.Expires) || stream.checked || !services[stream.origin.Service] {
			continue
		}
		stream.checked = true
		for _, box := range holders(key, boxes) {
			if !stream.hasCopyAt(box) && len(batches[box]) < maxBatch {
				batches[box] = append(batches[box], key)
			}
			stream.checked = stream.checked && len(batches[box]) < maxBatch
		}
	}
	return batches
}

// checkAllIfChanged makes all streams be checked for copies if the boxes that may hold them have changed or
// have started again. The caller holds mu.
func (o *Origins) checkAllIfChanged(boxes []Box) {
	digest := uint64(len(boxes))
	for _, box := range boxes { // in any order
		digest ^= mix(xxhash.Sum64String(box.Name) ^ mix(xxhash.Sum64String(box.Process)) ^ mix(mix(xxhash.Sum64String(box.Address))))
	}
	if digest == o.checkedBoxes {
		return
	}
	o.checkedBoxes = digest
	for _, stream := range o.own {
		stream.checked = false
	}
}

// hasCopyAt reports whether a box has the origin, as far as this one knows. A box that has started again is
// empty.
func (s *ownStream) hasCopyAt(box Box) bool {
	process, sent := s.copies[box.Name]
	return sent && (box.Process == "" || box.Process == process)
}

// sendBatch sends origins to a holder. Those of a holder that does not respond are sent to the box that
// replaces it.
func (o *Origins) sendBatch(ctx context.Context, box Box, batch []Key) {
	now := boottime.Now()
	var origins request
	o.mu.Lock()
	for _, key := range batch {
		if stream := o.own[key]; stream != nil {
			origins.Origins = append(origins.Origins, encode(key, stream.origin, now))
		}
	}
	o.mu.Unlock()
	var answer response
	err := o.client.Exchange(ctx, box.Address, &origins, &answer, exchangeTimeout)
	if err != nil && ctx.Err() == nil {
		o.cfg.Logger.Info().Str("other", box.Name).Int("origins", len(batch)).Str("error", err.Error()).Msg("stream_origins_not_sent")
		o.avoid(box, now)
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, key := range batch {
		stream := o.own[key]
		switch {
		case stream == nil: // it has been completed
		case err != nil:
			stream.checked = false
		default:
			stream.copies[box.Name] = answer.Process
		}
	}
}
