package baseversion

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/vmihailenco/msgpack/v5"
	"pgregory.net/rapid"
)

func drawTable(rt *rapid.T) Table {
	return rapid.MapOf(rapid.String(), rapid.Custom(func(rt *rapid.T) Base {
		return Base{
			Version: rapid.String().Draw(rt, "version"), Present: rapid.Bool().Draw(rt, "present"), Replaced: rapid.Bool().Draw(rt, "replaced"),
			Since: time.UnixMilli(rapid.Int64Range(0, 1<<45).Draw(rt, "since")), Era: rapid.Int64().Draw(rt, "era"),
			Shares: drawShares(rt), Earlier: drawEarlier(rt),
		}
	})).Draw(rt, "table")
}

func drawShares(rt *rapid.T) (shares []Share) {
	for range rapid.IntRange(0, 3).Draw(rt, "shares") {
		shares = append(shares, Share{Version: rapid.String().Draw(rt, "share"), Weight: rapid.IntRange(1, totalWeight).Draw(rt, "weight")})
	}
	return shares
}

func drawEarlier(rt *rapid.T) (earlier []EarlierShares) {
	for range rapid.IntRange(0, 3).Draw(rt, "earlier") {
		earlier = append(earlier, EarlierShares{Shares: drawShares(rt), Until: time.UnixMilli(rapid.Int64Range(0, 1<<45).Draw(rt, "until"))})
	}
	return earlier
}

func TestATableChangesInTheLog(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		g := NewWithT(rt)
		table := Table(drawTable(rt))
		value, err := Encode(table)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(Decode(value)).To(Equal(table))
	})
}

func TestAnInvalidTableIsDecoded(t *testing.T) {
	valid, err := Encode(Table{"runners": {Version: "v1", Present: true}})
	NewWithT(t).Expect(err).NotTo(HaveOccurred())
	tests := []struct {
		name  string
		value []byte
	}{
		{"no value", nil},
		{"another value", []byte("?")},
		{"a map", []byte{0x80}},
		{"cut off", valid[:len(valid)-1]},
		{"more entries than there are bytes", []byte{0xdd, 0xff, 0xff, 0xff, 0xff}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			_, err := Decode(test.value)
			NewWithT(t).Expect(err).To(HaveOccurred())
		})
	}
}

// No bytes from the log or another box may crash the process.
func FuzzDecode(f *testing.F) {
	value, err := Encode(Table{"runners": {Version: "v1", Present: true, Since: time.UnixMilli(1_000_000), Era: 3}, "": {Replaced: true}})
	if err != nil {
		f.Fatal(err)
	}
	f.Add(value)
	f.Add([]byte{0x90})
	f.Add([]byte{0xdd, 0xff, 0xff, 0xff, 0xff})
	extended, err := msgpack.Marshal([]any{[]any{"runners", "v1", true, 1_000_000, false, 3, "new"}})
	if err != nil {
		f.Fatal(err)
	}
	f.Add(extended)
	f.Fuzz(func(t *testing.T, value []byte) {
		table, err := Decode(value)
		if err != nil {
			return
		}
		value, err = Encode(table)
		if err != nil {
			t.Fatal(err)
		}
		if again, err := Decode(value); err != nil || len(again) != len(table) {
			t.Errorf("%v becomes %v: %v", table, again, err)
		}
	})
}
