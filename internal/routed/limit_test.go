package routed_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/cometlock/cometlock/internal/config"
)

func TestAnOrganisationHasNoMoreCallsInFlightThanItsLimit(t *testing.T) {
	g := NewWithT(t)
	s := startDeployment(t, g)
	s.configure(g, func(file *config.File) {
		for i := range file.Organisations {
			file.Organisations[i].MaxInFlight = 2
		}
		for i := range file.Routes {
			file.Routes[i].TimeLimitMillis = 30_000
		}
	})
	released := make(chan struct{})
	release := sync.OnceFunc(func() { close(released) })
	t.Cleanup(release) // also when an expectation fails
	s.answerWith(func(w http.ResponseWriter, _ *http.Request) {
		<-released
		_, _ = fmt.Fprint(w, "done")
	}, "shop-1", "shop-2")
	var pending sync.WaitGroup
	call := func(key string) { s.send("POST", "shop.example", "/charges/1", "", "Authorization", "Bearer "+key) }
	for _, key := range []string{"key", "key-2", "key-south"} {
		pending.Go(func() { call(key) })
	}
	g.Eventually(func() int { return s.calls("shop-1", "shop-2") }, 5*time.Second, time.Millisecond).Should(Equal(3))
	got := s.send("POST", "shop.example", "/charges/1", "", "Cometlock-Deadline", "0.5")
	g.Expect(got.status).To(Equal(http.StatusTooManyRequests), "both keys belong to one organisation")
	g.Expect(got.header.Get("Cometlock-Outcome")).To(Equal("not-run"))
	g.Expect(got.header.Get("Retry-After")).NotTo(BeEmpty())
	g.Expect(s.calls("shop-1", "shop-2")).To(Equal(3))
	release()
	pending.Wait()
	g.Expect(s.send("POST", "shop.example", "/charges/1", "").body).To(Equal("done"))
}

// A refusal by the limit waited without a time limit for a caller that had stopped within its body.
func TestARefusalByTheLimitDoesNotWaitForTheBody(t *testing.T) {
	g := NewWithT(t)
	s := startDeployment(t, g)
	s.configure(g, func(file *config.File) {
		for i := range file.Organisations {
			file.Organisations[i].MaxInFlight = 0
		}
	})
	connection, err := net.Dial("tcp", s.front.Listener.Addr().String())
	g.Expect(err).NotTo(HaveOccurred())
	defer connection.Close()
	_, err = io.WriteString(connection, "POST / HTTP/1.1\r\nHost: shop.example\r\nAuthorization: Bearer key\r\nContent-Length: 100\r\n\r\npart")
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(connection.SetReadDeadline(time.Now().Add(5 * time.Second))).To(Succeed())
	response, err := http.ReadResponse(bufio.NewReader(connection), nil)
	g.Expect(err).NotTo(HaveOccurred())
	defer response.Body.Close()
	g.Expect(response.StatusCode).To(Equal(http.StatusTooManyRequests))
}
