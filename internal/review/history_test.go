package review_test

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"
	"github.com/rs/zerolog"
	"pgregory.net/rapid"

	"github.com/cometlock/cometlock/internal/fakelog"
	"github.com/cometlock/cometlock/internal/rapidtest"
	"github.com/cometlock/cometlock/internal/review"
)

func TestMain(m *testing.M) { rapidtest.Main(m, rapidtest.Config{Checks: 60, Steps: 30}) }

const (
	retention       = 24 * time.Hour
	resultRetention = 36 * time.Hour
)

// fleet is a set of boxes that share one log, in virtual time.
type fleet struct {
	log   *fakelog.Log
	mu    sync.Mutex
	names []string
	boxes map[string]*review.Service
	runs  map[string]int
	// fail is how many of the next runs fail; all runs fail until outage.
	fail    int
	outage  time.Time
	runTime time.Duration
}

func newFleet() *fleet {
	return &fleet{log: fakelog.New(), boxes: map[string]*review.Service{}, runs: map[string]int{}, runTime: 3 * time.Second}
}

func (f *fleet) live() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return append([]string(nil), f.names...)
}

// start starts a box; view is the set of boxes it considers live, or nil for the actual one.
func (f *fleet) start(name string, view []string) *review.Service {
	live := f.live
	if view != nil {
		live = func() []string { return view }
	}
	box := review.New(review.Config{
		Log: f.log, Logger: zerolog.Nop(), BoxName: name, LiveBoxes: live, Retention: retention,
		ResultRetention: func() time.Duration { return resultRetention }, MaxParallel: func() int { return 4 },
		Interval: 30 * time.Second, PollWait: 30 * time.Minute,
		Run: func(ctx context.Context, task review.Task) ([]byte, error) { return f.run(ctx, name, task) },
	})
	box.Start()
	f.mu.Lock()
	f.names = append(f.names, name)
	f.boxes[name] = box
	f.mu.Unlock()
	return box
}

func (f *fleet) run(ctx context.Context, box string, task review.Task) ([]byte, error) {
	f.mu.Lock()
	f.runs[task.Meta.ID]++
	failing := f.fail > 0 || time.Now().Before(f.outage)
	f.fail = max(0, f.fail-1)
	took := f.runTime
	f.mu.Unlock()
	select {
	case <-time.After(took):
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	if failing {
		return nil, errors.New("the engine failed")
	}
	return []byte(fmt.Sprintf("answer of %s to %s", box, task.Request)), nil
}

// kill stops a box without draining it.
func (f *fleet) kill(name string) {
	f.mu.Lock()
	box := f.boxes[name]
	delete(f.boxes, name)
	f.names = nil
	for other := range f.boxes {
		f.names = append(f.names, other)
	}
	f.mu.Unlock()
	if box != nil {
		box.Close()
	}
}

func (f *fleet) close() {
	for _, name := range f.live() {
		f.kill(name)
	}
}

func meta(id string) review.Meta {
	return review.Meta{ID: id, Organisation: "one", Model: "m", AcceptedAt: time.Now()}
}

func accept(box *review.Service, id string) error {
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	_, err := box.Accept(ctx, meta(id), []byte("request "+id))
	return err
}

// event is one random operation on the fleet.
type event struct {
	kind  string
	box   int
	delay time.Duration
	fault fakelog.Faults
}

func drawEvent(t *rapid.T) event {
	e := event{
		kind: rapid.SampledFrom([]string{"accept", "accept", "accept", "kill", "start", "fault", "heal", "fail", "outage", "wait long"}).Draw(t, "kind"),
		box:  rapid.IntRange(0, 3).Draw(t, "box"), delay: time.Duration(rapid.IntRange(0, 8000).Draw(t, "delay")) * time.Millisecond,
	}
	if e.kind == "fault" {
		e.fault = rapid.SampledFrom([]fakelog.Faults{
			{Down: true},
			{LoseResponses: 2},
			{LateAppends: 2, Delay: 7 * time.Second},
			{Delay: 2 * time.Second},
		}).Draw(t, "fault")
	}
	return e
}

// trial applies events and records which reviews were accepted.
type trial struct {
	*fleet
	accepted []string
	// rejected holds the reviews whose caller received ErrNotAccepted.
	rejected      []string
	results       map[string]string
	resultChanged string
	faults        int
	serial        int
}

func (tr *trial) play(e event) {
	time.Sleep(e.delay)
	names := tr.live()
	switch e.kind {
	case "accept":
		if len(names) == 0 {
			return
		}
		id := fmt.Sprint("review-", len(tr.accepted), "-", tr.serial)
		tr.serial++
		tr.mu.Lock()
		box := tr.boxes[names[e.box%len(names)]]
		tr.mu.Unlock()
		switch err := accept(box, id); {
		case err == nil:
			tr.accepted = append(tr.accepted, id)
		case errors.Is(err, review.ErrNotAccepted):
			tr.rejected = append(tr.rejected, id)
		}
	case "kill":
		tr.faults++
		if len(names) > 0 {
			tr.kill(names[e.box%len(names)])
		}
	case "start":
		if len(names) < 4 {
			tr.serial++
			tr.start(fmt.Sprint("box-", tr.serial), nil)
		}
	case "fault":
		tr.faults++
		tr.log.SetFaults(e.fault)
	case "heal":
		tr.log.SetFaults(fakelog.Faults{})
	case "fail":
		tr.faults++
		tr.mu.Lock()
		tr.fail += 2
		tr.mu.Unlock()
	case "outage":
		tr.faults++
		tr.mu.Lock()
		tr.outage = time.Now().Add(30 * time.Hour)
		tr.mu.Unlock()
	case "wait long":
		tr.advance(5 * time.Hour)
	}
	tr.collectResults()
}

// collectResults reads the results of all boxes and records any that differs from an earlier
// read.
func (tr *trial) collectResults() {
	for _, name := range tr.live() {
		tr.mu.Lock()
		box := tr.boxes[name]
		tr.mu.Unlock()
		for _, id := range tr.accepted {
			known, err := box.Get("one", id)
			if err != nil || known.Status != review.StatusCompleted {
				continue
			}
			if answer, err := box.Result(context.Background(), "one", id); err == nil {
				tr.noteResult(id, string(answer))
			}
		}
	}
}

func (tr *trial) noteResult(id, answer string) {
	if known, ok := tr.results[id]; ok && known != answer {
		tr.resultChanged = fmt.Sprintf("%s changed from %q to %q", id, known, answer)
	}
	tr.results[id] = answer
}

// advance advances the time while the log expires records as the platform does.
func (tr *trial) advance(d time.Duration) {
	if len(tr.live()) == 0 {
		// After the crash of all boxes, records remain only for the log's retention, so a box
		// must start before that time is over.
		tr.serial++
		tr.start(fmt.Sprint("box-", tr.serial), nil)
	}
	for range int(d / time.Hour) {
		time.Sleep(time.Hour)
		tr.log.ExpireOlder(retention)
	}
}

// violation describes the invariant that was violated, or is empty. It is called after all
// faults have been removed.
func (tr *trial) violation() string {
	tr.advance(31 * time.Hour) // longer than any outage
	for round := range 2 {
		// New boxes, other than those that ran the reviews, must return the results.
		for _, name := range tr.live() {
			tr.kill(name)
		}
		box := tr.start(fmt.Sprint("late-", round), nil)
		time.Sleep(10 * time.Minute)
		tr.collectResults()
		for _, id := range tr.accepted {
			if _, seen := tr.results[id]; !seen {
				return id + " was lost"
			}
		}
		for _, id := range tr.rejected {
			if _, err := box.Get("one", id); !errors.Is(err, review.ErrNotFound) {
				return id + " was rejected but exists"
			}
		}
		tr.advance(3 * time.Hour)
	}
	return tr.resultChanged
}

func TestEveryAcceptedReviewArrivesExactlyOnce(t *testing.T) {
	accepted, faults := 0, 0
	rapid.Check(t, func(rt *rapid.T) {
		events := rapid.SliceOfN(rapid.Custom(drawEvent), 5, 25).Draw(rt, "events")
		var violation string
		synctest.Test(t, func(*testing.T) {
			tr := &trial{fleet: newFleet(), results: map[string]string{}}
			tr.start("box-a", nil)
			tr.start("box-b", []string{"box-b"}) // considers itself the only live box: runs all reviews
			time.Sleep(time.Minute)
			for _, e := range events {
				tr.play(e)
			}
			tr.log.SetFaults(fakelog.Faults{})
			time.Sleep(time.Minute)
			violation = tr.violation()
			tr.close()
			accepted, faults = accepted+len(tr.accepted), faults+tr.faults
		})
		if violation != "" {
			rt.Fatal(violation)
		}
	})
	t.Logf("%d reviews accepted, %d faults, 0 lost, 0 changed", accepted, faults)
	NewWithT(t).Expect(accepted).To(BeNumerically(">", 100))
}
