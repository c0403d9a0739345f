// Responses that are broken, but look whole to a lenient client.

package brokenserver

import "time"

// uploadDelay is the time after which an upload that is not read has filled the buffers of its connection.
const uploadDelay = 3 * time.Millisecond

// Broken returns broken responses with a status of success, or none, to requests with long bodies. fields are lines of a head
// that a successful response needs.
func Broken(fields string) []Named {
	const ok, length, stream = "HTTP/1.1 200 OK\r\n", "Content-Length: 2\r\n\r\nhi", "Content-Type: text/event-stream\r\n\r\nid: 1\ndata: {}\n\n"
	return []Named{
		{"reset during the upload", Response{Bytes: ok + fields + "\r\npart", Delay: uploadDelay, End: Reset}},
		{"reset during the upload after a JSON value", Response{Bytes: ok + fields + "\r\n{}", Delay: uploadDelay, End: Reset}},
		{"reset during the upload after an event", Response{Bytes: ok + fields + stream, Delay: uploadDelay, End: Reset}},
		{"reset during the upload after the head", Response{Bytes: ok + fields + "\r\n", Delay: uploadDelay, End: Reset}},
		{"status 000", Response{Bytes: "HTTP/1.1 000 Odd\r\n" + fields + length, End: Finish}},
		{"status 099", Response{Bytes: "HTTP/1.1 099 Odd\r\n" + fields + length, End: Finish}},
		{"blank in a name", Response{Bytes: ok + fields + "X Odd: 1\r\n" + length, End: Finish}},
		{"blank after a name", Response{Bytes: ok + fields + "X-Odd : 1\r\n" + length, End: Finish}},
		{"blank after the name of the length", Response{Bytes: ok + fields + "Content-Length : 2\r\n\r\nhi, more", End: Finish}},
		{"blank after the name of the encoding", Response{Bytes: ok + fields + "Transfer-Encoding : chunked\r\n\r\n2\r\nhi\r\n0\r\n\r\n", End: Finish}},
		{"blank in a name of a stream", Response{Bytes: ok + fields + "X Odd: 1\r\n" + stream, End: Finish}},
		{"tab in a name", Response{Bytes: ok + fields + "X\tOdd: 1\r\n" + length, End: Finish}},
		{"zero byte in a name", Response{Bytes: ok + fields + "X\x00Odd: 1\r\n" + length, End: Finish}},
		{"control byte in a name", Response{Bytes: ok + fields + "X\x1bOdd: 1\r\n" + length, End: Finish}},
	}
}

// BrokenBodyBytes is the length of a request's body that does not fit into the buffers of its connection.
const BrokenBodyBytes = 8 << 20
