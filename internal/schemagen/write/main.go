// Command write writes the schema to the file given as its argument.
package main

import (
	"fmt"
	"os"

	"github.com/cometlock/cometlock/internal/schemagen"
)

func main() {
	data, err := schemagen.Generate()
	if err == nil {
		err = os.WriteFile(os.Args[1], data, 0o644)
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}
