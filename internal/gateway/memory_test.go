package gateway

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/cometlock/cometlock/internal/call"
	"github.com/cometlock/cometlock/internal/catalog"
	"github.com/cometlock/cometlock/internal/fleet"
	"github.com/cometlock/cometlock/internal/mechanism"
	"github.com/cometlock/cometlock/internal/membudget"
)

// answerBytes is the size of the answers of these tests, far more than the sockets buffer.
const answerBytes = 512 << 10

// memoryBudget holds about five answers.
var memoryBudget = membudget.Limits{Total: 3 << 20, PerOrganisation: 3 << 20, PerCall: 1 << 20}

// slowReaders is a box with a small memory budget whose callers read slowly, over loopback.
type slowReaders struct {
	g      *WithT
	budget *membudget.Budget
	box    *httptest.Server
	// calls counts the calls that the runner has received.
	calls atomic.Int64
	// mostHeld is the largest number of bytes that were held at any time.
	mostHeld atomic.Int64
}

// slowCatalog has one route whose calls may send long bodies.
func slowCatalog(g *WithT) *catalog.Catalog {
	made, err := catalog.New(catalog.Config{
		Version: 1, Limits: catalog.Limits{HeaderBytes: 1 << 16, BodyBytes: 8 << 20},
		Services: []catalog.Service{{Name: "r", ConnectionLimit: 100, Engine: &catalog.Engine{CapacityTokens: 100_000, BytesPerToken: 1000}}},
		Routes: []catalog.Route{{
			Name: "prompts", Host: "example.com", PathPrefix: "/", Kind: catalog.Stream, MaxServers: 1,
			Objective: time.Second, Timeout: 20 * time.Second, Splits: []catalog.Split{{Service: "r", Weight: 1}}, Public: true,
		}},
	})
	g.Expect(err).NotTo(HaveOccurred())
	return made
}

func startSlowReaders(t *testing.T, limits membudget.Limits, runner http.HandlerFunc) *slowReaders {
	s := &slowReaders{g: NewWithT(t), budget: membudget.New(limits)}
	f := fleet.New(fleet.Config{})
	startRunner(t, f, "r", http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.calls.Add(1)
		_, _ = io.Copy(io.Discard, r.Body)
		runner(w, r)
	}))
	protocol := newPlanProtocol()
	protocol.info = call.RequestInfo{RequestID: "q", Prompt: &call.Prompt{Model: "m", Tokens: 10, Parts: []call.Part{{ID: "own", Tokens: 10}}}}
	gateway := promptGateway(protocol, f, emptyIndex(promptCatalog(s.g)), slowCatalog(s.g))
	gateway.cfg.Memory = s.budget
	s.box = httptest.NewUnstartedServer(gateway)
	s.box.Listener = smallBuffers{s.box.Listener}
	s.box.Start()
	t.Cleanup(s.box.Close)
	watched := make(chan struct{})
	t.Cleanup(func() { close(watched) })
	go s.watchHeld(watched)
	return s
}

// smallBuffers is a listener whose connections have small send buffers. The system's own would take
// whole answers.
type smallBuffers struct{ net.Listener }

func (l smallBuffers) Accept() (net.Conn, error) {
	connection, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return connection, connection.(*net.TCPConn).SetWriteBuffer(16 << 10)
}

// watchHeld records the largest number of bytes held, until stopped is closed.
func (s *slowReaders) watchHeld(stopped <-chan struct{}) {
	for {
		select {
		case <-stopped:
			return
		case <-time.After(time.Millisecond):
			s.mostHeld.Store(max(s.mostHeld.Load(), s.budget.Held()))
		}
	}
}

// admitsCalls reports whether the budget has room for a new call.
func (s *slowReaders) admitsCalls() bool {
	call, admitted := s.budget.Admit("other", callOverhead)
	if admitted {
		call.Close()
	}
	return admitted
}

// fillBudget lets other calls in progress hold all of the budget but room.
func (s *slowReaders) fillBudget(room int64) (others []*membudget.Call) {
	for {
		left := memoryBudget.Total - room - s.budget.Held()
		if left <= 0 {
			return others
		}
		other, _ := s.budget.Admit("other", 0)
		others = append(others, other)
		if !other.Grow(min(left, memoryBudget.PerCall)) {
			return others
		}
	}
}

// send sends a call with a body, and returns the connection without having read anything.
func (s *slowReaders) send(body string) *net.TCPConn {
	connection, err := net.Dial("tcp", s.box.Listener.Addr().String())
	s.g.Expect(err).NotTo(HaveOccurred())
	tcp := connection.(*net.TCPConn)
	s.g.Expect(tcp.SetReadBuffer(8 << 10)).To(Succeed())
	_, err = fmt.Fprintf(tcp, "POST / HTTP/1.1\r\nHost: example.com\r\nConnection: close\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
	s.g.Expect(err).NotTo(HaveOccurred())
	return tcp
}

// receive reads an answer to its end.
func receive(connection net.Conn) (status int, body []byte, err error) {
	defer connection.Close()
	if err := connection.(*net.TCPConn).SetReadBuffer(1 << 20); err != nil {
		return 0, nil, err
	}
	response, err := http.ReadResponse(bufio.NewReader(connection), nil)
	if err != nil {
		return 0, nil, err
	}
	body, err = io.ReadAll(response.Body)
	return response.StatusCode, body, err
}

// runTime is the time that the runner of these tests takes for a call.
const runTime = 100 * time.Millisecond

func sendAnswer(w http.ResponseWriter, _ *http.Request) {
	time.Sleep(runTime)
	_, _ = w.Write(bytes.Repeat([]byte("x"), answerBytes))
}

// sendLongStream sends a stream of answerBytes, and cuts it off if a write takes a second.
func sendLongStream(w http.ResponseWriter, _ *http.Request) { sendLongStreamWithin(w, time.Second) }

// sendLongStreamWithin is sendLongStream with another time limit for a write.
func sendLongStreamWithin(w http.ResponseWriter, limit time.Duration) {
	time.Sleep(runTime)
	w.Header().Set("Content-Type", "text/event-stream")
	event := "data: " + strings.Repeat("x", 1<<10) + "\n\n"
	for sent := 0; sent < answerBytes; sent += len(event) {
		_ = http.NewResponseController(w).SetWriteDeadline(time.Now().Add(limit))
		if _, err := io.WriteString(w, event); err != nil {
			panic(http.ErrAbortHandler)
		}
	}
}

// Callers that read slowly must not make a box hold more than its budget, and calls that it has
// accepted must be completed.
func TestMemoryHeldForSlowReadersIsBounded(t *testing.T) {
	// The runner waits for a box without room for longer than the callers read nothing, and for a busy
	// machine besides.
	const unread, cutOff = time.Second, 5 * time.Second
	sendStream := func(w http.ResponseWriter, _ *http.Request) { sendLongStreamWithin(w, cutOff) }
	for _, tt := range []struct {
		name   string
		runner http.HandlerFunc
	}{{"buffered answers", sendAnswer}, {"streams", sendStream}} {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			accepted := make(chan struct{})
			s := startSlowReaders(t, memoryBudget, func(w http.ResponseWriter, r *http.Request) {
				<-accepted
				tt.runner(w, r)
			})
			answer := sync.OnceFunc(func() { close(accepted) })
			t.Cleanup(answer)
			const early = 24
			var connections []*net.TCPConn
			for range early {
				connections = append(connections, s.send("prompt"))
			}
			// No answer fills the budget before all of these calls are accepted.
			s.g.Eventually(s.calls.Load, 10*time.Second, time.Millisecond).Should(BeEquivalentTo(early))
			answer()
			// The callers read nothing meanwhile.
			s.g.Eventually(s.admitsCalls, 10*time.Second, time.Millisecond).Should(BeFalse(), "the budget is held")
			for range 8 {
				connections = append(connections, s.send("prompt"))
			}
			time.Sleep(unread)
			var group sync.WaitGroup
			var served, refused atomic.Int64
			for _, connection := range connections {
				group.Go(func() {
					status, body, err := receive(connection)
					switch {
					case err == nil && status == http.StatusOK && len(body) >= answerBytes:
						served.Add(1)
					case err == nil && status == http.StatusServiceUnavailable:
						refused.Add(1)
					default:
						t.Errorf("status %d, %d bytes, %v", status, len(body), err)
					}
				})
			}
			group.Wait()
			s.g.Expect(served.Load()).To(Equal(s.calls.Load()), "calls in progress are completed")
			s.g.Expect(served.Load()).To(BeNumerically(">=", early))
			s.g.Expect(refused.Load()).To(BeNumerically(">=", 8), "calls that come while the budget is held")
			s.g.Expect(s.mostHeld.Load()).To(And(BeNumerically(">", 2<<20), BeNumerically("<=", memoryBudget.Total)))
			s.g.Eventually(s.budget.Held).Should(BeZero())
		})
	}
}

// A runner cuts off an answer that stays unread, so the box must take in what a slow caller leaves.
func TestASlowCallerGetsAnAnswerThatItsRunnerWouldCutOff(t *testing.T) {
	s := startSlowReaders(t, memoryBudget, sendLongStream)
	connection := s.send("prompt")
	time.Sleep(2 * time.Second)
	status, body, err := receive(connection)
	s.g.Expect(err).NotTo(HaveOccurred())
	s.g.Expect(status).To(Equal(http.StatusOK))
	s.g.Expect(len(body)).To(BeNumerically(">=", answerBytes))
}

// A call in progress whose answer finds no room must get it all the same, and must not look complete
// if it breaks off.
func TestAnswersWithoutRoomArePassedOn(t *testing.T) {
	for _, tt := range []struct {
		name           string
		status         int
		length, breaks bool
	}{
		{"unknown length", http.StatusOK, false, false},
		{"announced length", http.StatusOK, true, false},
		{"error response", http.StatusInternalServerError, true, false},
		{"unknown length, broken off", http.StatusOK, false, true},
		{"announced length, broken off", http.StatusOK, true, true},
	} {
		t.Run(tt.name, func(t *testing.T) {
			var s *slowReaders
			var others []*membudget.Call
			s = startSlowReaders(t, memoryBudget, func(w http.ResponseWriter, _ *http.Request) {
				others = s.fillBudget(40 << 10)
				if tt.length {
					w.Header().Set("Content-Length", strconv.Itoa(answerBytes))
				}
				w.WriteHeader(tt.status)
				_, _ = w.Write(make([]byte, answerBytes/2))
				if tt.breaks {
					panic(http.ErrAbortHandler)
				}
				_, _ = w.Write(make([]byte, answerBytes/2))
			})
			status, body, err := receive(s.send(""))
			s.g.Expect(status).To(Equal(tt.status))
			s.g.Expect(err != nil).To(Equal(tt.breaks))
			if !tt.breaks {
				s.g.Expect(body).To(HaveLen(answerBytes))
			}
			for _, other := range others {
				other.Close()
			}
			s.g.Eventually(s.budget.Held).Should(BeZero())
			s.g.Expect(s.mostHeld.Load()).To(BeNumerically("<=", memoryBudget.Total))
		})
	}
}

// Memory of callers that disconnect in the middle of an answer or of a body must be released, or the
// box would refuse all calls after a while.
func TestMemoryOfAbortedCallsIsReleased(t *testing.T) {
	for _, runner := range []http.HandlerFunc{sendAnswer, sendLongStream} {
		s := startSlowReaders(t, memoryBudget, runner)
		for range 8 {
			connection := s.send("prompt")
			part, err := net.Dial("tcp", s.box.Listener.Addr().String())
			s.g.Expect(err).NotTo(HaveOccurred())
			_, err = io.WriteString(part, "POST / HTTP/1.1\r\nHost: example.com\r\nContent-Length: 100000\r\n\r\npart")
			s.g.Expect(err).NotTo(HaveOccurred())
			time.Sleep(20 * time.Millisecond)
			s.g.Expect(connection.Close()).To(Succeed())
			s.g.Expect(part.Close()).To(Succeed())
		}
		s.g.Eventually(s.budget.Held, "5s").Should(BeZero())
	}
}

// An answer that its runner breaks off aborts the call by a panic, which must release its memory too.
func TestMemoryOfBrokenAnswersIsReleased(t *testing.T) {
	s := startSlowReaders(t, memoryBudget, func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "text/event-stream")
		_, _ = io.WriteString(w, "data: "+strings.Repeat("x", 100<<10)+"\n\n")
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	})
	status, body, err := receive(s.send("prompt"))
	s.g.Expect(status).To(Equal(http.StatusOK))
	s.g.Expect(len(body)).To(BeNumerically(">", 100<<10), "the part that was received is delivered")
	s.g.Expect(err).To(HaveOccurred())
	s.g.Eventually(s.budget.Held).Should(BeZero())
}

// A call for which there is no room is refused before its body arrives, and says that it did not
// run. A body that could never fit is rejected for good.
func TestCallsWithoutMemoryAreRefusedBeforeTheirBody(t *testing.T) {
	s := startSlowReaders(t, memoryBudget, sendAnswer)
	full, admitted := s.budget.Admit("", 512<<10)
	s.g.Expect(admitted).To(BeTrue())
	s.g.Expect(full.Grow(512 << 10)).To(BeTrue())
	rest, admitted := s.budget.Admit("other", 512<<10)
	s.g.Expect(admitted).To(BeTrue())
	s.g.Expect(rest.Grow(512 << 10)).To(BeTrue())
	for _, tt := range []struct {
		length string
		status int
	}{{"Content-Length: 750000", http.StatusServiceUnavailable}, {"Content-Length: 1500000", http.StatusRequestEntityTooLarge}} {
		connection, err := net.Dial("tcp", s.box.Listener.Addr().String())
		s.g.Expect(err).NotTo(HaveOccurred())
		_, err = io.WriteString(connection, "POST / HTTP/1.1\r\nHost: example.com\r\nConnection: close\r\n"+tt.length+"\r\n\r\n")
		s.g.Expect(err).NotTo(HaveOccurred())
		s.g.Expect(connection.SetReadDeadline(time.Now().Add(5 * time.Second))).To(Succeed())
		status, _, _ := receive(connection)
		s.g.Expect(status).To(Equal(tt.status))
	}
	s.g.Expect(s.calls.Load()).To(BeZero())
	rest.Close()
	full.Close()
}

// A body without an announced length counts as it grows, and is refused where the room ends.
func TestBodiesOfUnknownLengthCount(t *testing.T) {
	s := startSlowReaders(t, memoryBudget, func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "done") })
	for _, tt := range []struct{ size, status int }{{200_000, http.StatusOK}, {4_000_000, http.StatusServiceUnavailable}} {
		request, err := http.NewRequest(http.MethodPost, s.box.URL, io.MultiReader(bytes.NewReader(make([]byte, tt.size))))
		s.g.Expect(err).NotTo(HaveOccurred())
		request.Host = "example.com"
		response, err := http.DefaultClient.Do(request)
		if err != nil && tt.status != http.StatusOK {
			continue // the connection was closed while the body was being sent
		}
		s.g.Expect(err).NotTo(HaveOccurred())
		s.g.Expect(response.StatusCode).To(Equal(tt.status))
		s.g.Expect(response.Body.Close()).To(Succeed())
	}
	s.g.Expect(s.calls.Load()).To(BeEquivalentTo(1))
	s.g.Eventually(s.budget.Held).Should(BeZero())
}

// With the mechanism off, a stream is read no further than its caller has read.
func TestWithoutTheBudgetStreamsAreNotBuffered(t *testing.T) {
	g := NewWithT(t)
	off, err := mechanism.Parse("memory-budget")
	g.Expect(err).NotTo(HaveOccurred())
	gateway := newTestGateway(versions{{Version: 1}})
	gateway.cfg.Mechanisms = off
	x := &exchange{writer: httptest.NewRecorder()}
	stream := x.streamBuffer(gateway)
	for range 100 {
		g.Expect(stream.write(make([]byte, 1<<10))).To(Succeed())
	}
	g.Expect(stream.running).To(BeFalse())
	g.Expect(stream.close()).To(Succeed())
}
