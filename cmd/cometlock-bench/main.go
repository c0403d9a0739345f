// Command cometlock-bench runs the benchmarks and prints the figures that are quoted in docs/.
package main

import (
	"os"

	"github.com/cometlock/cometlock/internal/bench"
)

func main() { os.Exit(bench.Main(os.Args[1:], os.Stdout, os.Stderr)) }
