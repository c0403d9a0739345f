// Command cometlock-entry runs an entry box of cometlock on its users' platform.
package main

import (
	"os"

	"github.com/cometlock/cometlock/platform"
)

func main() { os.Exit(platform.Main(os.Args[1:], os.Getenv, os.Stdout)) }
