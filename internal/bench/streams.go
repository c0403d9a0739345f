package bench

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"runtime"
	"syscall"
	"time"

	"github.com/cometlock/cometlock/internal/config"
	"github.com/cometlock/cometlock/internal/fakeengine"
	"github.com/cometlock/cometlock/internal/testfleet"
)

// Files that an open stream uses in this process: both ends of the caller's connection and both
// ends of the connection to the engine.
const (
	filesPerStream = 4
	reservedFiles  = 500
	targetStreams  = 10_000
)

// openStreams keeps many streams open at the same time and measures their memory.
func openStreams(out io.Writer) error {
	if err := checkRepository(); err != nil {
		return err
	}
	streams, files := streamLimit()
	fmt.Fprintf(out, "the rig's limit: %d open files in one process, %d a stream with client and engine; each stream has had its first chunk\n", files, filesPerStream)
	for _, promptBytes := range []int{shortPrompt, longPrompt} {
		if promptBytes == longPrompt {
			streams = longStreams
		}
		if err := printStreamMemory(out, streams, promptBytes); err != nil {
			return err
		}
	}
	return nil
}

// Prompt lengths of the open streams in bytes, and the number of streams with the long prompt.
const (
	shortPrompt = 20
	longPrompt  = 64 << 10
	longStreams = 1000
)

func printStreamMemory(out io.Writer, streams, promptBytes int) error {
	direct, err := streamMemory(streams, promptBytes, false)
	if err != nil {
		return err
	}
	throughBox, err := streamMemory(streams, promptBytes, true)
	if err != nil {
		return err
	}
	perStream := (float64(throughBox) - float64(direct)) / float64(streams)
	fmt.Fprintf(out, "%d open streams with prompts of %d bytes\n", streams, promptBytes)
	fmt.Fprintf(out, "  straight to the engine: %d KiB a stream; through an entry box: %d KiB; the entry box alone: %.1f KiB\n",
		direct/uint64(streams)>>10, throughBox/uint64(streams)>>10, perStream/1024)
	fmt.Fprintf(out, "  %d streams at that rate: %.0f MB\n", targetStreams, perStream*targetStreams/1e6)
	return nil
}

func streamLimit() (streams, files int) {
	var limit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err != nil {
		return targetStreams / filesPerStream, 0
	}
	files = int(min(limit.Cur, 1<<20))
	return min(targetStreams, (files-reservedFiles)/filesPerStream), files
}

// streamMemory opens streams, directly or through an entry box, and returns the heap and stack
// memory that they use.
func streamMemory(streams, promptBytes int, throughBox bool) (uint64, error) {
	fleet, err := testfleet.Start(testfleet.Config{
		File: sampleFile, Zones: []string{"zone-a"},
		Engine:     fakeengine.Config{DecodeInterval: time.Hour, NoFirstDelay: true},
		EditConfig: func(file *config.File) { raiseLimits(file, streams) },
	})
	if err != nil {
		return 0, err
	}
	defer fleet.Close()
	if err := waitReady(fleet.Box(0)); err != nil {
		return 0, err
	}
	at := target{url: "http://" + fleet.Box(0).CallerAddress() + "/v1/chat/completions", header: http.Header{"Authorization": {"Bearer " + testfleet.KeyNordlys}}}
	if !throughBox {
		at = target{url: "http://" + serverAddress(fleet, baselineEngine) + "/v1/chat/completions", header: http.Header{}}
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	before := settledMemory()
	if err := openAll(ctx, fleet, at, streams, promptBytes); err != nil {
		return 0, err
	}
	return settledMemory() - before, nil
}

// raiseLimits raises the limits so that all streams can be open at the same time.
func raiseLimits(file *config.File, streams int) {
	for i := range file.BackendServers {
		if file.BackendServers[i].Role == config.RoleRunner {
			file.BackendServers[i].Slots = 2 * streams
		}
	}
	for i := range file.Organisations {
		file.Organisations[i].MaxInFlight = 2 * streams
	}
	file.Limits.QueueLength = 2 * streams
}

// openAll opens the streams and waits until the engines have started all of them.
func openAll(ctx context.Context, fleet *testfleet.Fleet, at target, streams, promptBytes int) error {
	client := &http.Client{Transport: &http.Transport{}}
	gate := make(chan struct{}, 64)
	for i := range streams {
		gate <- struct{}{}
		stream := &openStream{client: client, at: at, text: fmt.Sprintf("%0*d", promptBytes, i), connecting: gate}
		go stream.run(ctx)
	}
	for range 2000 {
		if startedRuns(fleet) >= streams {
			return nil
		}
		time.Sleep(10 * time.Millisecond)
	}
	return fmt.Errorf("%d of %d streams reached the engines", startedRuns(fleet), streams)
}

func startedRuns(fleet *testfleet.Fleet) int {
	runs := 0
	for _, server := range fleet.StandIns().File().BackendServers {
		if server.Role == config.RoleRunner {
			for _, count := range fleet.StandIns().Engine(server.Name).Ledger().Starts {
				runs += count
			}
		}
	}
	return runs
}

// openStream is one request that stays open.
type openStream struct {
	client     *http.Client
	at         target
	text       string
	connecting chan struct{}
}

func (h *openStream) run(ctx context.Context) {
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, h.at.url, newBody(h.text))
	if err != nil {
		return
	}
	for name, values := range h.at.header {
		request.Header[name] = values
	}
	time.AfterFunc(20*time.Millisecond, func() { <-h.connecting })
	response, err := h.client.Do(request)
	if err == nil {
		_, _ = io.Copy(io.Discard, response.Body) // until the bench ends
		_ = response.Body.Close()
	}
}

// Memory is measured only once it is stable, so that the memory of earlier sections is freed
// first.
const (
	settlePause  = 200 * time.Millisecond
	settleRounds = 50
	settleStable = 4
	settleSlack  = 64 << 10
)

// settledMemory returns the heap and stack memory in use once garbage collections free no more.
func settledMemory() uint64 {
	var last uint64
	same := 0
	for range settleRounds {
		runtime.GC()
		time.Sleep(settlePause)
		var memory runtime.MemStats
		runtime.ReadMemStats(&memory)
		now := memory.HeapAlloc + memory.StackInuse
		if same++; now+settleSlack < last || last+settleSlack < now {
			same = 0
		}
		if last = now; same >= settleStable {
			break
		}
	}
	return last
}
