// Command cometlock-soak plays entry boxes as real processes under faults from outside, and
// checks what callers and backend servers see.
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
