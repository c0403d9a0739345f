// Package standinsmain implements the program cometlock-standins, which runs the
// stand-ins of package standins.
package standinsmain

import (
	"context"
	"fmt"
	"io"
	"os"
	"os/signal"
	"strings"
	"syscall"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/google/uuid"
	"github.com/integrii/flaggy"

	"github.com/cometlock/cometlock/internal/boxlist"
	"github.com/cometlock/cometlock/internal/config"
	"github.com/cometlock/cometlock/internal/configlog"
	"github.com/cometlock/cometlock/internal/fakeengine"
	"github.com/cometlock/cometlock/internal/standins"
	"github.com/cometlock/cometlock/internal/version"
)

// Exit codes.
const (
	exitOK     = 0
	exitFailed = 1
	exitUsage  = 2
)

type options struct {
	file     string
	log      string
	boxList  string
	boxes    string
	prefill  float64
	decode   time.Duration
	loadTime time.Duration
	apply    bool
}

// Main runs the stand-ins until SIGTERM or an interrupt. It returns the exit code.
func Main(args []string, output io.Writer) int {
	opts := options{
		log: "127.0.0.1:8183", boxList: "127.0.0.1:8184", prefill: 20_000, decode: 15 * time.Millisecond, loadTime: time.Second,
	}
	parser := flaggy.NewParser("cometlock-standins")
	parser.Description = "Stand-ins for the platform's log and list of boxes and for every backend server of a file.\n" +
		"  Faults: PUT /faults on the address of the log, an engine or a plain service; see docs/operators.md."
	parser.Version = version.Version
	parser.ShowCompletion = false
	parser.String(&opts.file, "", "file", "configuration file that names the backend servers")
	parser.String(&opts.log, "", "log", "IP address and port of the log")
	parser.String(&opts.boxList, "", "box-list", "IP address and port of the list of boxes")
	parser.String(&opts.boxes, "", "boxes", "entry boxes in the list: name,zone,peer,admin,caller; …")
	parser.Float64(&opts.prefill, "", "prefill", "prefill rate of the engines (tokens per second)")
	parser.Duration(&opts.decode, "", "decode", "time between two chunks of an engine (duration)")
	parser.Duration(&opts.loadTime, "", "load-time", "duration of one weight load (duration)")
	parser.Bool(&opts.apply, "", "apply", "apply the file at the start")
	if err := parser.ParseArgs(args); err != nil {
		fmt.Fprintln(output, "cometlock-standins:", err)
		return exitUsage
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	if err := run(ctx, opts, output); err != nil {
		fmt.Fprintln(output, "cometlock-standins:", err)
		return exitFailed
	}
	return exitOK
}

func run(ctx context.Context, opts options, output io.Writer) error {
	source, err := os.ReadFile(opts.file)
	if err != nil {
		return err
	}
	file, err := config.Parse(source)
	if err != nil {
		return err
	}
	boxes, err := parseBoxes(opts.boxes)
	if err != nil {
		return err
	}
	set, err := standins.Start(standins.Config{
		File: file, LogAddress: opts.log, BoxListAddress: opts.boxList, Boxes: boxes, BoxListLag: time.Second,
		Engine: fakeengine.Config{PrefillTokensPerSecond: opts.prefill, DecodeInterval: opts.decode, LoadTime: opts.loadTime},
	})
	if err != nil {
		return err
	}
	defer set.Close()
	if opts.apply {
		if _, err := configlog.Apply(ctx, configlog.ApplyConfig{Log: set.Log(), ApplyID: uuid.NewString(), ReadBackTimeout: 5 * time.Second}, file); err != nil {
			return err
		}
	}
	fmt.Fprintf(output, "event=standins_started log=%s box_list=%s backend_servers=%d\n", opts.log, opts.boxList, len(file.BackendServers))
	<-ctx.Done()
	return nil
}

// boxFields is the number of comma-separated fields of a box in --boxes.
const boxFields = 5

func parseBoxes(text string) ([]boxlist.Box, error) {
	var boxes []boxlist.Box
	for _, part := range strings.FieldsFunc(text, func(r rune) bool { return r == ';' }) {
		fields := strings.Split(strings.TrimSpace(part), ",")
		if len(fields) != boxFields {
			return nil, merry.Errorf("--boxes: %q is not name,zone,peer,admin,caller", part)
		}
		boxes = append(boxes, boxlist.Box{Name: fields[0], Zone: fields[1], Peer: fields[2], Admin: fields[3], Caller: fields[4]})
	}
	return boxes, nil
}
