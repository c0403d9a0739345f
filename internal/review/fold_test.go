package review

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// step is one record in a table of records to apply.
type step struct {
	offset  int64
	kind    Kind
	repeats int64
	after   time.Duration
}

func applySteps(steps []step) *entry {
	table := newReviewTable()
	begin := time.Unix(1_000_000, 0)
	for _, s := range steps {
		meta := Meta{ID: "r", Organisation: "one", AcceptedAt: begin}
		for _, record := range split(s.kind, meta, s.repeats, nil) {
			data, err := record.encode()
			if err != nil {
				panic(err)
			}
			table.apply(s.offset, begin.Add(s.after), data)
		}
	}
	return table.reviews["r"]
}

func TestTheFirstEndInLogOrderCounts(t *testing.T) {
	const none = original
	cases := []struct {
		name  string
		steps []step
		want  Status
		// ended is the offset of the record with the end's content.
		ended int64
	}{
		{"waiting", []step{{0, KindAccepted, none, 0}}, StatusQueued, -1},
		{"completed", []step{{0, KindAccepted, none, 0}, {1, KindCompleted, none, 0}}, StatusCompleted, 1},
		{"completed twice", []step{{0, KindAccepted, none, 0}, {1, KindCompleted, none, 0}, {2, KindCompleted, none, 0}}, StatusCompleted, 1},
		{"completed and then cancelled", []step{{0, KindAccepted, none, 0}, {1, KindCompleted, none, 0}, {2, KindCancelled, none, 0}}, StatusCompleted, 1},
		{"cancelled and then completed", []step{{0, KindAccepted, none, 0}, {1, KindCancelled, none, 0}, {2, KindCompleted, none, 0}}, StatusCancelled, 1},
		{"the first end exists only as a later copy", []step{{5, KindFailed, none, 0}, {7, KindCompleted, 1, 0}}, StatusCompleted, 7},
		{"a copy moves the content", []step{{1, KindCompleted, none, 0}, {7, KindCompleted, 1, 0}}, StatusCompleted, 7},
		{"an end whose request has expired", []step{{9, KindCompleted, 1, 0}}, StatusCompleted, 9},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			g := NewWithT(t)
			e := applySteps(c.steps)
			g.Expect(e.status()).To(Equal(c.want))
			if c.ended >= 0 {
				g.Expect(e.result.last()).To(Equal(c.ended))
			}
		})
	}
}

func TestNeededRecordsAreAppendedAgainBeforeTheyExpire(t *testing.T) {
	const none, day = original, 24 * time.Hour
	cases := []struct {
		name  string
		steps []step
		now   time.Duration
		want  Kind
	}{
		{"a new review", []step{{0, KindAccepted, none, 0}}, day / 4, 0},
		{"a waiting review after half of the retention", []step{{0, KindAccepted, none, 0}}, day/2 + time.Minute, KindAccepted},
		{"a review that was appended again", []step{{0, KindAccepted, none, 0}, {3, KindAccepted, 0, day / 2}}, day * 3 / 4, 0},
		{"an ended review", []step{{0, KindAccepted, none, 0}, {1, KindCompleted, none, 0}}, day/2 + time.Minute, KindCompleted},
		{"an end before a copy of the request", []step{{0, KindAccepted, none, 0}, {1, KindCompleted, none, 0}, {2, KindAccepted, 0, 0}}, 0, KindCompleted},
		{"a deletion before a copy of the request", []step{{0, KindAccepted, none, 0}, {1, KindDeleted, none, 0}, {2, KindAccepted, 0, 0}}, 0, KindDeleted},
		{"a deleted review", []step{{0, KindAccepted, none, 0}, {1, KindCompleted, none, 0}, {2, KindDeleted, none, 0}}, day / 4, 0},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			g := NewWithT(t)
			g.Expect(applySteps(c.steps).reappendKind(time.Unix(1_000_000, 0).Add(c.now), day)).To(Equal(c.want))
		})
	}
}

func TestReviewsAreEvictedOnlyAfterTheirRequestExpired(t *testing.T) {
	g := NewWithT(t)
	const day = 24 * time.Hour
	begin := time.Unix(1_000_000, 0)
	ended := applySteps([]step{{0, KindAccepted, original, 0}, {1, KindCompleted, original, time.Hour}})
	g.Expect(ended.evictable(begin.Add(2*time.Hour), time.Minute, day)).To(BeFalse(), "the request is still in the log")
	g.Expect(ended.evictable(begin.Add(25*time.Hour), time.Minute, day)).To(BeTrue())
	g.Expect(ended.evictable(begin.Add(25*time.Hour), 2*day, day)).To(BeFalse(), "the result can still be fetched")
	waiting := applySteps([]step{{0, KindAccepted, original, 0}})
	g.Expect(waiting.evictable(begin.Add(100*day), time.Minute, day)).To(BeFalse())
}

func TestContentsAreSplitIntoParts(t *testing.T) {
	g := NewWithT(t)
	content := make([]byte, 3*partBytes+5)
	records := split(KindAccepted, Meta{ID: "r", Organisation: "one"}, original, content)
	g.Expect(records).To(HaveLen(4))
	table := newReviewTable()
	for i, record := range records {
		data, err := record.encode()
		g.Expect(err).NotTo(HaveOccurred())
		e := table.apply(int64(10+2*i), time.Unix(0, 0), data)
		g.Expect(e != nil).To(Equal(i == 3), "part %d", i)
	}
	g.Expect(table.reviews["r"].request.offsets).To(Equal([]int64{10, 12, 14, 16}))
}

func TestPartsOfACrashedSenderAreDropped(t *testing.T) {
	g := NewWithT(t)
	table := newReviewTable()
	begin := time.Unix(0, 0)
	content := make([]byte, partBytes+1)
	first := split(KindAccepted, Meta{ID: "dead", Organisation: "one"}, original, content)[0]
	data, err := first.encode()
	g.Expect(err).NotTo(HaveOccurred())
	table.apply(0, begin, data)
	g.Expect(table.partials).To(HaveLen(1))
	for i, record := range split(KindAccepted, Meta{ID: "alive", Organisation: "one"}, original, content) {
		data, err := record.encode()
		g.Expect(err).NotTo(HaveOccurred())
		table.apply(int64(i+1), begin.Add(maxPartAge+time.Second), data)
	}
	g.Expect(table.partials).To(BeEmpty())
	g.Expect(table.reviews).To(HaveKey("alive"))
	g.Expect(table.reviews).NotTo(HaveKey("dead"))
}

func FuzzFold(f *testing.F) {
	data, err := split(KindAccepted, Meta{ID: "r"}, original, nil)[0].encode()
	if err != nil {
		f.Fatal(err)
	}
	f.Add(data)
	f.Fuzz(func(_ *testing.T, data []byte) {
		table := newReviewTable()
		if e := table.apply(0, time.Unix(0, 0), data); e != nil {
			e.reappendKind(time.Unix(1, 0), time.Hour)
			e.status()
		}
	})
}
