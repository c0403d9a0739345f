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

func TestClaimsAreDecidedInLogOrder(t *testing.T) {
	key := Key{Organisation: "a", Text: uuid.Must(uuid.NewV7()).String()}
	other := Key{Organisation: "b", Text: key.Text}
	made, err := KeyTime(key.Text)
	NewWithT(t).Expect(err).NotTo(HaveOccurred())
	one, two, three := uuid.New(), uuid.New(), uuid.New()
	claimed := func(id uuid.UUID) Entry { return Entry{Kind: KindClaim, Key: key, ClaimID: id} }
	completed := func(id uuid.UUID) Entry {
		return Entry{Kind: KindComplete, Key: key, ClaimID: id, Response: StoredResponse{Status: 200}}
	}
	released := func(id uuid.UUID) Entry { return Entry{Kind: KindRelease, Key: key, ClaimID: id} }
	cases := []struct {
		name    string
		entries []Entry
		after   time.Duration // of the last entry
		want    Verdict       // of the last entry
	}{
		{"the first claim is granted", []Entry{claimed(one)}, 0, Granted},
		{"the second is not", []Entry{claimed(one), claimed(two)}, 0, Held},
		{"nor is a much later one", []Entry{claimed(one), claimed(two)}, MaxWindow, Held},
		{"a completed key returns its response", []Entry{claimed(one), completed(one), claimed(two)}, 0, Completed},
		{"a completion by another claim is ignored", []Entry{claimed(one), completed(two), claimed(three)}, 0, Held},
		{"a release frees the key", []Entry{claimed(one), released(one), claimed(two)}, 0, Granted},
		{"a release by another claim does not", []Entry{claimed(one), claimed(two), released(two), claimed(three)}, 0, Held},
		{"nor does a release after completion", []Entry{claimed(one), completed(one), released(one), claimed(two)}, 0, Completed},
		{"a release before its claim is ignored", []Entry{released(one), claimed(one), claimed(two)}, 0, Held},
		{"another body with the same key is rejected", []Entry{claimed(one), {Kind: KindClaim, Key: key, ClaimID: two, Digest: Digest{1}}}, 0, KeyReused},
		{"keys of organisations are independent", []Entry{claimed(one), {Kind: KindClaim, Key: other, ClaimID: two}}, 0, Granted},
		{"a key that is too old at the log's time is rejected", []Entry{claimed(one)}, MaxWindow + 2*time.Minute, OutsideWindow},
		{"a claim outside the window still holds the key", []Entry{claimed(one), claimed(two)}, MaxWindow + 2*time.Minute, Held},
		{"a key from the future is rejected", []Entry{claimed(one)}, -2 * time.Minute, OutsideWindow},
		{"an evicted key is too old to be granted again", []Entry{claimed(one), claimed(two)}, 3 * MaxWindow, OutsideWindow},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			g := NewWithT(t)
			table := newKeyTable()
			var got Decision
			for i, entry := range c.entries {
				at := made
				if i == len(c.entries)-1 {
					at = made.Add(c.after)
				}
				got = table.apply(entry, at)
			}
			g.Expect(got.Verdict).To(Equal(c.want))
		})
	}
}

// When records expire before a box has read them, an earlier claim may be among them. The box
// must reject pending claims and keys from before the gap instead of granting them.
func TestNoClaimIsGrantedAcrossALogGap(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		log := fakelog.New()
		newService := func() *Service {
			s := New(Config{Log: log, Incarnation: "box", Window: func() time.Duration { return time.Hour }})
			s.Preload()
			return s
		}
		service := newService()
		defer service.Close()
		time.Sleep(time.Second)
		old := Key{Organisation: "a", Text: KeyAt(uuid.Must(uuid.NewV7()).String(), time.Now())}
		decision, err := service.Claim(context.Background(), old, Digest{})
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(decision.Verdict).To(Equal(Granted))

		// The log expires all records, long before their retention ends, while a claim is
		// pending.
		late := Key{Organisation: "a", Text: old.Text}
		number := streamOf(late)
		s := service.stream(number)
		s.mu.Lock()
		waiting := make(chan result, 1)
		s.pending[uuid.New()] = waiting
		s.mu.Unlock()
		s.Reset(1, time.Now())
		g.Expect((<-waiting).err).To(MatchError(ErrLogGap))

		// The log still stores everything within its retention. The key is younger than that,
		// so a box that reads all of the log may decide on it.
		g.Expect(s.historyStart).To(BeTemporally("~", time.Now().Add(MaxClockSkew-DefaultRetention), time.Second))
		s.mu.Lock()
		s.ready = true
		s.historyStart = time.Now()
		s.mu.Unlock()
		decision, err = service.Claim(context.Background(), late, Digest{})
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(decision.Verdict).To(Equal(OutsideWindow), "an earlier claim may exist in the records that were not read")
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
		table := newKeyTable()
		for _, entry := range entries {
			table.apply(entry, time.Unix(0, 0))
		}
	})
}
