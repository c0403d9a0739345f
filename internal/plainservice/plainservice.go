// Package plainservice is the adapter to plain HTTP services.
//
// Calls that may be repeated share connections. A call that may not is given a
// connection of its own that is never used again, because Go's HTTP client
// sends a request a second time when a kept connection turns out to be closed
// and the request looks safe to it; a body-less POST that carries an
// Idempotency-Key does. On a fresh connection it never does so.
package plainservice

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/ansel1/merry/v2"

	"github.com/cometlock/cometlock/internal/advisory"
	"github.com/cometlock/cometlock/internal/boottime"
	"github.com/cometlock/cometlock/internal/selfheaders"
)

// Errors of a call.
var (
	// ErrNotSent says that no byte of the call left this process.
	ErrNotSent = merry.Sentinel("the plain service could not be reached")
	// ErrNoResponse says that the call was handed over and no answer came back.
	ErrNoResponse = merry.Sentinel("the plain service gave no answer")
)

// ClientConfig sets up a Client.
type ClientConfig struct {
	// DialTimeout bounds the making of a connection.
	DialTimeout time.Duration
	// OnAdvisory is told what answers say of the server at an address; it may be nil.
	OnAdvisory func(address string, answer advisory.Answer)
}

// Client calls the plain services of a zone.
type Client struct {
	repeatable http.Client
	once       http.Client
	advised    func(address string, answer advisory.Answer)
}

const defaultDialTimeout = time.Second

// NewClient makes a client; it connects on first use.
func NewClient(cfg ClientConfig) *Client {
	if cfg.DialTimeout == 0 {
		cfg.DialTimeout = defaultDialTimeout
	}
	dialer := &net.Dialer{Timeout: cfg.DialTimeout}
	noRedirect := func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }
	return &Client{
		advised: cfg.OnAdvisory,
		repeatable: http.Client{CheckRedirect: noRedirect, Transport: &http.Transport{
			DialContext: dialer.DialContext, MaxIdleConnsPerHost: 64, IdleConnTimeout: 30 * time.Second, DisableCompression: true,
		}},
		once: http.Client{CheckRedirect: noRedirect, Transport: &http.Transport{
			DialContext: dialer.DialContext, DisableKeepAlives: true, DisableCompression: true,
		}},
	}
}

// Request is one call of a plain service.
type Request struct {
	// Address is the IP address and port of the backend server.
	Address string
	// Method and Target (path and query) are as the caller sent them; Header is
	// what ForwardHeader left of the caller's, and what was added.
	Method string
	Target string
	Header http.Header
	// Body streams the request body; Length is -1 when it is not known.
	Body   io.Reader
	Length int64
	// Repeatable says whether the call may run more than once.
	Repeatable bool
}

// Do hands the call over, once, and gives the answer, whose body the caller of
// Do closes. The error is ErrNotSent or ErrNoResponse.
func (c *Client) Do(ctx context.Context, call Request) (*http.Response, error) {
	request, err := http.NewRequestWithContext(ctx, call.Method, "http://"+call.Address+call.Target, call.Body)
	if err != nil {
		return nil, merry.Wrap(ErrNotSent, merry.AppendMessage(err.Error()))
	}
	request.GetBody = nil
	request.ContentLength = call.Length
	if call.Length == 0 {
		request.Body = http.NoBody
	}
	request.Header = call.Header
	client := &c.once
	if call.Repeatable {
		client = &c.repeatable
	}
	sent := boottime.Now()
	response, err := client.Do(request)
	if err == nil {
		c.advise(call.Address, sent, response)
		response.Header = ForwardHeader(response.Header)
		return response, nil
	}
	if operation, ok := errors.AsType[*net.OpError](err); ok && operation.Op == "dial" {
		return nil, merry.Wrap(ErrNotSent, merry.AppendMessage(err.Error()))
	}
	return nil, merry.Wrap(ErrNoResponse, merry.AppendMessage(err.Error()))
}

// advise passes on what an answer says of its server.
func (c *Client) advise(address string, sent time.Time, response *http.Response) {
	if c.advised == nil {
		return
	}
	said := selfheaders.Read(response.StatusCode, response.Header)
	c.advised(address, advisory.Answer{Advisory: said, Sent: sent, Received: boottime.Now(), Genuine: true})
}

// hopByHop lists the headers that belong to one connection (RFC 9110, 7.6.1).
var hopByHop = []string{
	"Connection", "Proxy-Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// ForwardHeader copies the headers that travel past this hop. What we add for the
// service is added to the copy: a caller that names our headers in "Connection"
// must not get them removed.
func ForwardHeader(header http.Header) http.Header {
	copied := header.Clone()
	for _, names := range header.Values("Connection") {
		for name := range splitList(names) {
			copied.Del(name)
		}
	}
	for _, name := range hopByHop {
		copied.Del(name)
	}
	return copied
}
