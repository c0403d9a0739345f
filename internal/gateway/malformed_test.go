package gateway

import (
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/cometlock/cometlock/internal/fleet"
)

// A status below 100 made the handler panic, and the caller's connection was closed without an answer.
func TestAServersInvalidStatusIsAnsweredWith502(t *testing.T) {
	g := NewWithT(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	defer listener.Close()
	go func() {
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				_, _ = c.Read(make([]byte, 4096))
				_, _ = io.WriteString(c, "HTTP/1.1 042 odd\r\nContent-Length: 2\r\n\r\nhi")
				time.Sleep(time.Second)
				_ = c.Close()
			}()
		}
	}()
	f := fleet.New(fleet.Config{})
	f.Apply([]fleet.Update{{Key: "first", Offset: 1, Server: &fleet.Server{
		Incarnation: "first", Service: "r", Address: listener.Addr().String(), Slots: 4, Weights: map[string]int{"m": 1},
	}}})
	c := resumableCatalog(g, 1)
	server := httptest.NewServer(promptGateway(newPlanProtocol(), f, emptyIndex(c), c))
	defer server.Close()
	request, err := http.NewRequest(http.MethodPost, server.URL+"/", nil)
	g.Expect(err).NotTo(HaveOccurred())
	request.Host = "example.com"
	response, err := http.DefaultClient.Do(request)
	g.Expect(err).NotTo(HaveOccurred())
	defer response.Body.Close()
	g.Expect(response.StatusCode).To(Equal(http.StatusBadGateway))
}
