package plainservice

import (
	"iter"
	"strings"
)

// splitList returns the elements of a comma-separated header value.
func splitList(value string) iter.Seq[string] {
	return func(yield func(string) bool) {
		for part := range strings.SplitSeq(value, ",") {
			if !yield(strings.TrimSpace(part)) {
				return
			}
		}
	}
}
