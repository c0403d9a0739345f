// Command cometlock-try starts a stand-in of the users' platform with entry boxes in front of it, and sends
// calls until it is interrupted.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"

	"github.com/cometlock/cometlock/platform/standin"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	defer stop()
	if err := standin.Try(ctx, os.Stdout, os.Stderr); err != nil {
		fmt.Fprintln(os.Stderr, "cometlock-try:", err)
		os.Exit(1)
	}
}
