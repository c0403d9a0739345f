// Package namespace contains the names of the namespaces of stored context. A runner finds
// only context that was stored in the same namespace, so the name consists of the model,
// the weight version and, for an isolated organisation, the organisation.
package namespace

import (
	"fmt"
	"strconv"
	"strings"

	"github.com/ansel1/merry/v2"
)

// Name is the name of a namespace.
type Name struct {
	Model   string
	Weights int
	// Isolated is the organisation if it shares stored context with no other, else empty.
	Isolated string
}

// String returns the name in the form that runners receive.
func (n Name) String() string {
	if n.Isolated == "" {
		return fmt.Sprintf("%s/%d", n.Model, n.Weights)
	}
	return fmt.Sprintf("%s/%d/%s", n.Model, n.Weights, n.Isolated)
}

// Parse parses a name in the form that String returns.
func Parse(text string) (Name, error) {
	fields := strings.SplitN(text, "/", 3)
	if len(fields) < 2 {
		return Name{}, merry.Errorf("%q is no namespace", text)
	}
	weights, err := strconv.Atoi(fields[1])
	if err != nil {
		return Name{}, merry.Errorf("%q is no namespace", text)
	}
	name := Name{Model: fields[0], Weights: weights}
	if len(fields) == 3 {
		name.Isolated = fields[2]
	}
	return name, nil
}
