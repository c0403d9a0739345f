// Package strictclient has transports for net/http clients that return no broken response as a whole one.
//
// Other processes may be in trouble, and net/http is lenient with what they send. The transports are for connections
// without TLS, which detects the end of a stream by itself.
package strictclient

import (
	"cmp"
	"context"
	"net"
	"net/http"

	"github.com/ansel1/merry/v2"

	"github.com/cometlock/cometlock/internal/cleaneof"
	"github.com/cometlock/cometlock/internal/responsehead"
)

// maxHeadBytes bounds the head of a response, since a server in trouble may send one without end. The head is parsed while it
// is read, and short lines take 25 times their size.
const maxHeadBytes = 64 << 10

// Transport is an http.RoundTripper. It can be used by several goroutines.
type Transport struct {
	inner *http.Transport
}

// New returns a transport with the settings of another one, which must not be used from then on. If the settings have no
// bound on heads, it is maxHeadBytes.
func New(settings *http.Transport) *Transport {
	settings.MaxResponseHeaderBytes = cmp.Or(settings.MaxResponseHeaderBytes, maxHeadBytes)
	dial := settings.DialContext
	if dial == nil {
		dial = (&net.Dialer{}).DialContext
	}
	settings.DialContext = func(ctx context.Context, network, address string) (net.Conn, error) {
		connection, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		if socket, ok := connection.(*net.TCPConn); ok {
			connection = cleaneof.New(socket)
		}
		return &firstHead{Conn: connection, lines: responsehead.Lines{AllowFolded: true}}, nil
	}
	return &Transport{inner: settings}
}

// firstHead checks the lines of the first head on a connection, which net/http does not show. A server that answers in
// HTTP/1.0 does so from its first response on.
type firstHead struct {
	net.Conn
	lines responsehead.Lines
}

// Read implements net.Conn.
func (c *firstHead) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if !c.lines.Ended() {
		if _, invalid := c.lines.Scan(p[:n]); invalid != nil {
			return 0, invalid
		}
	}
	return n, err
}

// RoundTrip implements http.RoundTripper.
func (t *Transport) RoundTrip(request *http.Request) (*http.Response, error) {
	response, err := t.inner.RoundTrip(request)
	if err != nil {
		return nil, err
	}
	if err := check(response); err != nil {
		_ = response.Body.Close() // nothing of it is used
		return nil, err
	}
	return response, nil
}

// errSwitched means that a server has changed the protocol of the connection, which no request asks for.
var errSwitched = merry.Sentinel("the server has switched protocols")

func check(response *http.Response) error {
	if response.StatusCode == http.StatusSwitchingProtocols {
		return errSwitched
	}
	return responsehead.Check(response)
}

// CloseIdleConnections closes the connections that no request uses.
func (t *Transport) CloseIdleConnections() { t.inner.CloseIdleConnections() }
