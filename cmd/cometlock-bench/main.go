// Command cometlock-bench prints the figures that docs/ quotes.
package main

import (
	"os"

	"github.com/cometlock/cometlock/internal/bench"
)

func main() { os.Exit(bench.Main(os.Args[1:], os.Stdout, os.Stderr)) }
