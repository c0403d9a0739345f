// Clients of HTTP ports.

package crowd

import (
	"bytes"
	"fmt"
	"slices"
	"strings"
	"sync"
)

// The sizes of crowds. manyClients is more than the descriptors that a process has in these tests.
const (
	manyClients = 700
	someClients = 300
	fewClients  = 100
	// reconnections is how often a client connects.
	reconnections = 3
)

// endlessBytes bounds what a client sends in place of something without end.
const endlessBytes = 4 << 20

// HTTPConfig describes the requests of clients of an HTTP port.
type HTTPConfig struct {
	// Request is the request line with headers that let the request pass, each line with its end, but
	// without the empty line.
	Request string
	// HeadBytes is the largest size of a head.
	HeadBytes int
	// BodyBytes is the largest size of a body.
	BodyBytes int
}

// headSlack is what is left of the largest size of a head, for the lines that a behavior adds.
const headSlack = 200

// short returns a head without its end that has the most header lines, all with different names.
func (cfg HTTPConfig) short() []byte { return cfg.fill(uniqueLine) }

// odd returns a head without its end of repeated names, lines without a carriage return, folded values and
// values of white space.
func (cfg HTTPConfig) odd() []byte {
	lines := []string{"a:\n", "a:\n", "a: \t \r\n", "b:x\r\n\tx\r\n \r\n", "c:\n", "d:,,,,\n"}
	return cfg.fill(func(i int) string { return lines[i%len(lines)] })
}

func (cfg HTTPConfig) fill(line func(i int) string) []byte {
	head := bytes.NewBufferString(cfg.Request)
	for i := 0; ; i++ {
		next := line(i)
		if head.Len()+len(next) > cfg.HeadBytes-headSlack {
			return head.Bytes()
		}
		head.WriteString(next)
	}
}

// uniqueLine returns the shortest header line with a name that no other number has.
func uniqueLine(i int) string {
	const letters = "abcdefghijklmnopqrstuvwxyz0123456789"
	var name strings.Builder
	for n := i + len(letters); n > 0; n /= len(letters) {
		name.WriteByte(letters[n%len(letters)])
	}
	return name.String() + ":\n"
}

// LargestRequest returns a whole request without a body whose head has the most header lines that its size allows.
func (cfg HTTPConfig) LargestRequest() []byte { return append(cfg.short(), "\r\n"...) }

// shared returns a payload that is the same for all clients and is created for the first of them.
func shared(create func() [][]byte) func(int) [][]byte {
	parts := sync.OnceValue(create)
	return func(int) [][]byte { return slices.Clone(parts()) }
}

// withBody ends a head with the length of its body.
func withBody(head []byte, length int) []byte {
	return append(bytes.Clone(head), fmt.Sprintf("Content-Length: %d\r\n\r\n", length)...)
}

// endless returns what a client sends after the start of a request in place of lines without end.
func endless(start, line string) func(int) [][]byte {
	return shared(func() [][]byte {
		return [][]byte{[]byte(start), bytes.Repeat([]byte(line), endlessBytes/len(line))}
	})
}

// Behaviors returns the behaviors of clients of an HTTP port.
func (cfg HTTPConfig) Behaviors() []Behavior {
	send := func(create func() []byte) func(int) [][]byte {
		return shared(func() [][]byte { return [][]byte{create()} })
	}
	request := []byte(cfg.Request)
	return []Behavior{
		{Name: "silent connections", Clients: manyClients, Connections: reconnections},
		{Name: "unfinished heads of short lines", Clients: someClients, Connections: reconnections, Payload: send(cfg.short)},
		{Name: "unfinished heads of odd lines", Clients: someClients, Connections: reconnections, Payload: send(cfg.odd)},
		{Name: "heads of short lines without their bodies", Clients: someClients, Connections: reconnections, Payload: send(func() []byte { return withBody(cfg.short(), 10) })},
		{Name: "heads of odd lines without their bodies", Clients: someClients, Connections: reconnections, Payload: send(func() []byte { return withBody(cfg.odd(), 10) })},
		{Name: "requests of short lines", Clients: someClients, Connections: reconnections, Payload: send(cfg.LargestRequest), Repeat: 5},
		{Name: "heads without end", Clients: fewClients, Connections: reconnections, Payload: endless(cfg.Request, "a-header: of-a-head-without-end\r\n")},
		{Name: "short lines without end", Clients: fewClients, Connections: reconnections, Payload: send(HTTPConfig{Request: cfg.Request, HeadBytes: endlessBytes}.short)},
		{Name: "a header line without end", Clients: fewClients, Connections: reconnections, Payload: endless(cfg.Request+"a: ", "x")},
		{Name: "empty lines without end", Clients: fewClients, Connections: reconnections, Payload: endless("\r\n", "\r\n")},
		{Name: "empty lines without end after a request", Clients: fewClients, Connections: reconnections, Payload: endless(cfg.Request+"\r\n", "\r\n")},
		{Name: "requests without their bodies", Clients: manyClients, Connections: reconnections, Payload: send(func() []byte { return withBody(request, 10) })},
		{Name: "unfinished bodies", Clients: fewClients, Connections: reconnections, Payload: shared(func() [][]byte {
			return [][]byte{withBody(request, cfg.BodyBytes), make([]byte, cfg.BodyBytes-1)}
		})},
		{Name: "chunks of one byte", Clients: fewClients, Connections: reconnections, Payload: endless(cfg.Request+"Transfer-Encoding: chunked\r\n\r\n", "1\r\nx\r\n")},
		{Name: "unread responses", Clients: someClients, Payload: send(func() []byte { return append(bytes.Clone(request), "\r\n"...) }), Repeat: 2000, ReadsNothing: true},
	}
}
