package configlog_test

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"github.com/cometlock/cometlock/internal/config"
	"github.com/cometlock/cometlock/internal/configlog"
	"github.com/cometlock/cometlock/internal/fakelog"
	"github.com/cometlock/cometlock/internal/logservice"
)

func fileNamed(deployment string) *config.File { return &config.File{Deployment: deployment} }

func apply(log logservice.Log, id, deployment string) (int64, error) {
	cfg := configlog.ApplyConfig{Log: log, ApplyID: id, ReadBackTimeout: 5 * time.Second}
	return configlog.Apply(context.Background(), cfg, fileNamed(deployment))
}

func deploymentOf(g *WithT, log logservice.Log) string {
	reader := configlog.NewReader(log)
	g.Expect(reader.CatchUp(context.Background())).To(Succeed())
	state, _ := reader.State()
	file, err := state.Entries.File()
	g.Expect(err).NotTo(HaveOccurred())
	return file.Deployment
}

func TestApplyUnderFaultsOfTheLog(t *testing.T) {
	cases := []struct {
		name    string
		faults  fakelog.Faults
		wantErr error
		// wantAfter is the configuration in force after the last delayed append.
		wantAfter string
	}{
		{name: "no fault", wantAfter: "new"},
		{name: "the response is lost after the write", faults: fakelog.Faults{LoseResponses: 1}, wantAfter: "new"},
		{name: "the write takes effect late", faults: fakelog.Faults{LateAppends: 1, Delay: 2 * time.Second}, wantAfter: "new"},
		{name: "the write takes effect after the read-back timeout", faults: fakelog.Faults{LateAppends: 1, Delay: 20 * time.Second}, wantErr: configlog.ErrOutcomeUnknown, wantAfter: "new"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := NewWithT(t)
				log := fakelog.New()
				_, err := apply(log, "first", "old")
				g.Expect(err).NotTo(HaveOccurred())
				log.SetFaults(c.faults)
				version, err := apply(log, "second", "new")
				if c.wantErr != nil {
					g.Expect(errors.Is(err, c.wantErr)).To(BeTrue(), "got %v", err)
				} else {
					g.Expect(err).NotTo(HaveOccurred())
					g.Expect(version).To(Equal(int64(1)))
				}
				time.Sleep(time.Minute)
				g.Expect(deploymentOf(g, log)).To(Equal(c.wantAfter))
				g.Expect(log.Appends()).To(Equal(int64(2)), "an append without a response is never retried")
			})
		})
	}
}

func TestApplyWhileTheLogIsDownChangesNothing(t *testing.T) {
	g := NewWithT(t)
	log := fakelog.New()
	log.SetFaults(fakelog.Faults{Down: true})
	_, err := apply(log, "only", "new")
	g.Expect(err).To(HaveOccurred())
	log.SetFaults(fakelog.Faults{})
	g.Expect(log.Appends()).To(BeZero())
}

// racing delays every append until all operators have read the version in force.
type racing struct {
	logservice.Log
	ready *sync.WaitGroup
}

func (r racing) Append(ctx context.Context, stream string, data []byte) (int64, error) {
	r.ready.Done()
	r.ready.Wait()
	return r.Log.Append(ctx, stream, data)
}

func TestOfRacingOperatorsExactlyOneWins(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		const operators = 5
		log := fakelog.New()
		var ready, ended sync.WaitGroup
		ready.Add(operators)
		errs := make([]error, operators)
		for i := range operators {
			ended.Go(func() { _, errs[i] = apply(racing{log, &ready}, fmt.Sprint("apply-", i), fmt.Sprint("file-", i)) })
		}
		ended.Wait()
		winners := 0
		var winner string
		for i, err := range errs {
			if err == nil {
				winners++
				winner = fmt.Sprint(i)
			}
		}
		g.Expect(winners).To(Equal(1))
		for _, err := range errs {
			if err == nil {
				continue
			}
			conflict, ok := errors.AsType[*configlog.ConflictError](err)
			g.Expect(ok).To(BeTrue(), "got %v", err)
			g.Expect(conflict.ApplyID).To(Equal("apply-" + winner))
		}
		g.Expect(deploymentOf(g, log)).To(Equal("file-" + winner))
	})
}

// A reader that starts from a checkpoint must still apply the records between the checkpoint's
// "as of" offset and the checkpoint itself.
func TestCheckpointDoesNotRevertWhatCameBeforeIt(t *testing.T) {
	g := NewWithT(t)
	log := fakelog.New()
	ctx := context.Background()
	_, err := apply(log, "one", "old")
	g.Expect(err).NotTo(HaveOccurred())
	reader := configlog.NewReader(log)
	g.Expect(reader.CatchUp(ctx)).To(Succeed())
	stale, _ := reader.State()
	_, err = apply(log, "two", "new")
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(configlog.AppendCheckpoint(ctx, log, stale)).To(Succeed())
	log.Expire(configlog.Stream, 1)
	g.Expect(deploymentOf(g, log)).To(Equal("new"))

	log.Expire(configlog.Stream, 2)
	fresh := configlog.NewReader(log)
	g.Expect(fresh.CatchUp(ctx)).To(MatchError(configlog.ErrNoCheckpoint), "the change after the checkpoint's \"as of\" offset has expired")
}

func TestSnapshotsNeverDecreaseTheVersion(t *testing.T) {
	g := NewWithT(t)
	log := fakelog.New()
	ctx := context.Background()
	_, err := apply(log, "one", "old")
	g.Expect(err).NotTo(HaveOccurred())
	behind := configlog.NewReader(log)
	g.Expect(behind.CatchUp(ctx)).To(Succeed())
	old, _ := behind.State()
	_, err = apply(log, "two", "new")
	g.Expect(err).NotTo(HaveOccurred())
	ahead := configlog.NewReader(log)
	g.Expect(ahead.CatchUp(ctx)).To(Succeed())
	state, _ := ahead.State()

	g.Expect(ahead.ApplySnapshot(old)).To(BeFalse())
	g.Expect(behind.ApplySnapshot(state)).To(BeTrue())
	forged := state
	forged.Version, forged.ReadTo = 99, 99
	forged.Entries = old.Entries
	g.Expect(behind.ApplySnapshot(forged)).To(BeFalse(), "a state that does not match its digest is rejected")
}

// A box that has missed expired records keeps its version in force, even when a peer with an
// older version sends its state.
func TestSnapshotsNeverDecreaseTheVersionAfterALogGap(t *testing.T) {
	g := NewWithT(t)
	log := fakelog.New()
	ctx := context.Background()
	_, err := apply(log, "one", "old")
	g.Expect(err).NotTo(HaveOccurred())
	behind := configlog.NewReader(log)
	g.Expect(behind.CatchUp(ctx)).To(Succeed())
	_, err = apply(log, "two", "new")
	g.Expect(err).NotTo(HaveOccurred())
	ahead := configlog.NewReader(log)
	g.Expect(ahead.CatchUp(ctx)).To(Succeed())
	_, err = apply(log, "three", "newer")
	g.Expect(err).NotTo(HaveOccurred())
	log.Expire(configlog.Stream, 3)
	g.Expect(ahead.CatchUp(ctx)).To(MatchError(configlog.ErrNoCheckpoint))

	old, _ := behind.State()
	g.Expect(ahead.ApplySnapshot(old)).To(BeFalse())
	state, known := ahead.State()
	g.Expect(known).To(BeFalse())
	g.Expect(state.Version).To(Equal(int64(1)))
}

func TestLargeRecordsAreCompressed(t *testing.T) {
	g := NewWithT(t)
	entries := config.Entries{}
	for i := range 10_000 {
		entries = append(entries, config.Entry{Name: fmt.Sprintf("organisations/%05d", i), Value: []byte(`{"name":"organisation","share":1,"max_in_flight":128,"priority":"normal"}`)})
	}
	state := configlog.State{Version: 7, ReadTo: 7, Digest: entries.Digest(), Entries: entries}
	data, err := state.Checkpoint().Encode()
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(len(data)).To(BeNumerically("<", logservice.MaxRecordBytes))
	record, err := configlog.Decode(data)
	g.Expect(err).NotTo(HaveOccurred())
	decoded, valid := record.CheckpointState()
	g.Expect(valid).To(BeTrue())
	g.Expect(decoded).To(Equal(state))
}

func FuzzDecode(f *testing.F) {
	data, err := configlog.EmptyState().Checkpoint().Encode()
	if err != nil {
		f.Fatal(err)
	}
	f.Add(data)
	f.Add([]byte{1, 0, 0})
	f.Fuzz(func(_ *testing.T, data []byte) {
		// For arbitrary bytes, Fold must not panic or accept a change whose digest does not
		// match.
		state, verdict := configlog.Fold(configlog.EmptyState(), 0, data)
		if verdict == configlog.Accepted && !state.Valid() {
			panic("accepted a change that does not match its digest")
		}
	})
}
