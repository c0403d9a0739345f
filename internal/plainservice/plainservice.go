// Package plainservice is the HTTP client for plain services.
//
// Repeatable calls use a connection pool. Every other call gets a new connection that is not reused,
// because Go's HTTP client sends a request again if a pooled connection turns out to be closed and it
// considers the request idempotent, such as a POST without a body that has an Idempotency-Key header. On
// a new connection it never does so.
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
	"github.com/cometlock/cometlock/internal/strictclient"
)

// Errors of Do.
var (
	// ErrNotSent is returned if no byte of the call was sent.
	ErrNotSent = merry.Sentinel("the plain service could not be reached")
	// ErrNoResponse is returned if the call was sent, at least in part, and its outcome is unknown.
	ErrNoResponse = merry.Sentinel("the plain service sent no response")
)

// ClientConfig is the configuration of a Client.
type ClientConfig struct {
	// DialTimeout bounds the time to establish a connection.
	DialTimeout time.Duration
	// OnAdvisory is called with the state that a server reports in its response headers; it may be nil.
	OnAdvisory func(address string, answer advisory.Answer)
}

// Client calls the plain services of a zone.
type Client struct {
	repeatable http.Client
	singleUse  http.Client
	onAdvisory func(address string, answer advisory.Answer)
}

const defaultDialTimeout = time.Second

// NewClient creates a client. Connections are established on first use.
func NewClient(cfg ClientConfig) *Client {
	if cfg.DialTimeout == 0 {
		cfg.DialTimeout = defaultDialTimeout
	}
	dialer := &net.Dialer{Timeout: cfg.DialTimeout}
	noRedirect := func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }
	return &Client{
		onAdvisory: cfg.OnAdvisory,
		repeatable: http.Client{CheckRedirect: noRedirect, Transport: strictclient.New(&http.Transport{
			DialContext: dialer.DialContext, MaxIdleConnsPerHost: 64, IdleConnTimeout: 30 * time.Second, DisableCompression: true,
		})},
		singleUse: http.Client{CheckRedirect: noRedirect, Transport: strictclient.New(&http.Transport{
			DialContext: dialer.DialContext, DisableKeepAlives: true, DisableCompression: true,
		})},
	}
}

// Request is one call of a plain service.
type Request struct {
	// Address is the IP address and port of the backend server.
	Address string
	// Method and Target (path and query) are those that the caller sent. Header is the caller's, as
	// filtered by ForwardHeader, with the headers that the box adds.
	Method string
	Target string
	Header http.Header
	// Body streams the request body; Length is -1 if unknown.
	Body   io.Reader
	Length int64
	// Repeatable is set if the call may run more than once.
	Repeatable bool
}

// Do sends the call and returns the response, whose body the caller must close. Do itself makes one
// attempt only. The error is ErrNotSent or ErrNoResponse.
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
	client := &c.singleUse
	if call.Repeatable {
		client = &c.repeatable
	}
	sent := boottime.Now()
	response, err := client.Do(request)
	if err == nil {
		c.reportAdvisory(call.Address, sent, response)
		response.Header = ForwardHeader(response.Header)
		return response, nil
	}
	if operation, ok := errors.AsType[*net.OpError](err); ok && operation.Op == "dial" {
		return nil, merry.Wrap(ErrNotSent, merry.AppendMessage(err.Error()))
	}
	return nil, merry.Wrap(ErrNoResponse, merry.AppendMessage(err.Error()))
}

// reportAdvisory passes the state that the response headers report to OnAdvisory.
func (c *Client) reportAdvisory(address string, sent time.Time, response *http.Response) {
	if c.onAdvisory == nil {
		return
	}
	parsed := selfheaders.Read(response.StatusCode, response.Header)
	c.onAdvisory(address, advisory.Answer{Advisory: parsed, Sent: sent, Received: boottime.Now(), Genuine: true})
}

// hopByHop lists the hop-by-hop headers, which are not forwarded (RFC 9110, 7.6.1).
var hopByHop = []string{
	"Connection", "Proxy-Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// ForwardHeader returns a copy of the headers without hop-by-hop headers. The headers that the box adds
// for the service must be added to the copy, so that a caller cannot remove them by listing them in its
// Connection header.
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
