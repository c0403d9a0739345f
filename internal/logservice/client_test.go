package logservice_test

import (
	"net/http/httptest"
	"strings"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/cometlock/cometlock/internal/fakelog"
	"github.com/cometlock/cometlock/internal/logservice"
)

// A log that had lost records looked like one without new records, and claims of the lost ones were granted
// a second time.
func TestALogThatLostRecordsCountsAsUnavailable(t *testing.T) {
	g := NewWithT(t)
	log := fakelog.New()
	server := httptest.NewServer(log.Handler())
	defer server.Close()
	client := logservice.NewClient(logservice.ClientConfig{Address: strings.TrimPrefix(server.URL, "http://")})
	empty := log.Copy()
	for range 3 {
		_, err := client.Append(t.Context(), "claims", []byte("record"))
		g.Expect(err).NotTo(HaveOccurred())
	}
	_, err := client.Read(t.Context(), "claims", logservice.ReadOptions{From: 3})
	g.Expect(err).NotTo(HaveOccurred(), "the end of the log")
	log.Restore(empty)
	_, err = client.Read(t.Context(), "claims", logservice.ReadOptions{From: 3})
	g.Expect(err).To(MatchError(logservice.ErrUnavailable))
	_, err = client.Read(t.Context(), "claims", logservice.ReadOptions{From: 0})
	g.Expect(err).NotTo(HaveOccurred(), "a box that starts")
}
