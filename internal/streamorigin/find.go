// Finding the origin of a stream that a caller resumes.

package streamorigin

import (
	"context"
	"errors"
	"slices"
	"syscall"
	"time"

	"github.com/cometlock/cometlock/internal/baseversion"
	"github.com/cometlock/cometlock/internal/boottime"
	"github.com/cometlock/cometlock/internal/waiting"
)

// Evidence is what is known of the origin of a stream.
type Evidence struct {
	// Found is set if the origin is known. Service and Software are the service and the version that began the
	// stream then; the service is not always the one that was asked for.
	Found    bool
	Service  string
	Software string
	// Unnamed is set if the caller does not name the stream, so that its origin cannot be looked for.
	Unnamed bool
	// Versions are the software versions of the service's servers that this box and those that responded
	// know of, and those in the log.
	Versions []string
	// Unlisted reports that no box listed servers of the service before the log was read, which has only the
	// versions of streams that were recorded.
	Unlisted bool
	// Asked and Responded count the other boxes, and Ended those of them that refused the connection: their processes
	// have ended. The rest are silent.
	Asked, Responded, Ended int
	// LongestUptime is how long this box or one of those that responded has been running at most. Streams that
	// began earlier are unknown to all of them.
	LongestUptime time.Duration
	// MaxAge is how long ago the stream began at most, and Patience how long callers resume it, which MaxAge exceeds by
	// what clocks and messages may differ; zero if unknown.
	MaxAge   time.Duration
	Patience time.Duration
	// LogRead reports that the log was read up to now, and LogFailed that it could not be.
	LogRead, LogFailed bool
	// Base is the base version of the service in the log, which it has had for BaseAge; nil if it has none there.
	Base    *baseversion.Base
	BaseAge time.Duration
	// LogEra is the newest era of the log that this box and the one that read it know of.
	LogEra int64
	// EraSeenFor is how long ago this box first saw that era; zero if it has not.
	EraSeenFor time.Duration
	// RecordsFrom is the position from which on all records were read, and RecordsFor how long ago the first of them
	// was appended.
	RecordsFrom int64
	RecordsFor  time.Duration
	// OutageEnded is how long ago the log was last away; zero if it was not, as far as the box that read it knows.
	// Origins may not have been recorded before that.
	OutageEnded time.Duration
	// Stream is the hash by which the base version of the stream is chosen.
	Stream uint64
	// Ambiguous reports that the call was sent to servers of several versions, any of which may have begun the
	// stream.
	Ambiguous bool
}

// BaseVersion returns the base version of the stream for logs; empty if it has none.
func (e *Evidence) BaseVersion() string {
	if e.Base == nil {
		return ""
	}
	return e.Base.For(e.Stream)
}

// Find is FindByAlias for a stream that has one key.
func (o *Origins) Find(ctx context.Context, key Key, service string) Evidence {
	return o.FindByAlias(ctx, key, Key{}, service)
}

// FindByAlias looks for the origin of a stream, at this box, at its holders, and then in the log, by its key and, if it
// is not known by that, by its alias. service is the one that the stream's route names now, which decides where there is
// no origin.
func (o *Origins) FindByAlias(ctx context.Context, key, alias Key, service string) Evidence {
	o.awaitStart(ctx)
	evidence := Evidence{Versions: slices.Clone(o.cfg.Versions(service)), LongestUptime: o.uptime()}
	targets, origin, found := o.lookUp(key, alias)
	if found {
		evidence.Found, evidence.Service, evidence.Software = true, origin.Service, origin.Software
		return evidence
	}
	asked := request{Key: key[:], Service: service}
	if alias != (Key{}) {
		asked.Alias = alias[:]
	}
	o.askHolders(ctx, targets, asked, &evidence)
	evidence.Unlisted = len(evidence.Versions) == 0
	if !evidence.Found && o.cfg.Reader != nil {
		answer := o.askRecorder(ctx, asked)
		evidence.LogRead, evidence.Ambiguous = answer.LogRead, answer.Ambiguous
		evidence.LogFailed = !answer.LogRead && answer.Found == nil
		evidence.add(&answer)
		if answer.Bases != nil {
			evidence.LogEra, evidence.OutageEnded = answer.LogEra, answer.OutageEnded
			evidence.RecordsFrom, evidence.RecordsFor = answer.RecordsFrom, answer.RecordsFor
			o.addBase(answer.Bases, &evidence, service)
		}
	}
	return evidence
}

// FindUnnamed returns what is known of the versions of a service, for a stream that its caller does not name.
func (o *Origins) FindUnnamed(ctx context.Context, service string) Evidence {
	evidence := o.Find(ctx, Key{}, service) // no stream has this key
	evidence.Unnamed = true
	return evidence
}

// addBase adds the base version of the service, as it was received or as this box knows it if it has read it since.
func (o *Origins) addBase(received *wireBases, evidence *Evidence, service string) {
	table, err := o.decodeBases(received)
	if err != nil {
		evidence.LogRead, evidence.LogFailed = false, true
		return
	}
	era := o.cfg.LogEra()
	if era > 0 && era >= evidence.LogEra && o.cfg.LogEraSeenAt != nil {
		evidence.EraSeenFor = boottime.Since(o.cfg.LogEraSeenAt())
	}
	evidence.LogEra = max(evidence.LogEra, era)
	o.mu.Lock()
	defer o.mu.Unlock()
	if !received.readAt().After(o.bases.readAt) {
		table = o.bases.table
	}
	if base, known := table[service]; known {
		evidence.Base, evidence.BaseAge = &base, max(boottime.TimeOfDay().Sub(base.Since), 0)
	}
}

const (
	// startTimeout bounds the wait of a lookup at a box that has just started. A caller whose streams broke off
	// with all boxes has few tries, and most boxes are that far within 50 ms.
	startTimeout = 300 * time.Millisecond
	// startPollInterval is the time between two checks whether the box is that far.
	startPollInterval = 5 * time.Millisecond
)

// awaitStart waits until a box that has just started knows the boxes to ask, for at most startTimeout. Without
// them each box would also read the log by itself.
func (o *Origins) awaitStart(ctx context.Context) {
	if o.cfg.Started == nil {
		return
	}
	deadline := boottime.Now().Add(startTimeout)
	for !o.cfg.Started() && boottime.Now().Before(deadline) && ctx.Err() == nil {
		waiting.For(ctx, startPollInterval)
	}
}

// askHolders asks boxes for an origin, all at once, until one of them has it.
func (o *Origins) askHolders(ctx context.Context, targets []Box, asked request, evidence *Evidence) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	responses := make(chan holderResponse, len(targets))
	for _, box := range targets {
		go o.runAsk(ctx, box, asked, responses)
	}
	evidence.Asked = len(targets)
	for range targets {
		received := <-responses
		switch {
		case received.err == nil:
			evidence.Responded++
			evidence.add(&received.response)
		case errors.Is(received.err, syscall.ECONNREFUSED):
			evidence.Ended++
		}
		if evidence.Found {
			return
		}
	}
}

// add adds what another box knows.
func (e *Evidence) add(answer *response) {
	for _, version := range answer.Versions {
		if !slices.Contains(e.Versions, version) {
			e.Versions = append(e.Versions, version)
		}
	}
	e.LongestUptime = max(e.LongestUptime, answer.Uptime)
	if answer.Found != nil {
		e.Found, e.Service, e.Software = true, answer.Found.Service, answer.Found.Software
	}
}

// lookUp returns the origin if this box has it, and otherwise the boxes to ask: the possible holders among
// all listed boxes, and those that replace the unavailable ones.
func (o *Origins) lookUp(key Key, aliases ...Key) (targets []Box, origin Origin, found bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	now := boottime.Now()
	for _, each := range append([]Key{key}, aliases...) {
		if origin, found = o.known.find(each, now); found {
			return nil, origin, true
		}
	}
	lists := [][]Box{o.others(now, false), o.others(now, true)}
	if len(lists[0]) == len(lists[1]) {
		lists = lists[:1]
	}
	for _, boxes := range lists {
		for _, box := range possibleHolders(key, append(boxes, o.cfg.Self)) {
			if box.Name != o.cfg.Self.Name && !containsBox(targets, box) {
				targets = append(targets, box)
			}
		}
	}
	return targets, Origin{}, false
}

// holderResponse is the response of a box, or the reason why there is none.
type holderResponse struct {
	response
	err error
}

// runAsk asks a box for an origin and sends its response.
func (o *Origins) runAsk(ctx context.Context, box Box, asked request, responses chan<- holderResponse) {
	var received holderResponse
	received.err = o.client.Exchange(ctx, box.Address, &asked, &received.response, exchangeTimeout)
	responses <- received
}
