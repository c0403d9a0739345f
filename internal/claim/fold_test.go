package claim

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/uuid"
	. "github.com/onsi/gomega"

	"github.com/cometlock/cometlock/internal/fakelog"
)

func TestFoldDecidesByTheOrderOfTheLog(t *testing.T) {
	key := Key{Organisation: "a", Text: uuid.Must(uuid.NewV7()).String()}
	other := Key{Organisation: "b", Text: key.Text}
	made, err := KeyTime(key.Text)
	NewWithT(t).Expect(err).NotTo(HaveOccurred())
	one, two, three := uuid.New(), uuid.New(), uuid.New()
	claims := func(id uuid.UUID) Entry { return Entry{Kind: KindClaim, Key: key, ClaimID: id} }
	done := func(id uuid.UUID) Entry {
		return Entry{Kind: KindDone, Key: key, ClaimID: id, Answer: Answer{Status: 200}}
	}
	renounce := func(id uuid.UUID) Entry { return Entry{Kind: KindRenounce, Key: key, ClaimID: id} }
	cases := []struct {
		name    string
		entries []Entry
		after   time.Duration // of the last entry
		want    Verdict       // of the last entry
	}{
		{"the first wins", []Entry{claims(one)}, 0, Won},
		{"the second does not", []Entry{claims(one), claims(two)}, 0, Taken},
		{"nor much later", []Entry{claims(one), claims(two)}, MaxWindow, Taken},
		{"a finished one answers", []Entry{claims(one), done(one), claims(two)}, 0, Finished},
		{"another's end is not this one's", []Entry{claims(one), done(two), claims(three)}, 0, Taken},
		{"a renounced one frees the key", []Entry{claims(one), renounce(one), claims(two)}, 0, Won},
		{"another's renouncing does not", []Entry{claims(one), claims(two), renounce(two), claims(three)}, 0, Taken},
		{"nor renouncing after the end", []Entry{claims(one), done(one), renounce(one), claims(two)}, 0, Finished},
		{"a renouncing that comes before its claim is lost", []Entry{renounce(one), claims(one), claims(two)}, 0, Taken},
		{"another body is another request", []Entry{claims(one), {Kind: KindClaim, Key: key, ClaimID: two, Digest: Digest{1}}}, 0, OtherRequest},
		{"organisations never meet", []Entry{claims(one), {Kind: KindClaim, Key: other, ClaimID: two}}, 0, Won},
		{"a key too old for the log is void", []Entry{claims(one)}, MaxWindow + 2*time.Minute, TooOld},
		{"a void claim still holds the key", []Entry{claims(one), claims(two)}, MaxWindow + 2*time.Minute, Taken},
		{"a key from the future is void", []Entry{claims(one)}, -2 * time.Minute, TooOld},
		{"a forgotten key is too old to be won again", []Entry{claims(one), claims(two)}, 3 * MaxWindow, TooOld},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			g := NewWithT(t)
			f := newFold()
			var got Decision
			for i, entry := range c.entries {
				at := made
				if i == len(c.entries)-1 {
					at = made.Add(c.after)
				}
				got = f.apply(entry, at)
			}
			g.Expect(got.Verdict).To(Equal(c.want))
		})
	}
}

// A box whose place in the log has expired cannot tell whether an earlier claim
// was there. It decides nothing on such keys.
func TestLosingTheThreadOfTheLogDecidesNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		log := fakelog.New()
		newService := func() *Service {
			s := New(Config{Log: log, Claimer: "box", Window: func() time.Duration { return time.Hour }})
			s.Warm()
			return s
		}
		service := newService()
		defer service.Close()
		time.Sleep(time.Second)
		old := Key{Organisation: "a", Text: KeyAt(uuid.Must(uuid.NewV7()).String(), time.Now())}
		decision, err := service.Claim(context.Background(), old, Digest{})
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(decision.Verdict).To(Equal(Won))

		// All records expire, though far too early, while a claim is under way.
		late := Key{Organisation: "a", Text: old.Text}
		number := streamOf(late)
		s := service.stream(number)
		s.mu.Lock()
		waiting := make(chan result, 1)
		s.pending[uuid.New()] = waiting
		s.mu.Unlock()
		s.Reset(1, time.Now())
		g.Expect((<-waiting).err).To(MatchError(ErrUnknown))

		// What the log promises to hold still counts: the key is younger than
		// the retention, so a box that reads all of it may decide.
		g.Expect(s.covered).To(BeTemporally("~", time.Now().Add(Skew-DefaultRetention), time.Second))
		s.mu.Lock()
		s.ready = true
		s.covered = time.Now()
		s.mu.Unlock()
		decision, err = service.Claim(context.Background(), late, Digest{})
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(decision.Verdict).To(Equal(TooOld), "a claim from before what was read back may exist")
	})
}

func TestKeysAreUUIDsOfVersion7(t *testing.T) {
	g := NewWithT(t)
	for _, text := range []string{"", "1", uuid.New().String(), "00000000-0000-0000-0000-000000000000"} {
		_, err := KeyTime(text)
		g.Expect(err).To(HaveOccurred(), text)
	}
}

func FuzzDecode(f *testing.F) {
	data, err := encode([]Entry{{Kind: KindClaim, Key: Key{Organisation: "a", Text: "b"}}})
	if err != nil {
		f.Fatal(err)
	}
	f.Add(data)
	f.Fuzz(func(_ *testing.T, data []byte) {
		entries, err := Decode(data)
		if err != nil {
			return
		}
		folded := newFold()
		for _, entry := range entries {
			folded.apply(entry, time.Unix(0, 0))
		}
	})
}
