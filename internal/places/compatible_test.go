package places

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/cometlock/cometlock/internal/fleet"
	"github.com/cometlock/cometlock/internal/safepack"
)

// oldRequest and oldResponse are what boxes of the version before fair shares write and read.
type oldRequest struct {
	_msgpack struct{} `msgpack:",as_array"`

	Box            string                `msgpack:"b"`
	TargetZone     string                `msgpack:"o"`
	Zone           string                `msgpack:"z"`
	Service        string                `msgpack:"s"`
	Model          string                `msgpack:"m"`
	Exclude        []string              `msgpack:"x,omitempty"`
	AffinityKey    uint64                `msgpack:"h,omitempty"`
	TieBreaker     uint64                `msgpack:"p"`
	PrefillLimit   float64               `msgpack:"r"`
	Tokens         int                   `msgpack:"t"`
	Memory         int                   `msgpack:"e"`
	Versions       []Version             `msgpack:"v"`
	Urgency        int                   `msgpack:"u"`
	MaxWait        time.Duration         `msgpack:"w,omitempty"`
	PrefillSamples []fleet.PrefillSample `msgpack:"g,omitempty"`
}

type oldResponse struct {
	_msgpack struct{} `msgpack:",as_array"`

	Server   string `msgpack:"s,omitempty"`
	NotOwner bool   `msgpack:"n,omitempty"`
}

// During a rolling update, boxes of both versions send each other requests. With fields appended to an
// array neither could decode the other's messages ("number of fields in array-encoded struct has
// changed"), and took the other for unresponsive.
func TestMessagesAreCompatibleWithThePreviousVersion(t *testing.T) {
	g := NewWithT(t)
	old := oldRequest{
		Box: "b", TargetZone: "o", Zone: "z", Service: "s", Model: "m", Exclude: []string{"x"}, AffinityKey: 1 << 63, TieBreaker: 2, PrefillLimit: 3.5,
		Tokens: 4, Memory: 5, Versions: []Version{{Weights: 6, Cost: 7.5, PrefillTokens: 8, FetchZone: "f", FetchTime: 9}}, Urgency: 10, MaxWait: 11,
		PrefillSamples: []fleet.PrefillSample{{}},
	}
	request := Request{
		Box: "b", TargetZone: "o", Zone: "z", Service: "s", Model: "m", Exclude: []string{"x"}, AffinityKey: 1 << 63, TieBreaker: 2, PrefillLimit: 3.5,
		Tokens: 4, Memory: 5, Versions: []Version{{Weights: 6, Cost: 7.5, PrefillTokens: 8, FetchZone: "f", FetchTime: 9}}, Urgency: 10, MaxWait: 11,
		PrefillSamples: []fleet.PrefillSample{{}},
	}
	var received Request
	transfer(g, &old, &received)
	g.Expect(received).To(Equal(request))
	request.Organisation, request.Fingerprint, request.MaxReturn, request.Objective = "n", 1<<63, 12, 13
	noVersion := "" // differs from any version
	request.Software = &noVersion
	var receivedByOld oldRequest
	transfer(g, &request, &receivedByOld)
	g.Expect(receivedByOld).To(Equal(old))
	received = Request{}
	transfer(g, &request, &received)
	g.Expect(received).To(Equal(request))
}

func TestResponsesAreCompatibleWithThePreviousVersion(t *testing.T) {
	for _, old := range []oldResponse{{}, {Server: "s"}, {NotOwner: true}} {
		g := NewWithT(t)
		var received Response
		transfer(g, &old, &received)
		g.Expect(received).To(Equal(Response{Server: old.Server, NotOwner: old.NotOwner}))
		received.ReturnAfter, received.FullFor, received.AboveShare = 1, 2, true
		var receivedByOld oldResponse
		transfer(g, &received, &receivedByOld)
		g.Expect(receivedByOld).To(Equal(old))
		var received2 Response
		transfer(g, &received, &received2)
		g.Expect(received2).To(Equal(received))
	}
}

// transfer encodes a message of one version and decodes it as that of another.
func transfer(g *WithT, sent, received any) {
	data, err := msgpack.Marshal(sent)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(safepack.Unmarshal(data, received)).To(Succeed())
}

// Later versions may append fields to either form.
func TestUnknownFieldsAreSkipped(t *testing.T) {
	g := NewWithT(t)
	var received Response
	transfer(g, []any{"s", false, []string{"unknown"}}, &received)
	g.Expect(received).To(Equal(Response{Server: "s"}))
	var fromMap Response
	transfer(g, map[string]any{"s": "s", "unknown": 3}, &fromMap)
	g.Expect(fromMap).To(Equal(Response{Server: "s"}))
}

// Messages of other boxes must not end the process, whatever their form.
func FuzzMessages(f *testing.F) {
	for _, message := range []any{&oldRequest{Box: "b"}, &Request{Box: "b", Fingerprint: 1}, &oldResponse{Server: "s"}, &Response{FullFor: 1}} {
		data, err := msgpack.Marshal(message)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(data)
	}
	f.Fuzz(func(_ *testing.T, data []byte) {
		var request Request
		if safepack.Unmarshal(data, &request) == nil {
			request.Demand("")
		}
		var response Response
		_ = safepack.Unmarshal(data, &response) // must not panic
	})
}
