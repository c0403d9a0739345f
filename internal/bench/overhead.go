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

// Size of the overhead measurement.
const (
	overheadRequests = 4000
	overheadChunks   = 100
	overheadWorkers  = 4
)

// target is the destination of the client's requests.
type target struct {
	url    string
	host   string // Host header; empty for the host of the URL
	header http.Header
	// terminator is contained in the last chunk of a complete answer.
	terminator string
}

// loadResult is the result of a number of requests.
type loadResult struct {
	firstChunk *hdrhistogram.Histogram // microseconds
	cpu        time.Duration
	allocs     uint64
	requests   int
	chunks     int
}

func (m loadResult) cpuPerRequest() float64 { return m.cpu.Seconds() * 1e6 / float64(m.requests) }

func (m loadResult) allocsPerRequest() float64 { return float64(m.allocs) / float64(m.requests) }

// overhead compares a client that is connected directly to an engine with the same client through
// an entry box. The two take turns, so that they run under the same conditions.
func overhead(out io.Writer) error {
	if err := checkRepository(); err != nil {
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
	engine := target{url: "http://" + serverAddress(fleet, baselineEngine) + completions, terminator: streamEnd}
	single, many := 1, overheadChunks
	for _, chunks := range []int{single, many} {
		what := fmt.Sprintf("requests of %d chunks", chunks)
		if err := compareOverhead(out, what, chunks, engine, target{url: box + completions, header: key, terminator: streamEnd}); err != nil {
			return err
		}
	}
	// The route booking-desk of the sample file leads to the service booking.
	const desk, answerEnd = "/desk/1", "run="
	booking := target{url: "http://" + serverAddress(fleet, "booking-zone-a-1") + desk, terminator: answerEnd}
	return compareOverhead(out, "calls by route", 1, booking, target{url: box + desk, host: "booking.example", header: key, terminator: answerEnd})
}

// compareOverhead sends the same requests directly to a server and through an entry box.
func compareOverhead(out io.Writer, what string, chunks int, direct, through target) error {
	const warmUp = overheadRequests / 10
	for _, at := range []target{direct, through} {
		if _, err := sendLoad(at, warmUp, chunks); err != nil {
			return err
		}
	}
	directResult, err := sendLoad(direct, overheadRequests, chunks)
	if err != nil {
		return err
	}
	boxResult, err := sendLoad(through, overheadRequests, chunks)
	if err != nil {
		return err
	}
	printOverhead(out, what, directResult, boxResult)
	return nil
}

// baselineEngine is the engine of the sample file that the baseline requests go to.
const baselineEngine = "runner-zone-a-1"

// serverAddress returns the address of a server of the sample file.
func serverAddress(fleet *testfleet.Fleet, name string) string {
	for _, server := range fleet.StandIns().File().BackendServers {
		if server.Name == name {
			return server.Address
		}
	}
	return ""
}

func printOverhead(out io.Writer, what string, direct, throughBox loadResult) {
	fmt.Fprintf(out, "%d %s, %d at a time, client and stand-in in the same process\n", throughBox.requests, what, overheadWorkers)
	fmt.Fprintf(out, "  %-34s %12s %12s %12s\n", "", "straight", "entry box", "added")
	for _, quantile := range []float64{50, 95, 99} {
		a, b := direct.firstChunk.ValueAtQuantile(quantile), throughBox.firstChunk.ValueAtQuantile(quantile)
		fmt.Fprintf(out, "  first chunk, %gth percentile (µs) %11d %12d %12d\n", quantile, a, b, b-a)
	}
	added := throughBox.cpuPerRequest() - direct.cpuPerRequest()
	fmt.Fprintf(out, "  %-34s %12.0f %12.0f %12.0f\n", "CPU a request (µs)", direct.cpuPerRequest(), throughBox.cpuPerRequest(), added)
	fmt.Fprintf(out, "  %-34s %12.1f %12.1f %12.1f\n", "allocations a request", direct.allocsPerRequest(), throughBox.allocsPerRequest(), throughBox.allocsPerRequest()-direct.allocsPerRequest())
	fmt.Fprintf(out, "  an entry box on one core carries %.0f such requests, %.0f chunks a second\n", 1e6/added, float64(throughBox.chunks)*1e6/added)
}

func waitReady(box *testfleet.Box) error {
	for range 1000 {
		if box.State().Ready {
			return nil
		}
		time.Sleep(5 * time.Millisecond)
	}
	return errors.New("the entry box did not become ready")
}

func requestBody(chunks int, text string) []byte {
	return fmt.Appendf(nil, `{"model":"scene-review","stream":true,"max_tokens":%d,"messages":[{"role":"user","content":%q}]}`, chunks, text)
}

// sendLoad sends requests concurrently and reads their complete answers.
func sendLoad(at target, requests, chunks int) (loadResult, error) {
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: overheadWorkers}}
	defer client.CloseIdleConnections()
	result := loadResult{firstChunk: hdrhistogram.New(1, 60_000_000, 3), requests: requests, chunks: chunks}
	var mu sync.Mutex
	var workers sync.WaitGroup
	var failure error
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	cpu := cpuTime()
	for range overheadWorkers {
		workers.Go(func() {
			histogram, err := sendRequests(client, at, requests/overheadWorkers, chunks)
			mu.Lock()
			defer mu.Unlock()
			if err != nil {
				failure = err
				return
			}
			result.firstChunk.Merge(histogram)
		})
	}
	workers.Wait()
	result.cpu = cpuTime() - cpu
	runtime.ReadMemStats(&after)
	result.allocs = after.Mallocs - before.Mallocs
	return result, failure
}

func sendRequests(client *http.Client, at target, count, chunks int) (*hdrhistogram.Histogram, error) {
	histogram := hdrhistogram.New(1, 60_000_000, 3)
	body := requestBody(chunks, "Hello")
	buffer := make([]byte, 32<<10)
	for range count {
		latency, err := sendOne(client, at, body, buffer)
		if err != nil {
			return nil, err
		}
		if err := histogram.RecordValue(max(1, latency.Microseconds())); err != nil {
			return nil, err
		}
	}
	return histogram, nil
}

// sendOne sends one request and returns the time to its first chunk.
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
	latency := time.Since(began)
	for err == nil {
		n, err = response.Body.Read(buffer)
	}
	if !errors.Is(err, io.EOF) {
		return 0, err
	}
	if n > 0 && !strings.Contains(string(buffer[:n]), at.terminator) {
		return 0, errors.New("the answer is incomplete")
	}
	return latency, nil
}

// newBody returns the body of a request for two chunks.
func newBody(text string) io.Reader { return bytes.NewReader(requestBody(2, text)) }
