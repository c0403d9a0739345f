package engine

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/ansel1/merry/v2"

	"github.com/cometlock/cometlock/internal/advisory"
	"github.com/cometlock/cometlock/internal/boottime"
	"github.com/cometlock/cometlock/internal/largebody"
	"github.com/cometlock/cometlock/internal/selfheaders"
	"github.com/cometlock/cometlock/internal/strictclient"
)

// Limits of sizes. Thousands of streams may be open at once and a chunk is a few hundred
// bytes, so the buffers of a connection are small.
const (
	connectionBufferBytes = 2 << 10
	maxErrorBytes         = 64 << 10
	maxControlBytes       = 32 << 20
)

// ClientConfig configures a Client.
type ClientConfig struct {
	// DialTimeout is the timeout for making a connection.
	DialTimeout time.Duration
	// ControlTimeout is the timeout of a control call.
	ControlTimeout time.Duration
	// MaxResponseBytes is the maximum size of a response that is not streamed.
	MaxResponseBytes int64
	// OnAdvisory is called with the advisory headers of each response and the engine's address; it may be
	// nil.
	OnAdvisory func(address string, answer advisory.Answer)
}

// Client is the HTTP client for all engines of a zone.
type Client struct {
	http             http.Client
	controlTimeout   time.Duration
	maxResponseBytes int64
	onAdvisory       func(address string, answer advisory.Answer)
	// replies reads the replies to control calls.
	replies *largebody.Reader
}

// Defaults of ClientConfig.
const (
	DefaultDialTimeout      = time.Second
	DefaultControlTimeout   = 2 * time.Second
	DefaultMaxResponseBytes = 32 << 20
)

// NewClient creates a client, which connects to an engine on the first request.
func NewClient(cfg ClientConfig) *Client {
	if cfg.DialTimeout == 0 {
		cfg.DialTimeout = DefaultDialTimeout
	}
	if cfg.ControlTimeout == 0 {
		cfg.ControlTimeout = DefaultControlTimeout
	}
	if cfg.MaxResponseBytes == 0 {
		cfg.MaxResponseBytes = DefaultMaxResponseBytes
	}
	dialer := &net.Dialer{Timeout: cfg.DialTimeout}
	return &Client{
		controlTimeout:   cfg.ControlTimeout,
		maxResponseBytes: cfg.MaxResponseBytes,
		onAdvisory:       cfg.OnAdvisory,
		replies:          largebody.NewReader(maxControlBytes),
		http: http.Client{Transport: strictclient.New(&http.Transport{
			DialContext:         dialer.DialContext,
			MaxIdleConnsPerHost: 64,
			IdleConnTimeout:     30 * time.Second,
			ReadBufferSize:      connectionBufferBytes,
			WriteBufferSize:     connectionBufferBytes,
			DisableCompression:  true,
		})},
	}
}

// Run is a request for an engine.
type Run struct {
	// ID identifies the run and is never reused.
	ID string
	// Path is /v1/chat/completions or /v1/completions.
	Path string
	// Body is the request in the engine's protocol.
	Body []byte
	// Weights is the required weight version.
	Weights string
	// Stream is set if the response is streamed.
	Stream bool
}

// Start sends a run to an engine, at most once, and returns its stream. The error is
// ErrNotSent, ErrNoResponse, ErrWrongWeights, ErrProtocol or a *RefusedError.
func (c *Client) Start(ctx context.Context, address string, run Run) (*Stream, error) {
	// For a reader of an unknown type the HTTP library does not set GetBody, so it
	// cannot send the run a second time.
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+run.Path, &onceReader{rest: run.Body})
	if err != nil {
		return nil, merry.Wrap(ErrNotSent, merry.WithCause(err))
	}
	request.ContentLength = int64(len(run.Body))
	request.Header.Set("Content-Type", "application/json")
	request.Header.Set(HeaderRunID, run.ID)
	request.Header.Set(HeaderWeights, run.Weights)
	response, err := c.do(request)
	if err != nil {
		return nil, err
	}
	return c.openStream(response, run.Weights, run.Stream, 0)
}

// do sends a request of a run, and calls OnAdvisory with the headers of the response.
func (c *Client) do(request *http.Request) (*http.Response, error) {
	sent := boottime.Now()
	response, err := c.http.Do(request)
	if err != nil {
		return nil, sendError(err)
	}
	if c.onAdvisory != nil {
		parsed := selfheaders.Read(response.StatusCode, response.Header)
		c.onAdvisory(request.URL.Host, advisory.Answer{Advisory: parsed, Sent: sent, Received: boottime.Now(), Genuine: true})
	}
	return response, nil
}

// onceReader reads a byte slice and then releases it. The HTTP library keeps a reference
// to a request's body until the end of the response, which may take minutes.
type onceReader struct {
	rest []byte
}

// Read implements io.Reader.
func (r *onceReader) Read(into []byte) (int, error) {
	n := copy(into, r.rest)
	if r.rest = r.rest[n:]; len(r.rest) > 0 {
		return n, nil
	}
	r.rest = nil // an empty slice would still refer to the whole array
	return n, io.EOF
}

// Resume resumes the stream of a run after the chunk with the given index; -1 starts with
// the first chunk. The error is one of those of Start, or ErrUnknownRun.
func (c *Client) Resume(ctx context.Context, address string, run Run, after int) (*Stream, error) {
	target := runURL(address, run.ID) + "?starting_after=" + strconv.Itoa(after) + "&stream=" + strconv.FormatBool(run.Stream)
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, target, nil)
	if err != nil {
		return nil, merry.Wrap(ErrNotSent, merry.WithCause(err))
	}
	response, err := c.do(request)
	if err != nil {
		return nil, err
	}
	if response.StatusCode == http.StatusNotFound {
		closeBody(response.Body)
		return nil, ErrUnknownRun
	}
	return c.openStream(response, run.Weights, run.Stream, after+1)
}

// Cancel cancels a run on an engine when no caller waits for it any longer.
func (c *Client) Cancel(ctx context.Context, address, runID string) error {
	return c.control(ctx, http.MethodDelete, runURL(address, runID), nil, nil)
}

func runURL(address, runID string) string {
	return "http://" + address + "/v1/runs/" + url.PathEscape(runID)
}

func (c *Client) openStream(response *http.Response, weights string, stream bool, next int) (*Stream, error) {
	if response.StatusCode != http.StatusOK {
		defer closeBody(response.Body)
		body, err := io.ReadAll(io.LimitReader(response.Body, maxErrorBytes))
		if err != nil {
			body = nil
		}
		return nil, &RefusedError{Status: response.StatusCode, Body: body}
	}
	if got := response.Header.Get(HeaderWeights); got != weights {
		_ = response.Body.Close()
		return nil, merry.Wrap(ErrWrongWeights, merry.AppendMessagef("wanted %q, got %q", weights, got))
	}
	return newStream(response.Body, streamConfig{streamed: stream, next: next, maxBytes: c.maxResponseBytes}), nil
}

// sendError converts an error of the HTTP library to ErrNotSent or ErrNoResponse. Only a
// connection that was never made proves that no byte of the request was sent.
func sendError(err error) error {
	if operation, ok := errors.AsType[*net.OpError](err); ok && operation.Op == "dial" {
		return merry.Wrap(ErrNotSent, merry.WithCause(err))
	}
	return merry.Wrap(ErrNoResponse, merry.WithCause(err))
}

// Status requests the load report of an engine.
func (c *Client) Status(ctx context.Context, address string) (Status, error) {
	var status Status
	err := c.control(ctx, http.MethodGet, "http://"+address+"/control/status", nil, &status)
	return status, err
}

// CacheEvents requests the cache events of an engine after a sequence number.
func (c *Client) CacheEvents(ctx context.Context, address string, after int64) (CacheEvents, error) {
	var events CacheEvents
	err := c.control(ctx, http.MethodGet, "http://"+address+"/control/cache-events?after="+strconv.FormatInt(after, 10), nil, &events)
	return events, err
}

// Order sends an order to an engine. The error is a *RefusedError with status 409 if the
// engine has already obeyed an order with a higher fencing token.
func (c *Client) Order(ctx context.Context, address string, order Order) error {
	return c.control(ctx, http.MethodPost, "http://"+address+"/control/orders", order, nil)
}

// Import has an engine fetch stored context from a store box.
func (c *Client) Import(ctx context.Context, address string, transfer Transfer) (TransferResult, error) {
	var result TransferResult
	err := c.control(ctx, http.MethodPost, "http://"+address+"/control/kv/import", transfer, &result)
	return result, err
}

// Export has an engine write cached context to a store box.
func (c *Client) Export(ctx context.Context, address string, transfer Transfer) (TransferResult, error) {
	var result TransferResult
	err := c.control(ctx, http.MethodPost, "http://"+address+"/control/kv/export", transfer, &result)
	return result, err
}

// control makes a control call. Control calls are idempotent, so after an error it does
// not matter whether the call took effect.
func (c *Client) control(ctx context.Context, method, target string, body, result any) error {
	ctx, cancel := context.WithTimeout(ctx, c.controlTimeout)
	defer cancel()
	var reader io.Reader
	if body != nil {
		data, err := json.Marshal(body)
		if err != nil {
			return merry.Wrap(err)
		}
		reader = bytes.NewReader(data)
	}
	request, err := http.NewRequestWithContext(ctx, method, target, reader)
	if err != nil {
		return merry.Wrap(err)
	}
	response, err := c.http.Do(request)
	if err != nil {
		return sendError(err)
	}
	defer closeBody(response.Body)
	if response.StatusCode/100 != 2 {
		return &RefusedError{Status: response.StatusCode}
	}
	if result == nil {
		return nil
	}
	data, err := c.replies.ReadAll(ctx, response)
	if err != nil {
		return merry.Wrap(ErrProtocol, merry.WithCause(err))
	}
	if err := json.Unmarshal(data, result); err != nil {
		return merry.Wrap(ErrProtocol, merry.WithCause(err))
	}
	return nil
}

func closeBody(body io.ReadCloser) {
	// Reading the rest allows the connection to be reused. Errors do not matter here.
	_, _ = io.Copy(io.Discard, io.LimitReader(body, 4<<10))
	_ = body.Close()
}
