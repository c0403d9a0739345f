// Package cli implements cometlock, the command-line tool for operators.
//
// The tool reads and appends configuration directly in the platform's log. If an entry box did the
// append and crashed while doing so, the outcome would be unknown to the operator. Commands that need the
// state of boxes use their admin ports.
package cli

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/signal"
	"slices"
	"strings"
	"syscall"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/integrii/flaggy"

	"github.com/cometlock/cometlock/internal/boxlist"
	"github.com/cometlock/cometlock/internal/capacity"
	"github.com/cometlock/cometlock/internal/config"
	"github.com/cometlock/cometlock/internal/configlog"
	"github.com/cometlock/cometlock/internal/logservice"
	"github.com/cometlock/cometlock/internal/version"
)

// Exit codes. They are a stable interface for scripts.
const (
	// ExitOK is success.
	ExitOK = 0
	// ExitFailed is any failure that has no specific code below.
	ExitFailed = 1
	// ExitUsage is an invalid command line.
	ExitUsage = 2
	// ExitInvalid is an invalid configuration file; nothing was applied.
	ExitInvalid = 3
	// ExitConflict is an apply that was rejected because another change was applied first; nothing was
	// applied.
	ExitConflict = 4
	// ExitOutcomeUnknown is an apply that may or may not have taken effect.
	ExitOutcomeUnknown = 5
	// ExitWaitTimeout is a configuration that was accepted, but not confirmed to be in force
	// on all boxes before --wait-timeout.
	ExitWaitTimeout = 6
)

// options holds the flags of all commands.
type options struct {
	log             string
	boxList         string
	boxes           string
	operatorKey     string
	caFile          string
	output          string
	wait            bool
	waitTimeout     time.Duration
	readBackTimeout time.Duration
	base            string
	failures        bool
	size            capacity.Size
}

// tool holds the state of one invocation.
type tool struct {
	options options
	// scheme and client are used for requests to the admin ports.
	scheme string
	client http.Client
	out    io.Writer
	err    io.Writer
}

// command describes one command.
type command struct {
	name     string
	argument string // name of the positional argument, or empty if there is none
	optional bool   // whether the argument may be omitted
	help     string
	run      func(t *tool, ctx context.Context, argument string) error
}

func commands() []command {
	return []command{
		{"validate", "file", false, "check a configuration file and list every fault", (*tool).validate},
		{"plan", "file", false, "show what a file would change, before it does", (*tool).plan},
		{"apply", "file", false, "put a file into force as a whole", (*tool).apply},
		{"status", "", false, "show each entry box and the version in force there", (*tool).status},
		{"requests", "", false, "list the reviews that wait or run, with age and deadline", (*tool).requests},
		{"dump", "box", true, "print the whole state of one entry box, or of all, as JSON", (*tool).dump},
		{"drain", "box", false, "begin a planned stop of an entry box", (*tool).drain},
		{"explain", "id", true, "tell the story of a request from the boxes' logs on standard input, or count the failed ones by cause", (*tool).explain},
		{"capacity", "", false, "work out what an entry box takes at a size, from measured slopes", (*tool).capacity},
	}
}

// Main runs the tool and returns its exit code.
func Main(args []string, getenv func(string) string, out, errOut io.Writer) int {
	t := &tool{out: out, err: errOut, options: options{
		log: getenv("COMETLOCK_LOG"), boxList: getenv("COMETLOCK_BOX_LIST"), boxes: getenv("COMETLOCK_BOXES"),
		operatorKey: getenv("COMETLOCK_OPERATOR_KEY"), caFile: getenv("COMETLOCK_TLS_CA"), output: "text", waitTimeout: 30 * time.Second, readBackTimeout: 10 * time.Second,
		size: capacity.DefaultSize(),
	}}
	chosen, argument, err := t.parse(args)
	if err != nil {
		fmt.Fprintln(errOut, "cometlock:", err)
		return ExitUsage
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	if err := chosen.run(t, ctx, argument); err != nil {
		fmt.Fprintln(errOut, "cometlock:", err)
		return exitCode(err)
	}
	return ExitOK
}

func (t *tool) parse(args []string) (command, string, error) {
	parser := flaggy.NewParser("cometlock")
	parser.Description = "Operate a cometlock deployment.\n" +
		"  Exit codes: 0 done, 1 failed, 2 wrong call, 3 faults in the file, 4 beaten by another change,\n" +
		"  5 end unknown, 6 accepted but not seen in force everywhere in time."
	parser.Version = version.Version
	parser.ShowHelpOnUnexpected = true
	parser.String(&t.options.log, "", "log", "IP address and port of the platform's log [COMETLOCK_LOG]")
	parser.String(&t.options.boxList, "", "box-list", "IP address and port of the list of boxes [COMETLOCK_BOX_LIST]")
	parser.String(&t.options.boxes, "", "boxes", "admin addresses of the boxes, instead of the list [COMETLOCK_BOXES]")
	parser.String(&t.options.caFile, "", "tls-ca", "file of the authority of the boxes' certificates; empty: admin ports without TLS [COMETLOCK_TLS_CA]")
	parser.String(&t.options.output, "o", "output", "text or json")
	rows := commands()
	arguments := make([]string, len(rows))
	subcommands := make([]*flaggy.Subcommand, len(rows))
	for i, row := range rows {
		sub := flaggy.NewSubcommand(row.name)
		sub.Description = row.help
		if row.argument != "" {
			sub.AddPositionalValue(&arguments[i], row.argument, 1, !row.optional, row.argument)
		}
		if row.name == "apply" {
			sub.Bool(&t.options.wait, "", "wait", "wait until the version is in force on all boxes")
			sub.Duration(&t.options.waitTimeout, "", "wait-timeout", "longest time for --wait (duration)")
			sub.Duration(&t.options.readBackTimeout, "", "look-for", "how long to look for a change whose append got no answer (duration)")
			sub.String(&t.options.base, "", "base", "apply only if this version is in force, as plan showed it")
		}
		if row.name == "capacity" {
			t.addSizeFlags(sub)
		}
		if row.name == "explain" {
			sub.Bool(&t.options.failures, "", "failures", "count the failed requests by cause, with an example each")
		}
		parser.AttachSubcommand(sub, 1)
		subcommands[i] = sub
	}
	if err := parser.ParseArgs(args); err != nil {
		return command{}, "", err
	}
	if t.options.output != "text" && t.options.output != "json" {
		return command{}, "", merry.Errorf("-o is text or json, not %q", t.options.output)
	}
	if err := t.setClient(); err != nil {
		return command{}, "", err
	}
	for i, sub := range subcommands {
		if sub.Used {
			return rows[i], arguments[i], nil
		}
	}
	return command{}, "", merry.New("a command is needed; see --help")
}

// setClient sets the scheme and HTTP client for the admin ports: HTTPS if --tls-ca is set, else HTTP.
func (t *tool) setClient() error {
	t.scheme = "http"
	if t.options.caFile == "" {
		return nil
	}
	text, err := os.ReadFile(t.options.caFile)
	if err != nil {
		return merry.Prepend(err, "--tls-ca")
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(text) {
		return merry.Errorf("--tls-ca: %s holds no certificate", t.options.caFile)
	}
	t.scheme = "https"
	t.client.Transport = &http.Transport{TLSClientConfig: &tls.Config{MinVersion: tls.VersionTLS13, RootCAs: pool}}
	return nil
}

// exitCode maps errors to exit codes.
func exitCode(err error) int {
	if _, ok := errors.AsType[*config.InvalidError](err); ok {
		return ExitInvalid
	}
	if _, ok := errors.AsType[*configlog.ConflictError](err); ok {
		return ExitConflict
	}
	switch {
	case errors.Is(err, configlog.ErrOutcomeUnknown):
		return ExitOutcomeUnknown
	case errors.Is(err, errWaitTimeout):
		return ExitWaitTimeout
	case errors.Is(err, errUsage):
		return ExitUsage
	default:
		return ExitFailed
	}
}

var (
	errUsage       = merry.Sentinel("wrong call")
	errWaitTimeout = merry.Sentinel("accepted, but not seen in force on all boxes in time")
)

func (t *tool) logClient() (logservice.Log, error) {
	if t.options.log == "" {
		return nil, merry.Wrap(errUsage, merry.AppendMessage("--log or COMETLOCK_LOG is needed"))
	}
	return logservice.NewClient(logservice.ClientConfig{Address: t.options.log}), nil
}

// findBoxes returns the entry boxes from --boxes or else from the box list.
func (t *tool) findBoxes(ctx context.Context) ([]boxlist.Box, error) {
	if t.options.boxes != "" {
		var boxes []boxlist.Box
		for _, address := range strings.Split(t.options.boxes, ",") {
			boxes = append(boxes, boxlist.Box{Name: address, Admin: address, State: boxlist.Live})
		}
		return boxes, nil
	}
	if t.options.boxList == "" {
		return nil, merry.Wrap(errUsage, merry.AppendMessage("--box-list, COMETLOCK_BOX_LIST or --boxes is needed"))
	}
	listed, err := boxlist.NewClient(t.options.boxList).Boxes(ctx)
	if err != nil {
		return nil, err
	}
	// The list also contains backend servers, which have no admin port.
	return slices.DeleteFunc(listed, func(box boxlist.Box) bool { return box.Admin == "" }), nil
}
