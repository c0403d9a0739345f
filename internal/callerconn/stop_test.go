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
)

// stopping is how a server is stopped; entry boxes use Shutdown alone. Ending the rests
// first, by SetKeepAlivesEnabled(false), closes connections whose calls are handled.
func stopping(server *http.Server) error { return server.Shutdown(context.Background()) }

// Calls come on kept connections at the very moment at which the server stops. One that
// is handled must get its answer; one that is not may be sent again.
func TestAStopCutsOffNoCallThatIsHandled(t *testing.T) {
	const rounds, callers = 20, 200
	for range rounds {
		g := NewWithT(t)
		var handled, answered atomic.Int64
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		g.Expect(err).NotTo(HaveOccurred())
		server := &http.Server{
			Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				handled.Add(1)
				w.WriteHeader(http.StatusNoContent)
			}),
			ReadHeaderTimeout: time.Minute, IdleTimeout: time.Minute, ConnState: callerconn.TrackState,
		}
		go func() {
			_ = server.Serve(callerconn.Listener{Listener: listener, Timeouts: func() callerconn.Timeouts { return callerconn.Timeouts{} }})
		}()
		var ready, done sync.WaitGroup
		begin := make(chan struct{})
		ready.Add(callers)
		for range callers {
			done.Go(func() { runCaller(listener.Addr().String(), &ready, begin, &answered) })
		}
		ready.Wait()
		close(begin)
		g.Expect(stopping(server)).To(Succeed())
		_ = server.Close() // connections that rest
		done.Wait()
		g.Expect(answered.Load()).To(Equal(handled.Load()))
	}
}

// runCaller makes one call, waits, and makes another on the same connection.
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
	goesOn := call()
	ready.Done()
	<-begin
	if goesOn {
		call()
	}
}
