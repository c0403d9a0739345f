package api

import (
	"bytes"
	"io"
	"net"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"github.com/cometlock/cometlock/internal/answerid"
	"github.com/cometlock/cometlock/internal/engine"
)

// pipeListener accepts one connection, which is an in-memory pipe.
type pipeListener struct{ connections chan net.Conn }

func (l pipeListener) Accept() (net.Conn, error) {
	connection, open := <-l.connections
	if !open {
		return nil, net.ErrClosed
	}
	return connection, nil
}

func (l pipeListener) Close() error { return nil }

func (l pipeListener) Addr() net.Addr { return &net.TCPAddr{} }

// The deadline of one write also applied to the next chunk, so a stream whose engine paused for longer
// was cut if that chunk exceeded net/http's buffer.
func TestAStreamContinuesAfterAPauseLongerThanTheWriteTimeout(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		large := bytes.Repeat([]byte("#"), 16<<10)
		writes := make(chan error, 2)
		server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			sink := newHTTPSink(w, answerid.Keys{}, "", true)
			writes <- sink.Write(engine.Chunk{Data: []byte("small")}, false)
			time.Sleep(writeTimeout + time.Second)
			writes <- sink.Write(engine.Chunk{Index: 1, Data: large, Last: true}, false)
		})}
		callerEnd, serverEnd := net.Pipe()
		listener := pipeListener{make(chan net.Conn, 1)}
		listener.connections <- serverEnd
		go func() { _ = server.Serve(listener) }()
		defer func() {
			close(listener.connections)
			_ = server.Close()
		}()
		received := make(chan []byte, 1)
		go func() {
			all, _ := io.ReadAll(callerEnd)
			received <- all
		}()
		_, err := io.WriteString(callerEnd, "GET / HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n")
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(<-writes).To(Succeed())
		g.Expect(<-writes).To(Succeed())
		g.Expect(bytes.Count(<-received, []byte("#"))).To(Equal(len(large)))
	})
}
