// Package bench measures cometlock on one machine and prints the figures that docs/ quotes.
//
// Wall-clock figures can only be compared within the same run, so each is measured together with
// its baseline: the same client connected directly to the same stand-in. Slopes (the cost of one
// more organisation, runner or cached context) are used for docs/CAPACITY.md by `cometlock
// capacity`.
package bench

import (
	"fmt"
	"io"
	"os"
	"runtime"
	"syscall"
	"time"

	"github.com/integrii/flaggy"

	"github.com/cometlock/cometlock/internal/policybench"
	"github.com/cometlock/cometlock/internal/sitebench"
	"github.com/cometlock/cometlock/internal/version"
)

// Exit codes.
const (
	exitOK     = 0
	exitFailed = 1
	exitUsage  = 2
)

// section is one part of the bench.
type section struct {
	name string
	help string
	run  func(out io.Writer) error
}

func sections() []section {
	return []section{
		{"overhead", "time and CPU added to a streamed request", overhead},
		{"streams", "memory of open streams", openStreams},
		{"apply", "time from apply to in force on eight entry boxes", measureApply},
		{"claims", "claims a second and their latency at a log of 200 appends a second", claims},
		{"soak", "100,000 requests under faults, held against the stand-ins' ledgers", runSoak},
		{"slopes", "what one more of everything costs", printSlopes},
		{"policy", "placement policies on the loads of both deployments and on models of the users' sites", comparePolicies},
	}
}

// Main runs the sections that the arguments name, or all of them.
func Main(args []string, out, errOut io.Writer) int {
	parser := flaggy.NewParser("cometlock-bench")
	parser.Description = "Measure cometlock. Without a command, everything."
	parser.Version = version.Version
	parser.ShowCompletion = false
	rows := sections()
	subcommands := make([]*flaggy.Subcommand, len(rows))
	for i, row := range rows {
		subcommands[i] = flaggy.NewSubcommand(row.name)
		subcommands[i].Description = row.help
		parser.AttachSubcommand(subcommands[i], 1)
	}
	for _, reader := range reportCommands() {
		subcommand := flaggy.NewSubcommand(reader.name)
		subcommand.Description = reader.help
		parser.AttachSubcommand(subcommand, 1)
		if len(args) > 0 && args[0] == reader.name {
			return runReportCommand(reader, args[1:], out, errOut)
		}
	}
	if err := parser.ParseArgs(args); err != nil {
		fmt.Fprintln(errOut, "cometlock-bench:", err)
		return exitUsage
	}
	fmt.Fprintf(out, "# cometlock %s, %s, %d cores\n", version.Version, runtime.Version(), runtime.NumCPU())
	for i, row := range rows {
		if len(args) > 0 && !subcommands[i].Used {
			continue
		}
		fmt.Fprintf(out, "\n## %s: %s\n", row.name, row.help)
		if err := row.run(out); err != nil {
			fmt.Fprintln(errOut, "cometlock-bench:", row.name+":", err)
			return exitFailed
		}
	}
	return exitOK
}

// comparePolicies runs both policy benches: the one for cometlockd's own policy, and the one for
// the policy that places prompts by routes and on the users' platform.
func comparePolicies(out io.Writer) error {
	if err := policybench.Run(out); err != nil {
		return err
	}
	return sitebench.Run(out)
}

// cpuTime returns the CPU time that this process has used.
func cpuTime() time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// sampleFile is the configuration of the test fleets of the bench.
const sampleFile = "examples/local.yaml"

// checkRepository returns an error if the sample file is missing, i.e. if the bench runs outside
// the repository.
func checkRepository() error {
	_, err := os.Stat(sampleFile)
	return err
}
