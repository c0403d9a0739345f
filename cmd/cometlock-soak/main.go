// Command cometlock-soak runs soak tests: it starts entry boxes as separate processes, injects faults, and
// checks the results at callers and backend servers.
package main

import (
	"context"
	"os"
	"os/signal"

	"github.com/cometlock/cometlock/platform/standin/soakplay"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	code := soakplay.Main(ctx, os.Args[1:], os.Stdout)
	stop()
	os.Exit(code)
}
