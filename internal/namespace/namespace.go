// Package namespace names what keeps kept context apart: a runner finds only what
// was made under the same name, so a name holds the model, the version of its
// weights and, for an isolated organisation, that organisation.
package namespace

import (
	"fmt"
	"strconv"
	"strings"

	"github.com/ansel1/merry/v2"
)

// Name is a namespace.
type Name struct {
	Model   string
	Weights int
	// Isolated is the organisation that shares with no other, or nothing.
	Isolated string
}

// String writes the name as runners get it.
func (n Name) String() string {
	if n.Isolated == "" {
		return fmt.Sprintf("%s/%d", n.Model, n.Weights)
	}
	return fmt.Sprintf("%s/%d/%s", n.Model, n.Weights, n.Isolated)
}

// Parse reads a name that String wrote.
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
