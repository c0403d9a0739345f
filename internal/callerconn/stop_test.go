package callerconn_test

import (
	"bufio"
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/cometlock/cometlock/internal/callerconn"
	"github.com/cometlock/cometlock/internal/connlimit"
)

// shutdown stops a server in the same way as entry boxes do, by Shutdown alone. Closing idle
// connections before, by SetKeepAlivesEnabled(false), would close connections whose calls are handled.
func shutdown(server *http.Server) error { return server.Shutdown(context.Background()) }

// Calls arrive on keep-alive connections while the server shuts down. A call that reaches the handler
// must get its response; one that does not may be retried.
func TestShutdownCompletesHandledCalls(t *testing.T) {
	const rounds = 20
	limiter := connlimit.New(connlimit.Config{MaxConnections: 1000, MaxRequestBytes: 1 << 20})
	tests := []struct {
		name  string
		limit func(net.Listener) net.Listener
	}{
		{"without limits", func(inner net.Listener) net.Listener { return inner }},
		{"with limits", func(inner net.Listener) net.Listener { return limiter.Listener(inner, connlimit.HeadWeight) }},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			for range rounds {
				shutDownUnderLoad(t, test.limit)
			}
		})
	}
}

// shutDownUnderLoad shuts down a server while calls arrive, and checks that all calls that it has handled are
// answered.
func shutDownUnderLoad(t *testing.T, limit func(net.Listener) net.Listener) {
	const callers = 200
	g := NewWithT(t)
	var handled, answered atomic.Int64
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	server := &http.Server{
		Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			handled.Add(1)
			w.WriteHeader(http.StatusNoContent)
		}),
		ReadHeaderTimeout: time.Minute, IdleTimeout: time.Minute,
	}
	connlimit.Attach(server, callerconn.TrackState)
	go func() {
		_ = server.Serve(callerconn.Listener{Listener: limit(listener), Timeouts: func() callerconn.Timeouts { return callerconn.Timeouts{} }})
	}()
	var ready, done sync.WaitGroup
	begin := make(chan struct{})
	ready.Add(callers)
	for range callers {
		done.Go(func() { runCaller(listener.Addr().String(), &ready, begin, &answered) })
	}
	ready.Wait()
	close(begin)
	g.Expect(shutdown(server)).To(Succeed())
	_ = server.Close() // closes idle connections
	done.Wait()
	g.Expect(answered.Load()).To(Equal(handled.Load()))
}

// runCaller sends one call, waits for begin, and sends another on the same connection.
func runCaller(address string, ready *sync.WaitGroup, begin <-chan struct{}, answered *atomic.Int64) {
	connection, err := net.Dial("tcp", address)
	if err != nil {
		ready.Done()
		return
	}
	defer connection.Close()
	reader := bufio.NewReader(connection)
	call := func() bool {
		if _, err := connection.Write([]byte("GET / HTTP/1.1\r\nHost: h\r\n\r\n")); err != nil {
			return false
		}
		response, err := http.ReadResponse(reader, nil)
		if err != nil {
			return false
		}
		answered.Add(1)
		return response.Body.Close() == nil
	}
	succeeded := call()
	ready.Done()
	<-begin
	if succeeded {
		call()
	}
}
