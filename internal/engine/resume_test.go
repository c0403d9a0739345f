package engine

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// A run was given up after a third of a second without its engine, although the engine still worked on it.
func TestARunIsResumedAfterMostOfASecondWithoutItsEngine(t *testing.T) {
	g := NewWithT(t)
	const outage = 800 * time.Millisecond
	began := time.Now()
	engine := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		if time.Since(began) < outage {
			panic(http.ErrAbortHandler)
		}
		w.Header().Set(HeaderWeights, "v1")
		_, _ = w.Write([]byte(`{}`))
	}))
	t.Cleanup(engine.Close)
	client := NewClient(ClientConfig{})
	stream, err := client.ResumeWithRetry(t.Context(), strings.TrimPrefix(engine.URL, "http://"), Run{ID: "run", Weights: "v1"}, -1)
	g.Expect(err).NotTo(HaveOccurred())
	defer stream.Close()
	chunk, err := stream.Next()
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(string(chunk.Data)).To(Equal(`{}`))
}
