// While origins cannot be recorded, new streams go to servers of the base version, which need no record.

package streamorigin

import (
	"context"
	"time"

	"github.com/cometlock/cometlock/internal/baseversion"
	"github.com/cometlock/cometlock/internal/boottime"
)

// retryRecordInterval is the time between two tries to record the origins whose record failed.
const retryRecordInterval = 500 * time.Millisecond

// unrecordable has the origins whose record failed last; it is empty while records succeed.
type unrecordable struct {
	origins []wireOrigin
	triedAt time.Time
}

// noteRecordResult records whether a batch of origins is in the log.
func (o *Origins) noteRecordResult(batch *awaitedBatch) {
	o.mu.Lock()
	defer o.mu.Unlock()
	before := len(o.unrecordable.origins) > 0
	o.unrecordable = unrecordable{}
	if !batch.recorded {
		o.unrecordable = unrecordable{origins: batch.origins, triedAt: boottime.Now()}
	}
	if before == batch.recorded {
		o.cfg.Logger.Info().Bool("recorded", batch.recorded).Int("origins", len(batch.origins)).Msg("stream_records_changed")
	}
}

// noteWaitFailed records that a call has waited in vain for a record, which may still be under way. The call itself and
// those after it need to know, and not only when the record has failed.
func (o *Origins) noteWaitFailed(call context.Context, batch *awaitedBatch) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if call.Err() == nil && batch != nil && len(o.unrecordable.origins) == 0 && !batch.isRecorded() {
		o.unrecordable = unrecordable{origins: batch.origins, triedAt: boottime.Now()}
	}
}

// retryRecord tries again to record the origins whose record failed, so that the box notices when records succeed.
func (o *Origins) retryRecord(ctx context.Context) {
	o.mu.Lock()
	failed := o.unrecordable
	o.mu.Unlock()
	if len(failed.origins) == 0 || boottime.Since(failed.triedAt) < retryRecordInterval {
		return
	}
	recorder, self := o.recorder()
	outcome := o.recordAwaited(ctx, recorder, self, failed.origins)
	if outcome == originsRefused || outcome == noResponse {
		o.avoidRecorder(recorder)
	}
	o.noteRecordResult(&awaitedBatch{origins: failed.origins, recorded: outcome == originsAppended})
}

// PreferredVersion returns the software version that should serve a new stream of a service: its base version while
// origins cannot be recorded, which share of the new streams have. found is false while any version may.
func (o *Origins) PreferredVersion(service string, stream uint64) (software string, share float64, found bool) {
	if o.cfg.Bases == nil {
		return "", 0, false
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	base, known := o.bases.table[service]
	isUsable := known && base.Present && base.Era == o.cfg.LogEra() && boottime.Since(o.bases.readAt) < baseversion.UseTime
	if !isUsable || len(o.unrecordable.origins) == 0 {
		return "", 0, false
	}
	software = base.For(stream)
	return software, base.ShareOf(software), true
}
