package bench

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"net/http"
	"runtime"
	"strings"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/cometlock/cometlock/internal/fakeengine"
	"github.com/cometlock/cometlock/internal/testfleet"
)

// Load of the overhead measurement.
const (
	overheadRequests = 4000
	overheadChunks   = 100
	overheadWorkers  = 4
)

// target is where the client sends its requests.
type target struct {
	url    string
	host   string // that of the URL where empty
	header http.Header
	// end stands in the last piece of a whole answer.
	end string
}

// measured is what a run of requests came to.
type measured struct {
	firstChunk *hdrhistogram.Histogram // microseconds
	cpu        time.Duration
	allocs     uint64
	requests   int
	chunks     int
}

func (m measured) cpuPerRequest() float64 { return m.cpu.Seconds() * 1e6 / float64(m.requests) }

func (m measured) allocsPerRequest() float64 { return float64(m.allocs) / float64(m.requests) }

// overhead compares a client straight to an engine with the same client through
// an entry box, in turns, so that both see the same machine.
func overhead(out io.Writer) error {
	if err := inRepository(); err != nil {
		return err
	}
	fleet, err := testfleet.Start(testfleet.Config{File: sampleFile, Zones: []string{"zone-a"}, Engine: fakeengine.Config{RunRetention: time.Second}})
	if err != nil {
		return err
	}
	defer fleet.Close()
	if err := waitReady(fleet.Box(0)); err != nil {
		return err
	}
	box := "http://" + fleet.Box(0).CallerAddress()
	key := http.Header{"Authorization": {"Bearer " + testfleet.KeyNordlys}}
	const completions, streamEnd = "/v1/chat/completions", "[DONE]"
	engine := target{url: "http://" + serverAddress(fleet, baselineEngine) + completions, end: streamEnd}
	few, many := 1, overheadChunks
	for _, chunks := range []int{few, many} {
		what := fmt.Sprintf("requests of %d chunks", chunks)
		if err := compareOverhead(out, what, chunks, engine, target{url: box + completions, header: key, end: streamEnd}); err != nil {
			return err
		}
	}
	// The route booking-desk of the sample file leads to the service booking.
	const desk, answerEnd = "/desk/1", "run="
	booking := target{url: "http://" + serverAddress(fleet, "booking-zone-a-1") + desk, end: answerEnd}
	return compareOverhead(out, "calls by route", 1, booking, target{url: box + desk, host: "booking.example", header: key, end: answerEnd})
}

// compareOverhead sends the same straight to a server and through an entry box.
func compareOverhead(out io.Writer, what string, chunks int, direct, through target) error {
	const warmUp = overheadRequests / 10
	for _, at := range []target{direct, through} {
		if _, err := load(at, warmUp, chunks); err != nil {
			return err
		}
	}
	straight, err := load(direct, overheadRequests, chunks)
	if err != nil {
		return err
	}
	boxed, err := load(through, overheadRequests, chunks)
	if err != nil {
		return err
	}
	printOverhead(out, what, straight, boxed)
	return nil
}

// baselineEngine is the engine of the sample file that baselines talk to.
const baselineEngine = "runner-zone-a-1"

// serverAddress is where a server is that the baseline talks to.
func serverAddress(fleet *testfleet.Fleet, name string) string {
	for _, server := range fleet.StandIns().File().BackendServers {
		if server.Name == name {
			return server.Address
		}
	}
	return ""
}

func printOverhead(out io.Writer, what string, straight, boxed measured) {
	fmt.Fprintf(out, "%d %s, %d at a time, client and stand-in in the same process\n", boxed.requests, what, overheadWorkers)
	fmt.Fprintf(out, "  %-34s %12s %12s %12s\n", "", "straight", "entry box", "added")
	for _, quantile := range []float64{50, 95, 99} {
		a, b := straight.firstChunk.ValueAtQuantile(quantile), boxed.firstChunk.ValueAtQuantile(quantile)
		fmt.Fprintf(out, "  first chunk, %gth percentile (µs) %11d %12d %12d\n", quantile, a, b, b-a)
	}
	added := boxed.cpuPerRequest() - straight.cpuPerRequest()
	fmt.Fprintf(out, "  %-34s %12.0f %12.0f %12.0f\n", "CPU a request (µs)", straight.cpuPerRequest(), boxed.cpuPerRequest(), added)
	fmt.Fprintf(out, "  %-34s %12.1f %12.1f %12.1f\n", "allocations a request", straight.allocsPerRequest(), boxed.allocsPerRequest(), boxed.allocsPerRequest()-straight.allocsPerRequest())
	fmt.Fprintf(out, "  an entry box on one core carries %.0f such requests, %.0f chunks a second\n", 1e6/added, float64(boxed.chunks)*1e6/added)
}

func waitReady(box *testfleet.Box) error {
	for range 1000 {
		if box.State().Ready {
			return nil
		}
		time.Sleep(5 * time.Millisecond)
	}
	return errors.New("the entry box did not get ready")
}

func requestBody(chunks int, text string) []byte {
	return fmt.Appendf(nil, `{"model":"scene-review","stream":true,"max_tokens":%d,"messages":[{"role":"user","content":%q}]}`, chunks, text)
}

// load sends requests and reads their answers whole.
func load(at target, requests, chunks int) (measured, error) {
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: overheadWorkers}}
	defer client.CloseIdleConnections()
	result := measured{firstChunk: hdrhistogram.New(1, 60_000_000, 3), requests: requests, chunks: chunks}
	var mu sync.Mutex
	var ended sync.WaitGroup
	var failure error
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	cpu := cpuTime()
	for range overheadWorkers {
		ended.Go(func() {
			histogram, err := sendMany(client, at, requests/overheadWorkers, chunks)
			mu.Lock()
			defer mu.Unlock()
			if err != nil {
				failure = err
				return
			}
			result.firstChunk.Merge(histogram)
		})
	}
	ended.Wait()
	result.cpu = cpuTime() - cpu
	runtime.ReadMemStats(&after)
	result.allocs = after.Mallocs - before.Mallocs
	return result, failure
}

func sendMany(client *http.Client, at target, count, chunks int) (*hdrhistogram.Histogram, error) {
	histogram := hdrhistogram.New(1, 60_000_000, 3)
	body := requestBody(chunks, "Hello")
	buffer := make([]byte, 32<<10)
	for range count {
		took, err := sendOne(client, at, body, buffer)
		if err != nil {
			return nil, err
		}
		if err := histogram.RecordValue(max(1, took.Microseconds())); err != nil {
			return nil, err
		}
	}
	return histogram, nil
}

// sendOne sends one request and gives the time to its first chunk.
func sendOne(client *http.Client, at target, body, buffer []byte) (time.Duration, error) {
	request, err := http.NewRequest(http.MethodPost, at.url, bytes.NewReader(body))
	if err != nil {
		return 0, err
	}
	request.Host = at.host
	for name, values := range at.header {
		request.Header[name] = values
	}
	began := time.Now()
	response, err := client.Do(request)
	if err != nil {
		return 0, err
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return 0, fmt.Errorf("status %d", response.StatusCode)
	}
	n, err := response.Body.Read(buffer)
	took := time.Since(began)
	for err == nil {
		n, err = response.Body.Read(buffer)
	}
	if !errors.Is(err, io.EOF) {
		return 0, err
	}
	if n > 0 && !strings.Contains(string(buffer[:n]), at.end) {
		return 0, errors.New("the answer is not whole")
	}
	return took, nil
}

// newBody makes the body of a request for two chunks.
func newBody(text string) io.Reader { return bytes.NewReader(requestBody(2, text)) }
