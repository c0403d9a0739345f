// Command cometlockd runs an entry box of cometlock.
package main

import (
	"os"

	"github.com/cometlock/cometlock/internal/daemonmain"
)

func main() { os.Exit(daemonmain.Main(os.Args[1:], os.Getenv, os.Stderr)) }
