package cli

import (
	"encoding/json"
	"fmt"
)

func (t *tool) json() bool { return t.options.output == "json" }

func (t *tool) printJSON(value any) error {
	encoder := json.NewEncoder(t.out)
	encoder.SetIndent("", "  ")
	return encoder.Encode(value)
}

// progress writes a progress line to standard error, to keep standard output parseable.
func (t *tool) progress(format string, args ...any) {
	fmt.Fprintf(t.err, format+"\n", args...)
}
