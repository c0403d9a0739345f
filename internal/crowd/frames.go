// Clients of ports for messages between boxes: a length of four bytes, big-endian, and a message in msgpack.

package crowd

import (
	"bytes"
	"encoding/binary"
	"math/rand/v2"
)

// frameBytes are the sizes of messages that clients announce. The largest messages of the ports differ; a port
// closes the connections of those that are too large for it.
var frameBytes = []int{16 << 10, 64 << 10, 256 << 10, 1 << 20, 16 << 20}

// frame returns a message with its length.
func frame(message []byte) []byte {
	return append(binary.BigEndian.AppendUint32(nil, uint32(len(message))), message...)
}

// seed makes the bytes of all runs the same.
const seed = 74

// FrameBehaviors returns the behaviors of clients of ports for messages between boxes.
func FrameBehaviors() []Behavior {
	once := func(message []byte) func(int) [][]byte { return func(int) [][]byte { return [][]byte{message} } }
	unfinished := func(content byte) func(int) [][]byte {
		messages := make([][]byte, len(frameBytes))
		for i, size := range frameBytes {
			whole := frame(bytes.Repeat([]byte{content}, size))
			messages[i] = whole[:len(whole)-1]
		}
		return func(i int) [][]byte { return [][]byte{messages[i%len(messages)]} }
	}
	const (
		emptyMap, arrayOfOne, nestedBytes = 0x80, 0x91, 60_000
		largeArray                        = 0xdd // followed by a count of four bytes
	)
	return []Behavior{
		{Name: "silent connections", Clients: manyClients, Connections: reconnections},
		{Name: "unfinished messages", Clients: someClients, Connections: reconnections, Payload: unfinished(emptyMap)},
		{Name: "nested arrays", Clients: fewClients, Connections: reconnections, Payload: once(frame(bytes.Repeat([]byte{arrayOfOne}, nestedBytes)))},
		{Name: "an array of the largest count", Clients: fewClients, Connections: reconnections, Payload: once(frame(append([]byte{largeArray, 0xff, 0xff, 0xff, 0xff}, make([]byte, nestedBytes)...)))},
		{Name: "random bytes", Clients: fewClients, Connections: reconnections, Payload: func(i int) [][]byte {
			random := rand.New(rand.NewPCG(seed, uint64(i)))
			message := make([]byte, 16<<10-4)
			for k := range message {
				message[k] = byte(random.Uint32())
			}
			return [][]byte{frame(message)}
		}},
		{Name: "a request of HTTP", Clients: someClients, Connections: reconnections, Payload: once([]byte("GET / HTTP/1.1\r\nHost: a\r\n\r\n"))},
		{Name: "empty lines without end", Clients: fewClients, Connections: reconnections, Payload: once(bytes.Repeat([]byte("\r\n"), endlessBytes/2))},
		{Name: "empty messages without end", Clients: fewClients, Connections: reconnections, Payload: once(bytes.Repeat([]byte{0, 0, 0, 0}, endlessBytes/4))},
	}
}
