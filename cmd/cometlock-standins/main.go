// Command cometlock-standins is one process of stand-ins for everything around
// the entry boxes, for trying a fleet out.
package main

import (
	"os"

	"github.com/cometlock/cometlock/internal/standinsmain"
)

func main() { os.Exit(standinsmain.Main(os.Args[1:], os.Stderr)) }
