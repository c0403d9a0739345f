package routed_test

import (
	"net/http"
	"strconv"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// setAnswerHeader makes a server add a header to all of its answers.
func (s *deployment) setAnswerHeader(server, header, value string) {
	named := s.servers[server]
	named.mu.Lock()
	defer named.mu.Unlock()
	named.answer = func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set(header, value)
		_, _ = w.Write([]byte(server + " ")) // fails only when the caller has disconnected
	}
}

// Rate limits apply to servers of routes as to those of the platform.
func TestRoutedServersGetNoMoreThanTheirRateLimit(t *testing.T) {
	g := NewWithT(t)
	s := startDeployment(t, g)
	s.setAnswerHeader("shop-1", "Cometlock-Rate-Limit", "2")
	const length = 2 * time.Second
	for end := time.Now().Add(length); time.Now().Before(end); {
		g.Expect(s.send("GET", "shop.example", "/page", "").status).To(Equal(200))
	}
	g.Expect(s.servers["shop-1"].calls()).To(BeNumerically("~", 2*length.Seconds()+1, 1.5))
	g.Expect(s.servers["shop-2"].calls()).To(BeNumerically(">", 100))

	s.setAnswerHeader("shop-2", "Cometlock-Rate-Limit", "0.5")
	served := 0
	for end := time.Now().Add(length); time.Now().Before(end); {
		got := s.send("GET", "shop.example", "/page", "")
		if got.status == 200 {
			served++
			continue
		}
		g.Expect(got.status).To(Equal(503))
		g.Expect(got.header.Get("Retry-After")).NotTo(BeEmpty())
	}
	// Besides its rate, each server may get the one call of a burst, and shop-2 the call whose answer
	// names its limit.
	g.Expect(served).To(BeNumerically("~", 2.5*length.Seconds()+2, 1.5))
}

func TestDrainingRoutedServersGetNoCalls(t *testing.T) {
	g := NewWithT(t)
	s := startDeployment(t, g)
	s.setAnswerHeader("shop-1", "Cometlock-Draining", "1")
	for range 40 {
		g.Expect(s.send("GET", "shop.example", "/page", "").status).To(Equal(200))
	}
	g.Expect(s.servers["shop-1"].calls()).To(Equal(1))
	s.setAnswerHeader("shop-2", "Cometlock-Draining", "1")
	s.send("GET", "shop.example", "/page", "")
	got := s.send("GET", "shop.example", "/page", "")
	g.Expect(got.status).To(Equal(503))
	g.Expect(got.header.Get("Retry-After")).NotTo(BeEmpty())
}

func TestRoutedServersGetNoCallsDuringAPause(t *testing.T) {
	g := NewWithT(t)
	s := startDeployment(t, g)
	for _, name := range []string{"shop-1", "shop-2"} {
		named := s.servers[name]
		named.mu.Lock()
		named.answer = func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Cometlock-Outcome", "not-run")
			w.Header().Set("Retry-After", "30")
			w.WriteHeader(http.StatusServiceUnavailable)
		}
		named.mu.Unlock()
	}
	for range 20 {
		got := s.send("GET", "shop.example", "/page", "")
		g.Expect(got.status).To(Equal(503))
		g.Expect(got.header.Get("Retry-After")).NotTo(BeEmpty())
	}
	g.Expect(s.servers["shop-1"].calls()).To(Equal(1))
	g.Expect(s.servers["shop-2"].calls()).To(Equal(1))
	got := s.send("GET", "shop.example", "/page", "")
	seconds, err := strconv.Atoi(got.header.Get("Retry-After"))
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(seconds).To(BeNumerically(">=", 29), "until the end of the pause")
}
