package streamorigin

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/cometlock/cometlock/internal/baseversion"
)

// A stream without a record must not continue at another version than the base version, nor at that one where the
// log may lack the record.
func TestAStreamWithoutARecordContinuesAtTheBaseVersionOnly(t *testing.T) {
	base := &baseversion.Base{Version: "v1", Present: true, Era: 3}
	replaced := &baseversion.Base{Version: "v1", Present: true, Replaced: true, Era: 3}
	two, other := []string{"v1", "v2"}, []string{"v2"}
	shared := &baseversion.Base{Version: "v2", Present: true, Era: 3, Shares: []baseversion.Share{{Version: "v1", Weight: 1}}, Earlier: []baseversion.EarlierShares{{Shares: []baseversion.Share{{Version: "v2", Weight: 1}}, Until: time.Unix(0, 0)}}, Since: time.Unix(0, 0)}
	tests := []struct {
		name     string
		evidence Evidence
		known    bool
	}{
		{"two versions are listed", Evidence{Base: base, LogEra: 3, Versions: two}, true},
		{"only another version is listed", Evidence{Base: base, LogEra: 3, Versions: other}, true},
		{"no version is listed", Evidence{Base: base, LogEra: 3, Unlisted: true}, false},
		{"the service has none at present", Evidence{Base: &baseversion.Base{Era: 3}, LogEra: 3, Versions: []string{""}}, false},
		{"the log came back from a copy", Evidence{Base: base, LogEra: 4, Versions: two}, false},
		{"the log came back from a copy, another version is alone", Evidence{Base: base, LogEra: 4, Versions: other}, false},
		{"the log came back from a copy, the base version is alone", Evidence{Base: base, LogEra: 4, Versions: []string{"v1"}, MaxAge: 20 * time.Second, LongestUptime: 20 * time.Second}, true},
		{"the log came back from a copy, the base version is alone in a list with all servers again", Evidence{Base: base, LogEra: 4, Versions: []string{"v1"}, MaxAge: 20 * time.Second, EraSeenFor: rewriteTime}, true},
		{"the log came back from a copy, the base version is alone in a list that may lack servers", Evidence{Base: base, LogEra: 4, Versions: []string{"v1"}, MaxAge: 20 * time.Second, EraSeenFor: rewriteTime - 1}, false},
		{"the log came back from a copy, another version is alone in a list with all servers again", Evidence{Base: base, LogEra: 4, Versions: other, MaxAge: 20 * time.Second, EraSeenFor: time.Minute}, false},
		{"the log came back from a copy, two versions are in a list with all servers again", Evidence{Base: base, LogEra: 4, Versions: two, MaxAge: 20 * time.Second, EraSeenFor: time.Minute}, false},
		{"the log came back from a copy, the base version is alone at boxes that have started since", Evidence{Base: base, LogEra: 4, Versions: []string{"v1"}, MaxAge: 20 * time.Second, LongestUptime: 19 * time.Second}, false},
		{"the log was away while the stream may have begun", Evidence{Base: base, LogEra: 3, Versions: two, OutageEnded: 5 * time.Second, MaxAge: 20 * time.Second}, false},
		{"the log was away before", Evidence{Base: base, LogEra: 3, Versions: two, OutageEnded: 21 * time.Second, MaxAge: 20 * time.Second}, true},
		{"the log was away, streams of any age", Evidence{Base: base, LogEra: 3, Versions: two, OutageEnded: time.Hour}, false},
		{"the log was away, the base version is alone", Evidence{Base: base, LogEra: 3, Versions: []string{"v1"}, OutageEnded: time.Second}, true},
		{"the log has dropped records of the last seconds", Evidence{Base: base, LogEra: 3, Versions: two, RecordsFrom: 7, RecordsFor: 5 * time.Second, Patience: 10 * time.Second}, false},
		{"the log has dropped older records", Evidence{Base: base, LogEra: 3, Versions: two, RecordsFrom: 7, RecordsFor: 10 * time.Second, Patience: 10 * time.Second}, true},
		{"the log has dropped records that have been written again since", Evidence{Base: base, LogEra: 3, Versions: two, RecordsFrom: 7, RecordsFor: 15 * time.Second, Patience: 30 * time.Second}, true},
		{"the log may have dropped records that have not been written again", Evidence{Base: base, LogEra: 3, Versions: two, RecordsFrom: 7, RecordsFor: 14 * time.Second, Patience: 30 * time.Second}, false},
		{"the log has dropped records of the last seconds, the base version is alone", Evidence{Base: base, LogEra: 3, Versions: []string{"v1"}, RecordsFrom: 7}, true},
		{"the log has dropped records from before the base version was alone", Evidence{Base: &baseversion.Base{Version: "v1", Present: true, Era: 3, RecordsFrom: 7}, LogEra: 3, Versions: two, RecordsFrom: 7}, true},
		{"it replaced another one when such a stream may have begun", Evidence{Base: replaced, LogEra: 3, Versions: two, MaxAge: 2 * versionMemory, BaseAge: time.Second}, false},
		{"it replaced another one before", Evidence{Base: replaced, LogEra: 3, Versions: two, MaxAge: 2 * versionMemory, BaseAge: versionMemory}, true},
		{"it got its share when such a stream may have begun", Evidence{Base: shared, LogEra: 3, Versions: two, MaxAge: 20 * time.Second, BaseAge: 20*time.Second + baseversion.UseTime}, false},
		{"it got its share before", Evidence{Base: shared, LogEra: 3, Versions: two, MaxAge: 20 * time.Second, BaseAge: 20*time.Second + 2*baseversion.UseTime}, true},
		{"the call was sent to servers of several versions", Evidence{Base: base, LogEra: 3, Versions: two, Ambiguous: true}, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			g := NewWithT(t)
			software, known := Decide(test.evidence, 0)
			g.Expect(known).To(Equal(test.known))
			if known {
				g.Expect(software).To(Equal("v1"))
			}
		})
	}
}

// Two fields of a message with the same short name lose the value of one of them.
func TestFieldsOfAResponseReplaceEachOther(t *testing.T) {
	g := NewWithT(t)
	sent := response{Found: &wireOrigin{Key: []byte{1}, Service: "s", Software: "v1", Remaining: 1}, Versions: []string{"v1"}, Uptime: 2, Process: "p", Recorded: true, LogRead: true, Ambiguous: true, LogEra: 3, RecordsFrom: 4, RecordsFor: 5, OutageEnded: 6, Awaited: true, Appended: true, Bases: &wireBases{Table: []byte{7}, Age: 8}}
	value, err := msgpack.Marshal(&sent)
	g.Expect(err).NotTo(HaveOccurred())
	var received response
	g.Expect(msgpack.Unmarshal(value, &received)).To(Succeed())
	g.Expect(received).To(Equal(sent))
	value, err = msgpack.Marshal(&request{Origins: []wireOrigin{*sent.Found}, Key: []byte{1}, Service: "s", Record: true, Recorded: true, Await: true, Bases: true})
	g.Expect(err).NotTo(HaveOccurred())
	var asked request
	g.Expect(msgpack.Unmarshal(value, &asked)).To(Succeed())
	g.Expect(asked).To(Equal(request{Origins: []wireOrigin{*sent.Found}, Key: []byte{1}, Service: "s", Record: true, Recorded: true, Await: true, Bases: true}))
}
