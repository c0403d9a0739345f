// Command cometlock is the command-line tool for operators.
package main

import (
	"os"

	"github.com/cometlock/cometlock/internal/cli"
)

func main() { os.Exit(cli.Main(os.Args[1:], os.Getenv, os.Stdout, os.Stderr)) }
