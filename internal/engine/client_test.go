package engine

import (
	"io"
	"net/http"
	"net/http/httptest"
	"testing"
	"testing/iotest"

	. "github.com/onsi/gomega"

	"github.com/cometlock/cometlock/internal/advisory"
	"github.com/cometlock/cometlock/internal/selfheaders"
)

func TestABodyIsReadOnceAndReleased(t *testing.T) {
	g := NewWithT(t)
	for _, text := range []string{"", "x", "a longer body"} {
		body := &onceReader{rest: []byte(text)}
		got, err := io.ReadAll(iotest.OneByteReader(body))
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(string(got)).To(Equal(text))
		g.Expect(body.rest).To(BeNil())
	}
}

// Engines send advisory headers in all responses, including refusals.
func TestAdvisoryHeadersAreReported(t *testing.T) {
	g := NewWithT(t)
	status := http.StatusServiceUnavailable
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set(selfheaders.RateLimit, "2.5")
		w.WriteHeader(status)
	}))
	defer server.Close()
	var received []advisory.Answer
	client := NewClient(ClientConfig{OnAdvisory: func(address string, answer advisory.Answer) {
		g.Expect(address).To(Equal(server.Listener.Addr().String()))
		received = append(received, answer)
	}})
	_, err := client.Start(t.Context(), server.Listener.Addr().String(), Run{ID: "r", Path: "/v1/completions"})
	g.Expect(err).To(HaveOccurred())
	_, err = client.Resume(t.Context(), server.Listener.Addr().String(), Run{ID: "r"}, 3)
	g.Expect(err).To(HaveOccurred())
	g.Expect(received).To(HaveLen(2))
	for _, answer := range received {
		g.Expect(answer.Advisory).To(Equal(advisory.Advisory{Limit: advisory.LimitNamed, PerSecond: 2.5}))
		g.Expect(answer.Received).To(BeTemporally(">=", answer.Sent))
	}
}
