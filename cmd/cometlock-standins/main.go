// Command cometlock-standins runs stand-ins for all services around the entry boxes in one process, for
// local trials of a fleet.
package main

import (
	"os"

	"github.com/cometlock/cometlock/internal/standinsmain"
)

func main() { os.Exit(standinsmain.Main(os.Args[1:], os.Stderr)) }
