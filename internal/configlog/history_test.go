package configlog_test

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"testing"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/cometlock/cometlock/internal/config"
	"github.com/cometlock/cometlock/internal/configlog"
	"github.com/cometlock/cometlock/internal/fakelog"
	"github.com/cometlock/cometlock/internal/logservice"
	"github.com/cometlock/cometlock/internal/rapidtest"
)

// referenceModel is a naive single copy of the configuration that keeps every record: it holds
// the version in force and the content after each offset, computed with maps.
type referenceModel struct {
	versions []int64
	contents []map[string]string
}

func (n *referenceModel) apply(offset int64, record configlog.Record) {
	version, content := config.NoVersion, map[string]string{}
	if len(n.versions) > 0 {
		version, content = n.versions[len(n.versions)-1], n.contents[len(n.contents)-1]
	}
	if record.Kind == configlog.KindChange && record.BaseVersion == version {
		next := maps.Clone(content)
		for _, name := range record.Change.Remove {
			delete(next, name)
		}
		for _, entry := range record.Change.Set {
			next[entry.Name] = string(entry.Value)
		}
		version, content = offset, next
	}
	n.versions = append(n.versions, version)
	n.contents = append(n.contents, content)
}

func contentOf(state configlog.State) map[string]string {
	content := map[string]string{}
	for _, entry := range state.Entries {
		content[entry.Name] = string(entry.Value)
	}
	return content
}

// history runs operators, boxes and the log through one random history.
type history struct {
	log   *fakelog.Log
	model referenceModel
	boxes []*configlog.Reader
	// highest is the highest version that each box has had in force since it was last started
	// without a state.
	highest []int64
	// drafts are changes that operators have prepared but not appended.
	drafts []configlog.Record
	faults int
}

func (h *history) append(t *rapid.T, record configlog.Record) {
	data, err := record.Encode()
	if err != nil {
		t.Fatal(err)
	}
	if rapid.IntRange(0, 4).Draw(t, "lose") == 0 {
		h.faults++
		h.log.SetFaults(fakelog.Faults{LoseResponses: 1})
	}
	offset, err := h.log.Append(context.Background(), configlog.Stream, data)
	if errors.Is(err, logservice.ErrAmbiguous) {
		offset = int64(len(h.model.versions))
	}
	h.log.SetFaults(fakelog.Faults{})
	h.model.apply(offset, record)
}

// draftChange reads the log through a box and drafts a change based on its state.
func (h *history) draftChange(t *rapid.T) {
	box := h.box(t)
	if _, err := box.Poll(context.Background(), 0, nil); err != nil {
		return
	}
	state, known := box.State()
	if !known {
		return
	}
	name := fmt.Sprintf("organisations/%d", rapid.IntRange(0, 5).Draw(t, "name"))
	change := config.Change{Set: []config.Entry{{Name: name, Value: []byte(rapid.StringMatching(`[a-z]{1,4}`).Draw(t, "value"))}}}
	if rapid.Bool().Draw(t, "remove") {
		change = config.Change{Remove: []string{name}}
	}
	h.drafts = append(h.drafts, configlog.Record{
		Kind: configlog.KindChange, ApplyID: fmt.Sprint(len(h.drafts)), BaseVersion: state.Version, Change: change,
		Digest: state.Entries.Apply(change).Digest(),
	})
}

func (h *history) box(t *rapid.T) *configlog.Reader {
	return h.boxes[rapid.IntRange(0, len(h.boxes)-1).Draw(t, "box")]
}

func (h *history) appendDraft(t *rapid.T) {
	if len(h.drafts) > 0 {
		h.append(t, rapid.SampledFrom(h.drafts).Draw(t, "draft"))
	}
}

func (h *history) checkpoint(t *rapid.T) {
	if state, known := h.box(t).State(); known {
		h.append(t, state.Checkpoint())
	}
}

// expire removes records, sometimes more than the checkpoints replace; then a new box can only
// get the state from a peer.
func (h *history) expire(t *rapid.T) {
	h.faults++
	h.log.Expire(configlog.Stream, int64(rapid.IntRange(0, len(h.model.versions)).Draw(t, "before")))
}

func (h *history) poll(t *rapid.T) {
	down := rapid.IntRange(0, 5).Draw(t, "down") == 0
	h.log.SetFaults(fakelog.Faults{Down: down})
	_, err := h.box(t).Poll(context.Background(), 0, nil)
	h.log.SetFaults(fakelog.Faults{})
	if err != nil && !down && !errors.Is(err, configlog.ErrNoCheckpoint) {
		t.Fatalf("poll: %v", err)
	}
}

// replace restarts a box without any state, as diskless boxes do.
func (h *history) replace(t *rapid.T) {
	h.faults++
	at := rapid.IntRange(0, len(h.boxes)-1).Draw(t, "box")
	h.boxes[at] = configlog.NewReader(h.log)
	h.highest[at] = config.NoVersion
}

// shareState sends the state of one box to another.
func (h *history) shareState(t *rapid.T) {
	if state, known := h.box(t).State(); known {
		h.box(t).ApplySnapshot(state)
	}
}

// check compares each box with the reference model.
func (h *history) check(t *rapid.T) {
	for i, box := range h.boxes {
		state, known := box.State()
		if !known || state.ReadTo < 0 {
			continue
		}
		if state.Version < h.highest[i] {
			t.Fatalf("box %d went back from version %d to %d", i, h.highest[i], state.Version)
		}
		h.highest[i] = state.Version
		if want := h.model.versions[state.ReadTo]; state.Version != want {
			t.Fatalf("box %d has version %d as of %d, the reference model has %d", i, state.Version, state.ReadTo, want)
		}
		if want := h.model.contents[state.ReadTo]; !maps.Equal(contentOf(state), want) {
			t.Fatalf("box %d has different content as of %d", i, state.ReadTo)
		}
	}
}

func TestMain(m *testing.M) { rapidtest.Main(m, rapidtest.Config{Checks: 1000, Steps: 80}) }

func TestRandomHistoriesMatchTheNaiveCopy(t *testing.T) {
	histories, faults, accepted := 0, 0, 0
	rapid.Check(t, func(t *rapid.T) {
		h := &history{log: fakelog.New()}
		for range 4 {
			h.boxes = append(h.boxes, configlog.NewReader(h.log))
			h.highest = append(h.highest, config.NoVersion)
		}
		t.Repeat(map[string]func(*rapid.T){
			"prepare": h.draftChange, "append": h.appendDraft, "checkpoint": h.checkpoint, "expire": h.expire,
			"poll": h.poll, "poll again": h.poll, "replace": h.replace, "tell": h.shareState, "": h.check,
		})
		histories++
		faults += h.faults
		for i, version := range h.model.versions {
			if version == int64(i) {
				accepted++
			}
		}
	})
	t.Logf("%d histories, %d faults, %d accepted changes, 0 violations", histories, faults, accepted)
	NewWithT(t).Expect(accepted).To(BeNumerically(">", 0), "a history in which nothing is accepted proves nothing")
}
