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

// Files that an open stream takes in this process: both ends of the caller's
// connection and both ends of the engine's.
const (
	filesPerStream = 4
	spareFiles     = 500
	wantedStreams  = 10_000
)

// openStreams holds many streams open at once and measures what they take.
func openStreams(out io.Writer) error {
	if err := inRepository(); err != nil {
		return err
	}
	streams, files := possibleStreams()
	fmt.Fprintf(out, "the rig's limit: %d open files in one process, %d a stream with client and engine; each stream has had its first chunk\n", files, filesPerStream)
	for _, promptBytes := range []int{shortPrompt, longPrompt} {
		if promptBytes == longPrompt {
			streams = longStreams
		}
		if err := printHeld(out, streams, promptBytes); err != nil {
			return err
		}
	}
	return nil
}

// Prompts of the open streams, in bytes, and how many have the long one.
const (
	shortPrompt = 20
	longPrompt  = 64 << 10
	longStreams = 1000
)

func printHeld(out io.Writer, streams, promptBytes int) error {
	straight, err := heldMemory(streams, promptBytes, false)
	if err != nil {
		return err
	}
	boxed, err := heldMemory(streams, promptBytes, true)
	if err != nil {
		return err
	}
	perStream := (float64(boxed) - float64(straight)) / float64(streams)
	fmt.Fprintf(out, "%d open streams with prompts of %d bytes\n", streams, promptBytes)
	fmt.Fprintf(out, "  straight to the engine: %d KiB a stream; through an entry box: %d KiB; the entry box alone: %.1f KiB\n",
		straight/uint64(streams)>>10, boxed/uint64(streams)>>10, perStream/1024)
	fmt.Fprintf(out, "  %d streams at that rate: %.0f MB\n", wantedStreams, perStream*wantedStreams/1e6)
	return nil
}

func possibleStreams() (streams, files int) {
	var limit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err != nil {
		return wantedStreams / filesPerStream, 0
	}
	files = int(min(limit.Cur, 1<<20))
	return min(wantedStreams, (files-spareFiles)/filesPerStream), files
}

// heldMemory opens streams, straight or through an entry box, and gives the heap
// and stacks that they take.
func heldMemory(streams, promptBytes int, throughBox bool) (uint64, error) {
	fleet, err := testfleet.Start(testfleet.Config{
		File: sampleFile, Zones: []string{"zone-a"},
		Engine:     fakeengine.Config{DecodeInterval: time.Hour, NoFirstDelay: true},
		EditConfig: func(file *config.File) { widen(file, streams) },
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
	if err := openMany(ctx, fleet, at, streams, promptBytes); err != nil {
		return 0, err
	}
	return settledMemory() - before, nil
}

// widen makes room for all streams at once.
func widen(file *config.File, streams int) {
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

// openMany opens streams and waits until the engines have them all.
func openMany(ctx context.Context, fleet *testfleet.Fleet, at target, streams, promptBytes int) error {
	client := &http.Client{Transport: &http.Transport{}}
	gate := make(chan struct{}, 64)
	for i := range streams {
		gate <- struct{}{}
		held := &heldStream{client: client, at: at, text: fmt.Sprintf("%0*d", promptBytes, i), gate: gate}
		go held.loop(ctx)
	}
	for range 2000 {
		if runsAtEngines(fleet) >= streams {
			return nil
		}
		time.Sleep(10 * time.Millisecond)
	}
	return fmt.Errorf("%d of %d streams reached the engines", runsAtEngines(fleet), streams)
}

func runsAtEngines(fleet *testfleet.Fleet) int {
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

// heldStream is one request that is left open.
type heldStream struct {
	client *http.Client
	at     target
	text   string
	gate   chan struct{}
}

func (h *heldStream) loop(ctx context.Context) {
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, h.at.url, newBody(h.text))
	if err != nil {
		return
	}
	for name, values := range h.at.header {
		request.Header[name] = values
	}
	time.AfterFunc(20*time.Millisecond, func() { <-h.gate })
	response, err := h.client.Do(request)
	if err == nil {
		_, _ = io.Copy(io.Discard, response.Body) // until the bench ends
		_ = response.Body.Close()
	}
}

// Settling: what earlier sections of the bench left behind must be gone.
const (
	settlePause  = 200 * time.Millisecond
	settleRounds = 50
	settleSame   = 4
	settleSlack  = 64 << 10
)

// settledMemory is the heap and stack in use once the collector finds nothing
// more to free.
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
		if last = now; same >= settleSame {
			break
		}
	}
	return last
}
