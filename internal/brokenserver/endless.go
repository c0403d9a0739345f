// Responses without end.

package brokenserver

import (
	"fmt"
	"strings"
)

// Named is a response with a name, for tables of tests.
type Named struct {
	Name     string
	Response Response
}

// blockBytes is the size of what a server repeats.
const blockBytes = 64 << 10

// block returns a text repeated up to blockBytes.
func block(text string) string { return strings.Repeat(text, blockBytes/len(text)) }

// uniqueLines returns the lines of a head with different names.
func uniqueLines() string {
	const bytes = 1 << 20 // more than a client accepts, so that no name comes twice
	var lines strings.Builder
	for i := 0; lines.Len() < bytes; i++ {
		fmt.Fprintf(&lines, "x%x:\r\n", i)
	}
	return lines.String()
}

// Endless returns responses whose heads or bodies have no end. fields are lines of a head that a successful response needs.
func Endless(fields string) []Named {
	const ok = "HTTP/1.1 200 OK\r\n"
	const stream = "Content-Type: text/event-stream\r\n"
	return []Named{
		{"bytes of no protocol", Response{Repeated: block("\x00")}},
		{"a status line", Response{Bytes: "HTTP/1.1 200 ", Repeated: block("x")}},
		{"a line of a head", Response{Bytes: ok + fields + "X-Odd: ", Repeated: block("x")}},
		{"equal lines of a head", Response{Bytes: ok + fields, Repeated: block("a:\r\n")}},
		{"different lines of a head", Response{Bytes: ok + fields, Repeated: uniqueLines()}},
		{"interim responses", Response{Repeated: block("HTTP/1.1 102 Processing\r\n\r\n")}},
		{"a body without a length", Response{Bytes: ok + fields + "\r\n", Repeated: block("x")}},
		{"a body with a length", Response{Bytes: ok + fields + "Content-Length: 1000000000000\r\n\r\n", Repeated: block("x")}},
		{"chunks", Response{Bytes: ok + fields + "Transfer-Encoding: chunked\r\n\r\n", Repeated: block("1\r\nx\r\n")}},
		{"an extension of a chunk", Response{Bytes: ok + fields + "Transfer-Encoding: chunked\r\n\r\n1;", Repeated: block("x")}},
		{"a trailer", Response{Bytes: ok + fields + "Transfer-Encoding: chunked\r\n\r\n0\r\n", Repeated: uniqueLines()}},
		{"an event", Response{Bytes: ok + fields + stream + "\r\nid: 1\ndata: ", Repeated: block("x")}},
		{"lines of an event", Response{Bytes: ok + fields + stream + "\r\n", Repeated: block("data: x\n")}},
		{"events", Response{Bytes: ok + fields + stream + "\r\n", Repeated: block("data: {}\n\n")}},
		{"lists in lists", Response{Bytes: ok + fields + "Content-Type: application/json\r\n\r\n", Repeated: block("[")}},
		{"the body of a failure", Response{Bytes: "HTTP/1.1 500 Odd\r\n" + fields + "\r\n", Repeated: block("x")}},
		{"the body of a refusal", Response{Bytes: "HTTP/1.1 503 Odd\r\n" + fields + "\r\n", Repeated: block("x")}},
	}
}

// Unfinished returns responses that stop in a head or an element, below the bounds of what a client may hold of it, so that
// the client holds those of all its requests at once.
func Unfinished(fields string) []Named {
	const ok, headBytes, shortHeadBytes, eventBytes, reportBytes = "HTTP/1.1 200 OK\r\n", 250 << 10, 60 << 10, 1000 << 10, 7 << 20
	return []Named{
		{"a line of a head", Response{Bytes: ok + fields + "X-Odd: ", Repeated: block("x"), Limit: headBytes}},
		{"equal lines of a head", Response{Bytes: ok + fields, Repeated: block("a:\r\n"), Limit: headBytes}},
		{"different lines of a head", Response{Bytes: ok + fields, Repeated: uniqueLines(), Limit: headBytes}},
		{"different lines of a shorter head", Response{Bytes: ok + fields, Repeated: uniqueLines(), Limit: shortHeadBytes}},
		{"an event", Response{Bytes: ok + fields + "Content-Type: text/event-stream\r\n\r\nid: 1\ndata: ", Repeated: block("x"), Limit: eventBytes}},
		{"a body without a length", Response{Bytes: ok + fields + "\r\n", Repeated: block("x"), Limit: reportBytes}},
		{"a body with a length", Response{Bytes: ok + fields + "Content-Length: 10000000\r\n\r\n", Repeated: block("x"), Limit: reportBytes}},
		{"the body of a refusal", Response{Bytes: "HTTP/1.1 503 Odd\r\n" + fields + "\r\n", Repeated: block("x"), Limit: eventBytes}},
	}
}
