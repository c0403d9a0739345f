// Recording origins in the platform's log, through a box that does so for many others (package originlog).

package streamorigin

import (
	"context"
	"time"

	"github.com/cometlock/cometlock/internal/boottime"
	"github.com/cometlock/cometlock/internal/delegate"
	"github.com/cometlock/cometlock/internal/originlog"
	"github.com/cometlock/cometlock/internal/waiting"
)

const (
	// recordDelay is how long origins are collected before they are recorded. Streams that end in that time,
	// most of the brief ones, need no record.
	recordDelay = 60 * time.Millisecond
	// rerecordInterval is the time after which the origin of a stream in flight is recorded again, since the log
	// keeps records for a bounded time. Most streams have ended by then.
	rerecordInterval = 10 * time.Second
	// recorderTimeout bounds the requests for an origin to recorders, which may have to read the log. The box
	// reads the log itself after that, within the first second of its caller.
	recorderTimeout = 500 * time.Millisecond
	// recorderTries is the number of recorders that are asked for an origin, one after the other.
	recorderTries = 3
)

// recorderRole is the role of a box that records the origins of others and reads them back. Few boxes do, since
// each call of the log has a price.
var recorderRole = delegate.Config{Role: "origins", BoxesPerDelegate: 192}

// recorder returns the box that records for this one; self is set if this one does so itself. The choice is
// used for recheckInterval, since it takes 0.7 ms among 2,000 boxes.
func (o *Origins) recorder() (box Box, self bool) {
	o.mu.Lock()
	last := o.chosenRecorder
	o.mu.Unlock()
	if boottime.Since(last.at) < recheckInterval {
		return last.Box, last.self
	}
	box, self = o.chooseRecorder()
	o.mu.Lock()
	defer o.mu.Unlock()
	o.chosenRecorder = recorderChoice{Box: box, self: self, at: boottime.Now()}
	return box, self
}

// recorderChoice is the recorder that a box uses.
type recorderChoice struct {
	Box
	self bool
	at   time.Time
}

func (o *Origins) chooseRecorder() (box Box, self bool) {
	others := o.cfg.Others()
	now := boottime.Now()
	o.mu.Lock()
	defer o.mu.Unlock()
	candidates := make([]delegate.Box, 0, len(others))
	for _, other := range others {
		if other.Address != "" {
			unavailable := other.Unavailable || now.Before(o.failedRecorders[other.Name])
			candidates = append(candidates, delegate.Box{Name: other.Name, Zone: other.Zone, Cores: other.Cores, Unavailable: unavailable})
		}
	}
	this := delegate.Box{Name: o.cfg.Self.Name, Zone: o.cfg.Self.Zone, Cores: o.cfg.Self.Cores, Unavailable: now.Before(o.failedRecorders[o.cfg.Self.Name])}
	chosen, found := delegate.Choose(recorderRole, this, candidates)
	for _, other := range others {
		if found && other.Name == chosen.Name {
			return other, false
		}
	}
	return o.cfg.Self, true
}

// avoidRecorder records that a box does not respond or cannot write to the log.
func (o *Origins) avoidRecorder(box Box) {
	o.mu.Lock()
	defer o.mu.Unlock()
	avoidIn(o.failedRecorders, box, boottime.Now())
	o.chosenRecorder = recorderChoice{}
}

// LoopRecord hands the origins of this box's streams to the recorder until ctx ends.
func (o *Origins) LoopRecord(ctx context.Context) {
	wake := o.recordWake.Chan()
	for ctx.Err() == nil {
		waiting.ForOrSignal(ctx, recheckInterval, wake)
		waiting.For(ctx, recordDelay)
		wake = o.recordWake.Chan() // before the work, so that it is signalled for streams that begin meanwhile
		o.record(ctx)
	}
}

// record hands over the origins that the recorder does not have yet.
func (o *Origins) record(ctx context.Context) {
	services := o.servicesToRecord()
	if len(services) == 0 {
		return
	}
	recorder, self := o.recorder()
	for ctx.Err() == nil {
		keys, origins := o.takeUnrecorded(recorder, services)
		if len(keys) == 0 {
			return
		}
		at := boottime.Now()
		if !o.handOver(ctx, recorder, self, origins) {
			return
		}
		o.noteRecorded(keys, recorder, at)
	}
}

// servicesToRecord returns the services of this box's streams that have several software versions, or one that is not
// the base version.
func (o *Origins) servicesToRecord() map[string]bool {
	o.mu.Lock()
	began := map[Origin]struct{}{}
	for _, stream := range o.own {
		began[Origin{Service: stream.origin.Service, Software: stream.origin.Software}] = struct{}{}
	}
	o.mu.Unlock()
	services := map[string]bool{}
	for origin := range began {
		if o.hasSeveralVersions(origin.Service) || o.cfg.Bases != nil && o.mayNeedRecord(origin.Service, origin.Software) {
			services[origin.Service] = true
		}
	}
	return services
}

// mayNeedRecord reports whether any stream of a version of a service needs a record.
func (o *Origins) mayNeedRecord(service, software string) bool {
	base, isUsable := o.usableBase(service)
	return !isUsable || !base.IsOnly(software)
}

// takeUnrecorded returns some of the streams in flight of certain services that the recorder does not have. After
// the log came back from a copy it has to get all of them again.
func (o *Origins) takeUnrecorded(recorder Box, services map[string]bool) (keys []Key, origins []wireOrigin) {
	era := o.cfg.LogEra()
	now := boottime.Now()
	o.mu.Lock()
	defer o.mu.Unlock()
	if era != o.recordedEra {
		o.recordedEra = era
		for _, stream := range o.own {
			stream.recorder = ""
		}
	}
	for key, stream := range o.own {
		if now.Before(stream.origin.Expires) && !stream.isRecordedBy(recorder, now) && services[stream.origin.Service] && len(keys) < maxBatch {
			keys, origins = append(keys, key), append(origins, encodeToRecord(key, stream.origin, now)...)
		}
	}
	return keys, origins
}

// isRecordedBy reports whether a process of a box has lately taken the origin, as far as this one knows. A
// process that has ended may not have written what it took. Both processes are as other boxes report them,
// which may lag behind: a recorder that has restarted gets the origin once more when its report arrives.
func (s *ownStream) isRecordedBy(recorder Box, now time.Time) bool {
	return now.Sub(s.recordedAt) < rerecordInterval && s.recorder == recorder.Name && (recorder.Process == "" || recorder.Process == s.recorderProcess)
}

// handOver hands origins to the recorder, and reports whether it took them.
func (o *Origins) handOver(ctx context.Context, recorder Box, self bool, origins []wireOrigin) bool {
	if self {
		if !o.recordAll(origins) {
			o.avoidRecorder(recorder)
		}
		return true
	}
	var answer response
	err := o.client.Exchange(ctx, recorder.Address, &request{Origins: origins, Record: true}, &answer, exchangeTimeout)
	if err == nil && answer.Recorded {
		return true
	}
	if ctx.Err() == nil {
		reason := "it does not record them"
		if err != nil {
			reason = err.Error()
		}
		o.cfg.Logger.Info().Str("other", recorder.Name).Int("origins", len(origins)).Str("error", reason).Msg("stream_origins_not_handed_over")
		o.avoidRecorder(recorder)
	}
	return false
}

// recordAll adds origins to those that this box records. It returns false if another box should do so.
func (o *Origins) recordAll(origins []wireOrigin) bool {
	return o.cfg.Writer.Add(loggedOrigins(origins))
}

// loggedOrigins returns origins in the form of the log, without invalid ones.
func loggedOrigins(origins []wireOrigin) []originlog.Origin {
	recorded := make([]originlog.Origin, 0, len(origins))
	for i := range origins {
		if len(origins[i].Key) == keySize {
			recorded = append(recorded, originlog.Origin{Key: Key(origins[i].Key), Service: origins[i].Service, Software: origins[i].Software})
		}
	}
	return recorded
}

// askRecorder looks for an origin in the log, through a recorder or by itself. The log may turn some boxes away
// and serve others.
func (o *Origins) askRecorder(ctx context.Context, asked request) response {
	asked.Recorded, asked.Bases = true, o.cfg.Bases != nil
	began, selfFailed := boottime.Now(), false
	for range recorderTries {
		recorder, self := o.recorder()
		left := recorderTimeout - boottime.Since(began)
		if self && selfFailed || left <= 0 || ctx.Err() != nil {
			break
		}
		var answer response
		if self {
			o.findInLog(ctx, asked, &answer)
			selfFailed = !answer.LogRead
		} else if err := o.client.Exchange(ctx, recorder.Address, &asked, &answer, left); err != nil {
			answer = response{}
		}
		if asked.Bases && answer.LogRead && answer.Found == nil && answer.Bases == nil {
			break // an older version of the program, which knows of no base versions
		}
		if answer.LogRead || answer.Found != nil {
			return answer
		}
		o.avoidRecorder(recorder)
	}
	var answer response
	if !selfFailed {
		o.findInLog(ctx, asked, &answer)
	}
	return answer
}

// findInLog looks for an origin in the log, and reads the base versions, which say what it is without a record.
func (o *Origins) findInLog(ctx context.Context, asked request, answer *response) {
	o.findRecorded(ctx, asked, answer)
	if asked.Bases && answer.LogRead && answer.Found == nil {
		answer.Bases = o.readBase(ctx, asked.Service)
		answer.LogRead = answer.Bases != nil
		answer.OutageEnded = o.sinceOutage()
	}
}

// sinceOutage returns how long ago the log was last away; zero if it was not.
func (o *Origins) sinceOutage() time.Duration {
	if o.cfg.Outages == nil {
		return 0
	}
	elapsed, seen := o.cfg.Outages.SinceLast()
	if !seen {
		return 0
	}
	return max(elapsed, 1)
}

// findRecorded looks for an origin in the log.
func (o *Origins) findRecorded(ctx context.Context, asked request, answer *response) {
	var keys, announced []originlog.Key
	for _, key := range asked.keys() {
		keys, announced = append(keys, key), append(announced, announcedKey(key))
	}
	keys = append(keys, announced...)
	result, err := o.cfg.Reader.FindFirst(ctx, asked.Service, keys...)
	if err != nil {
		return // the reader has logged it
	}
	answer.LogRead, answer.Ambiguous = true, result.Ambiguous
	answer.RecordsFrom, answer.RecordsFor = result.From, result.CompleteFor
	if o.cfg.LogEra != nil {
		answer.LogEra = o.cfg.LogEra()
	}
	answer.Versions = append(answer.Versions, result.Versions...)
	if result.Found {
		answer.Found = &wireOrigin{Key: asked.Key, Service: result.Service, Software: result.Software, Remaining: originlog.Horizon}
	}
}
