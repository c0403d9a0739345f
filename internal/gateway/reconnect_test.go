package gateway

import (
	"bytes"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/rs/zerolog"
	"golang.org/x/sys/unix"

	"github.com/cometlock/cometlock/internal/fleet"
	"github.com/cometlock/cometlock/internal/retrybudget"
)

// fullListener is a listener whose accept queue is full, so that it accepts no connection.
type fullListener struct {
	net.Listener
	// fillers is the number of connections in the queue.
	fillers int
}

func listenFull(t *testing.T, g *WithT) *fullListener {
	t.Helper()
	fd, err := unix.Socket(unix.AF_INET, unix.SOCK_STREAM|unix.SOCK_CLOEXEC|unix.SOCK_NONBLOCK, 0)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(unix.Bind(fd, &unix.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}})).To(Succeed())
	g.Expect(unix.Listen(fd, 0)).To(Succeed())
	file := os.NewFile(uintptr(fd), "listener")
	listener, err := net.FileListener(file)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(file.Close()).To(Succeed())
	t.Cleanup(func() { _ = listener.Close() })
	full := &fullListener{Listener: listener}
	for {
		filler, err := net.DialTimeout("tcp", listener.Addr().String(), 100*time.Millisecond)
		if err != nil {
			return full
		}
		t.Cleanup(func() { _ = filler.Close() })
		full.fillers++
	}
}

// serve empties the queue and serves the connections that come then.
func (l *fullListener) serve(t *testing.T, handler http.HandlerFunc) {
	for range l.fillers {
		filler, err := l.Accept()
		if err != nil {
			t.Error(err)
			return
		}
		t.Cleanup(func() { _ = filler.Close() })
	}
	server := &http.Server{Handler: handler}
	t.Cleanup(func() { _ = server.Close() })
	go func() { _ = server.Serve(l) }()
}

// emptyBudget is the balance of a retry budget that allows no retry.
const emptyBudget = 1e-9

// eventLog counts the log entries of an event, and calls a function with each count. Entries are written
// synchronously.
type eventLog struct {
	event string
	count atomic.Int64
	on    func(number int)
}

func (l *eventLog) Write(line []byte) (int, error) {
	if bytes.Contains(line, []byte(l.event)) {
		l.on(int(l.count.Add(1)))
	}
	return len(line), nil
}

// A call was refused with no_server if its only server did not accept a connection in time, at loads at which other
// calls were served.
func TestACallIsSentToItsOnlyServerAgainIfThatAcceptedNoConnectionInTime(t *testing.T) {
	tests := []struct {
		name string
		// acceptsAfter is the number of connections that are not accepted in time.
		acceptsAfter int
		// closes means that the server refuses the next ones.
		closes bool
		// other handles calls at a second server, which has been sent the call before; nil without one.
		other http.HandlerFunc
		// budget is the initial balance of the retry budget.
		budget float64
		status int
		// failures is the number of connections to the slow server that fail, arrivals that of its calls.
		failures, arrivals int
		// saved is the balance of the budget afterwards.
		saved float64
	}{
		{"once", 1, false, nil, 1, http.StatusOK, 1, 1, 1},
		{"once, with an empty budget", 1, false, nil, emptyBudget, http.StatusOK, 1, 1, 0},
		{"three times", 3, false, nil, 1, http.StatusOK, 3, 1, 1},
		{"four times", 4, false, nil, 1, http.StatusServiceUnavailable, 4, 0, 1},
		{"once, and it refuses connections then", 1, true, nil, 1, http.StatusServiceUnavailable, 2, 0, 1},
		{"once, after another server has refused the call", 1, false, refuse, 1, http.StatusOK, 1, 1, 0},
		{"never, after another server has refused the call, with an empty budget", 1, false, refuse, emptyBudget, http.StatusServiceUnavailable, 0, 0, 0},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			g := NewWithT(t)
			slow, f := listenFull(t, g), fleet.New(fleet.Config{})
			server := &countedServer{handlers: []http.HandlerFunc{serveEvents("slow", 0)}}
			addSlow := func() {
				f.Apply([]fleet.Update{{Key: "slow", Offset: 1, Server: &fleet.Server{
					Incarnation: "slow", Service: "r", Address: slow.Addr().String(), Slots: 4, Weights: map[string]int{"m": 1},
				}}})
			}
			if test.other == nil {
				addSlow()
			} else {
				startRunner(t, f, "other", http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
					addSlow() // so that the call comes here first
					test.other(w, r)
				}))
			}
			log := &eventLog{event: `"message":"not_handed_over"`}
			log.on = func(number int) {
				switch {
				case number != test.acceptsAfter:
				case test.closes:
					_ = slow.Close()
				default:
					slow.serve(t, server.ServeHTTP)
				}
			}
			c := promptCatalog(g)
			gateway := promptGateway(newPlanProtocol(), f, emptyIndex(c), c)
			gateway.cfg.Logger = zerolog.New(log)
			budget := retrybudget.New(retrybudget.Config{PerRequest: emptyBudget, Burst: 5, Initial: test.budget})
			gateway.cfg.Budget = oneBudget(budget)
			recorder := httptest.NewRecorder()
			began := time.Now()
			gateway.ServeHTTP(recorder, httptest.NewRequest(http.MethodPost, "http://example.com/", nil))
			g.Expect(time.Since(began)).To(BeNumerically("<", promptTimeout/2), "it is not held until its deadline")
			g.Expect(recorder.Code).To(Equal(test.status), recorder.Body.String())
			g.Expect(log.count.Load()).To(BeEquivalentTo(test.failures))
			g.Expect(server.arrivals.Load()).To(BeEquivalentTo(test.arrivals))
			g.Expect(budget.State().Balance).To(BeNumerically("~", test.saved, 0.01))
		})
	}
}
