package config

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"regexp"
	"strconv"
	"strings"

	"go.yaml.in/yaml/v3"
)

// Fault is one validation error in a file.
type Fault struct {
	// Line counts from 1; 0 means that the fault has no line.
	Line int `json:"line"`
	// Field is the path of the field, such as "organisations[2].share".
	Field string `json:"field"`
	// Message describes the fault.
	Message string `json:"message"`
}

// String formats the fault so that editors can jump to its line.
func (f Fault) String() string {
	if f.Field == "" {
		return fmt.Sprintf("line %d: %s", f.Line, f.Message)
	}
	return fmt.Sprintf("line %d: %s: %s", f.Line, f.Field, f.Message)
}

// InvalidError lists all faults of a file, in the order of their lines.
type InvalidError struct {
	faults []Fault
}

// Faults returns all faults.
func (e *InvalidError) Faults() []Fault { return e.faults }

// Error implements the error interface.
func (e *InvalidError) Error() string {
	lines := make([]string, len(e.faults))
	for i, fault := range e.faults {
		lines[i] = fault.String()
	}
	return strings.Join(lines, "\n")
}

// decoderLine matches an error of the YAML library, such as "line 7: field shares not found in
// type config.Organisation".
var decoderLine = regexp.MustCompile(`^(?:yaml: )?line (\d+): (.*)$`)

// Parse parses and checks a whole file. The error is an *InvalidError that lists every fault.
func Parse(source []byte) (*File, error) {
	var root yaml.Node
	if err := yaml.Unmarshal(source, &root); err != nil {
		return nil, &InvalidError{faults: decoderFaults(err)}
	}
	file := &File{}
	decoder := yaml.NewDecoder(bytes.NewReader(source))
	decoder.KnownFields(true)
	var faults []Fault
	if err := decoder.Decode(file); errors.Is(err, io.EOF) {
		return nil, &InvalidError{faults: decoderFaults(err)}
	} else if err != nil {
		faults = decoderFaults(err)
	}
	file.setDefaults()
	for _, fault := range check(file) {
		fault.Line = lineOf(&root, fault.Field)
		faults = append(faults, fault)
	}
	if len(faults) > 0 {
		sortFaults(faults)
		return nil, &InvalidError{faults: faults}
	}
	file.sortLists()
	return file, nil
}

func decoderFaults(err error) []Fault {
	if errors.Is(err, io.EOF) {
		return []Fault{{Line: 1, Message: "the file is empty"}}
	}
	messages := []string{err.Error()}
	if typeError, ok := errors.AsType[*yaml.TypeError](err); ok {
		messages = typeError.Errors
	}
	faults := make([]Fault, 0, len(messages))
	for _, message := range messages {
		faults = append(faults, decoderFault(message))
	}
	return faults
}

func decoderFault(message string) Fault {
	match := decoderLine.FindStringSubmatch(message)
	if match == nil {
		return Fault{Message: strings.TrimPrefix(message, "yaml: ")}
	}
	line, err := strconv.Atoi(match[1])
	if err != nil {
		return Fault{Message: message}
	}
	text := match[2]
	if field, rest, ok := strings.Cut(strings.TrimPrefix(text, "field "), " not found in type "); ok {
		text = fmt.Sprintf("unknown key %q in %s", field, strings.ToLower(strings.TrimPrefix(rest, "config.")))
	}
	return Fault{Line: line, Message: text}
}

// lineOf returns the line of a field path such as "organisations[2].share". If the field is not
// in the file, it returns the line of the nearest enclosing field, which is where the missing
// one belongs.
func lineOf(root *yaml.Node, path string) int {
	node := root
	if node.Kind == yaml.DocumentNode && len(node.Content) > 0 {
		node = node.Content[0]
	}
	line := node.Line
	for _, part := range strings.FieldsFunc(path, func(r rune) bool { return r == '.' || r == '[' || r == ']' }) {
		if node = childNode(node, part); node == nil {
			return line
		}
		line = node.Line
	}
	return line
}

func childNode(node *yaml.Node, part string) *yaml.Node {
	switch node.Kind {
	case yaml.MappingNode:
		for i := 0; i+1 < len(node.Content); i += 2 {
			if node.Content[i].Value == part {
				return node.Content[i+1]
			}
		}
	case yaml.SequenceNode:
		if index, err := strconv.Atoi(part); err == nil && index < len(node.Content) {
			return node.Content[index]
		}
	}
	return nil
}
