package baseversion

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/vmihailenco/msgpack/v5"
)

// Shares that do not follow the number of servers overload the version with few of them while the log is unavailable.
func TestAVersionHasMoreStreamsThanItsShare(t *testing.T) {
	const streams = 20_000
	tests := []struct {
		name   string
		listed map[string]int
	}{
		{"a quarter", map[string]int{"v1": 2, "v2": 6}},
		{"three versions", map[string]int{"v1": 9, "v2": 3, "v3": 4}},
		{"one of many", map[string]int{"v1": 1, "v2": 15}},
		{"20,000 servers", map[string]int{"v1": 5000, "v2": 15_000}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			g := NewWithT(t)
			base := Base{Version: "v1", Present: true, Shares: sharesOf(test.listed)}
			servers, counts := 0, map[string]int{}
			for _, count := range test.listed {
				servers += count
			}
			for i := range streams {
				counts[base.For(HashOf(fmt.Sprint("request-", i)))]++
			}
			for version, count := range test.listed {
				want := float64(count) / float64(servers)
				g.Expect(float64(counts[version])/streams).To(BeNumerically("~", want, 0.02), version)
				g.Expect(base.ShareOf(version)).To(BeNumerically("~", want, 0.001), version)
			}
		})
	}
}

// A stream that began under earlier shares was taken for one of the present ones. A change of the shares must leave the
// versions of most streams as they are, since the others are refused for a while.
func TestAStreamOfEarlierSharesCountsAsOneOfThePresentOnes(t *testing.T) {
	g := NewWithT(t)
	changed := time.Now()
	first := Base{Version: "v1", Present: true}
	second, isChanged := NextAt(&first, Observation{Listed: map[string]int{"v1": 3, "v2": 5}, Remembered: []string{"v1", "v2"}}, changed)
	g.Expect(isChanged).To(BeTrue())
	third, isChanged := NextAt(&second, Observation{Listed: map[string]int{"v1": 1, "v2": 7}, Remembered: []string{"v1", "v2"}, KnownFor: minShareTime}, changed.Add(minShareTime))
	g.Expect(isChanged).To(BeTrue())
	const streams, life = 1000, 20 * time.Second
	moved := 0
	for i := range streams {
		stream := HashOf(fmt.Sprint("request-", i))
		version, certain := third.ForBegun(stream, changed.Add(minShareTime), life)
		g.Expect(version).To(Equal(third.For(stream)))
		g.Expect(certain).To(Equal(first.For(stream) == version && second.For(stream) == version), "just after")
		_, certain = third.ForBegun(stream, changed.Add(life+UseTime+lateMargin+minShareTime-2*time.Millisecond), life)
		g.Expect(certain).To(Equal(second.For(stream) == version), "when no stream of the first shares is left")
		_, certain = third.ForBegun(stream, changed.Add(life+UseTime+lateMargin+2*minShareTime), life)
		g.Expect(certain).To(BeTrue(), "when no stream of the second shares is left")
		if second.For(stream) != version {
			moved++
		}
	}
	g.Expect(moved).To(BeNumerically("~", streams/4, streams/20))
	later, isChanged := NextAt(&third, Observation{Listed: map[string]int{"v1": 7, "v2": 1}, Remembered: []string{"v1", "v2"}, KnownFor: time.Hour}, changed.Add(time.Hour))
	g.Expect(isChanged).To(BeTrue())
	g.Expect(later.Earlier).To(HaveLen(1), "shares of long ago are dropped")
}

// A box of an older version of the program must decode a table with shares, and a box of this one a table without.
func TestATableWithSharesIsNotDecodedByAnOlderVersion(t *testing.T) {
	g := NewWithT(t)
	base := Base{Version: "v1", Present: true, Since: time.UnixMilli(5), Era: 2, RecordsFrom: 7}
	shared := base
	shared.Shares, shared.Earlier = []Share{{"v1", 4}, {"v2", 12}}, []EarlierShares{{Shares: []Share{{"v1", 1}}, Until: time.UnixMilli(5)}}
	value, err := Encode(Table{"r": shared})
	g.Expect(err).NotTo(HaveOccurred())
	var older []struct {
		_msgpack struct{} `msgpack:",as_array"`

		Service, Version string
		Present          bool
		Millis           int64
		Replaced         bool
		Era, RecordsFrom int64
	}
	g.Expect(msgpack.Unmarshal(value, &older)).To(Succeed())
	g.Expect(older).To(HaveLen(1))
	g.Expect(older[0].Version).To(Equal("v1"))
	g.Expect(older[0].RecordsFrom).To(Equal(int64(7)))
	value, err = msgpack.Marshal(older)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(Decode(value)).To(Equal(Table{"r": base}))
}

// A record with large weights must not keep the process busy: each unit of weight takes a hash.
func TestWeightsOfARecordAreUnbounded(t *testing.T) {
	g := NewWithT(t)
	value, err := Encode(Table{"r": {Version: "v1", Present: true, Shares: []Share{{"v1", 1 << 40}, {"v2", -1}}}})
	g.Expect(err).NotTo(HaveOccurred())
	table, err := Decode(value)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(table["r"].Shares).To(Equal([]Share{{"v1", totalWeight}, {"v2", 1}}))
}
