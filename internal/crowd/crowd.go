// Package crowd sends traffic to a process from clients that do not follow its protocols, or that follow them
// in the most expensive way. It is for tests of the limits that each port of a process has.
//
// A crowd is deterministic: the number of clients, what each of them sends and how often it connects are
// fixed. All that it opens and sends is bounded.
package crowd

import (
	"context"
	"net"
	"sync"
	"time"
)

// Behavior is what each client of a crowd does with a connection.
type Behavior struct {
	Name    string
	Clients int
	// Connections is how often a client connects if the server closes its connections; 0 means once.
	Connections int
	// Payload returns what client i sends on a connection, in one or more parts.
	Payload func(i int) [][]byte
	// Repeat is how often the last part is sent; 0 means once.
	Repeat int
	// ReadsNothing means that the client leaves all responses unread.
	ReadsNothing bool
}

const (
	// dialTimeout and sendTimeout bound the wait for a server that does not accept connections or does not
	// read. A client that it affects counts as one that has sent everything.
	dialTimeout = 5 * time.Second
	sendTimeout = 10 * time.Second
)

// Crowd is a number of clients with open connections.
type Crowd struct {
	address  string
	behavior Behavior
	ctx      context.Context
	stop     context.CancelFunc
	clients  sync.WaitGroup
	sent     sync.WaitGroup
}

// Join connects all clients to an address and returns once each of them has sent everything, or has lost its
// last connection. They keep their connections open until Leave.
func Join(address string, behavior Behavior) *Crowd {
	c := &Crowd{address: address, behavior: behavior}
	c.ctx, c.stop = context.WithCancel(context.Background())
	c.sent.Add(behavior.Clients)
	for i := range behavior.Clients {
		c.clients.Go(func() { c.run(i) })
	}
	c.sent.Wait()
	return c
}

// Leave closes all connections.
func (c *Crowd) Leave() {
	c.stop()
	c.clients.Wait()
}

// run is one client.
func (c *Crowd) run(i int) {
	reported := false
	report := func() {
		if !reported {
			reported = true
			c.sent.Done()
		}
	}
	defer report()
	for range max(c.behavior.Connections, 1) {
		c.connect(i, report)
		if c.ctx.Err() != nil {
			return
		}
	}
}

// connect opens a connection, sends the payload and keeps the connection until the server closes it or the
// crowd leaves. It calls sent when all has been sent.
func (c *Crowd) connect(i int, sent func()) {
	connection, err := net.DialTimeout("tcp", c.address, dialTimeout)
	if err != nil {
		return
	}
	defer connection.Close()
	defer context.AfterFunc(c.ctx, func() { _ = connection.Close() })()
	var reader sync.WaitGroup
	closed := make(chan struct{})
	if !c.behavior.ReadsNothing {
		reader.Go(func() {
			defer close(closed)
			readAll(connection)
		})
	}
	err = c.send(connection, i)
	if err != nil && !isTimeout(err) {
		_ = connection.Close() // also ends the reader
		reader.Wait()
		return
	}
	sent()
	select {
	case <-closed:
	case <-c.ctx.Done():
	}
	reader.Wait()
}

// send sends the payload of a client.
func (c *Crowd) send(connection net.Conn, i int) error {
	if c.behavior.Payload == nil {
		return nil
	}
	parts := c.behavior.Payload(i)
	for range max(c.behavior.Repeat, 1) - 1 {
		parts = append(parts, parts[len(parts)-1])
	}
	for _, part := range parts {
		if err := connection.SetWriteDeadline(time.Now().Add(sendTimeout)); err != nil {
			return err
		}
		if _, err := connection.Write(part); err != nil {
			return err
		}
	}
	return nil
}

// readAll discards what the server sends until the connection is closed.
func readAll(connection net.Conn) {
	buffer := make([]byte, 16<<10)
	for {
		if _, err := connection.Read(buffer); err != nil {
			return
		}
	}
}

func isTimeout(err error) bool {
	timeout, ok := err.(net.Error)
	return ok && timeout.Timeout()
}
