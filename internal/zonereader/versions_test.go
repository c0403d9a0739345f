package zonereader

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/rs/zerolog"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/cometlock/cometlock/internal/fleet"
	"github.com/cometlock/cometlock/internal/partindex"
	"github.com/cometlock/cometlock/internal/registry"
	"github.com/cometlock/cometlock/internal/safepack"
	"github.com/cometlock/cometlock/internal/sharedlog"
)

// wordBefore and answerBefore are what boxes of the version before digests write and read.
type wordBefore struct {
	_msgpack struct{} `msgpack:",as_array"`

	Stream  sharedlog.Stream   `msgpack:"s"`
	Whole   bool               `msgpack:"w,omitempty"`
	Records []sharedlog.Record `msgpack:"r,omitempty"`
	Next    int64              `msgpack:"n"`
	Age     time.Duration      `msgpack:"a"`
	Unread  bool               `msgpack:"u,omitempty"`
}

type answerBefore struct {
	Streams []wordBefore            `msgpack:"s"`
	Stores  []partindex.StoreUpdate `msgpack:"p"`
	Held    time.Duration           `msgpack:"h"`
	Lost    bool                    `msgpack:"l,omitempty"`
}

// While boxes are replaced by those of a newer version, each kind is told by the other. With
// the digest as one more field of a word neither could read the other's answers ("number of
// fields in array-encoded struct has changed"), and all of them read the log themselves.
func TestBoxesBeforeAndAfterDigestsUnderstandEachOther(t *testing.T) {
	g := NewWithT(t)
	records := []sharedlog.Record{{Key: "server", Value: []byte("ready"), Offset: 4}}
	raw, err := msgpack.Marshal(&answerBefore{Streams: []wordBefore{{Stream: sharedlog.Servers, Records: records, Next: 5}}, Held: 1})
	g.Expect(err).NotTo(HaveOccurred())
	var told answer
	g.Expect(safepack.Unmarshal(raw, &told)).To(Succeed())
	g.Expect(told).To(Equal(answer{Streams: []registry.Word{{Stream: sharedlog.Servers, Records: records, Next: 5}}, Held: 1}))

	raw, err = msgpack.Marshal(&answer{Streams: []registry.Word{{Stream: sharedlog.Servers, Records: records, Next: 5, Digest: 7}}, Digests: []uint64{7}})
	g.Expect(err).NotTo(HaveOccurred())
	var before answerBefore
	g.Expect(safepack.Unmarshal(raw, &before)).To(Succeed())
	g.Expect(before).To(Equal(answerBefore{Streams: []wordBefore{{Stream: sharedlog.Servers, Records: records, Next: 5}}}))
}

// oneServer decodes each record as a server that is there.
type oneServer struct{ registry.Decoder }

func (oneServer) Server(record sharedlog.Record) (fleet.Update, error) {
	return fleet.Update{Key: record.Key, Offset: record.Offset, Server: &fleet.Server{Incarnation: record.Key}}, nil
}

func TestAnAnswerSaysWhatItsBoxKnowsInAll(t *testing.T) {
	g := NewWithT(t)
	known := registry.New(registry.Config{Decoder: oneServer{}, Fleet: fleet.New(fleet.Config{Logger: zerolog.Nop()}), Logger: zerolog.Nop()})
	known.TakeWord(registry.Word{Stream: sharedlog.Servers, Whole: true, Records: []sharedlog.Record{{Key: "server", Value: []byte("ready"), Offset: 4}}, Next: 5}, time.Now())
	z := New(Config{Registry: known, Parts: partindex.New(partindex.Config{}), Logger: zerolog.Nop()})
	told, _, _ := z.look(question{Streams: map[sharedlog.Stream]int64{sharedlog.Servers: 5}})
	g.Expect(told.Digests).To(HaveLen(len(told.Streams)))
	for i, word := range told.Streams {
		g.Expect(told.Digests[i]).To(Equal(word.Digest))
		g.Expect(word.Digest != 0).To(Equal(word.Stream == sharedlog.Servers))
	}
}
