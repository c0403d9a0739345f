package zonereader

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/rs/zerolog"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/cometlock/cometlock/internal/fleet"
	"github.com/cometlock/cometlock/internal/logposition"
	"github.com/cometlock/cometlock/internal/partindex"
	"github.com/cometlock/cometlock/internal/registry"
	"github.com/cometlock/cometlock/internal/safepack"
	"github.com/cometlock/cometlock/internal/sharedlog"
)

// oldUpdate and oldResponse are what boxes of the version before digests write and read.
type oldUpdate struct {
	_msgpack struct{} `msgpack:",as_array"`

	Stream  sharedlog.Stream   `msgpack:"s"`
	Whole   bool               `msgpack:"w,omitempty"`
	Records []sharedlog.Record `msgpack:"r,omitempty"`
	Next    int64              `msgpack:"n"`
	Age     time.Duration      `msgpack:"a"`
	Unread  bool               `msgpack:"u,omitempty"`
}

type oldResponse struct {
	Streams []oldUpdate             `msgpack:"s"`
	Stores  []partindex.StoreUpdate `msgpack:"p"`
	Held    time.Duration           `msgpack:"h"`
	Lost    bool                    `msgpack:"l,omitempty"`
}

// During a rolling update, boxes of both versions send each other updates. With the digest as one
// more field of an update, neither could decode the other's responses ("number of fields in
// array-encoded struct has changed"), and all of them read the log directly.
func TestResponsesAreCompatibleWithAndWithoutDigests(t *testing.T) {
	g := NewWithT(t)
	records := []sharedlog.Record{{Key: "server", Value: []byte("ready"), Offset: 4}}
	raw, err := msgpack.Marshal(&oldResponse{Streams: []oldUpdate{{Stream: sharedlog.Servers, Records: records, Next: 5}}, Held: 1})
	g.Expect(err).NotTo(HaveOccurred())
	var received response
	g.Expect(safepack.Unmarshal(raw, &received)).To(Succeed())
	g.Expect(received).To(Equal(response{Streams: []registry.StreamUpdate{{Stream: sharedlog.Servers, Records: records, Next: 5}}, Held: 1}))

	raw, err = msgpack.Marshal(&response{Streams: []registry.StreamUpdate{{Stream: sharedlog.Servers, Records: records, Next: 5, Digest: 7}}, Digests: []uint64{7}})
	g.Expect(err).NotTo(HaveOccurred())
	var old oldResponse
	g.Expect(safepack.Unmarshal(raw, &old)).To(Succeed())
	g.Expect(old).To(Equal(oldResponse{Streams: []oldUpdate{{Stream: sharedlog.Servers, Records: records, Next: 5}}}))
}

// oneServer decodes each record as an existing server.
type oneServer struct{ registry.Decoder }

func (oneServer) Server(record sharedlog.Record) (fleet.Update, error) {
	return fleet.Update{Key: record.Key, Offset: record.Offset, Server: &fleet.Server{Incarnation: record.Key}}, nil
}

func TestResponseContainsDigests(t *testing.T) {
	g := NewWithT(t)
	streams := registry.New(registry.Config{Decoder: oneServer{}, Fleet: fleet.New(fleet.Config{Logger: zerolog.Nop()}), Logger: zerolog.Nop()})
	streams.ApplyUpdate(registry.StreamUpdate{Stream: sharedlog.Servers, Full: true, Records: []sharedlog.Record{{Key: "server", Value: []byte("ready"), Offset: 4}}, Next: 5}, time.Now())
	reader := New(Config{Registry: streams, Parts: partindex.New(partindex.Config{}), Logger: zerolog.Nop()})
	sent, _, _ := reader.collect(request{Streams: map[sharedlog.Stream]int64{sharedlog.Servers: 5}}, true)
	g.Expect(sent.Digests).To(HaveLen(len(sent.Streams)))
	for i, update := range sent.Streams {
		g.Expect(sent.Digests[i]).To(Equal(update.Digest))
		g.Expect(update.Digest != 0).To(Equal(update.Stream == sharedlog.Servers))
	}
}

// A box of a version without eras took a position for an offset, and read nothing more from the log itself.
func TestFollowersWithoutErasGetNoPositionsWithEras(t *testing.T) {
	tests := []struct {
		eras    bool
		next    int64
		streams int
	}{
		{false, 5, 3},
		{false, logposition.New(1, 5), 2},
		{true, logposition.New(1, 5), 3},
	}
	for _, test := range tests {
		g := NewWithT(t)
		streams := registry.New(registry.Config{Decoder: oneServer{}, Fleet: fleet.New(fleet.Config{Logger: zerolog.Nop()}), Logger: zerolog.Nop()})
		streams.ApplyUpdate(registry.StreamUpdate{Stream: sharedlog.Servers, Full: true, Next: test.next}, time.Now())
		reader := New(Config{Registry: streams, Parts: partindex.New(partindex.Config{}), Logger: zerolog.Nop()})
		sent, _, _ := reader.collect(request{Streams: map[sharedlog.Stream]int64{sharedlog.Servers: 1}, Eras: test.eras}, true)
		g.Expect(sent.Streams).To(HaveLen(test.streams))
		g.Expect(sent.Digests).To(HaveLen(test.streams))
	}
}
