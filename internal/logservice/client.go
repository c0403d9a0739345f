package logservice

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

	"github.com/cometlock/cometlock/internal/largebody"
	"github.com/cometlock/cometlock/internal/strictclient"
)

// MaxRecordBytes is the size of the largest record that the log accepts.
const MaxRecordBytes = 1 << 20

// maxPageBytes bounds the size of a response, so that a faulty log service cannot exhaust the memory.
const maxPageBytes = 64 << 20

// ClientConfig is the configuration of a Client.
type ClientConfig struct {
	// Address is the IP address and port of the log service.
	Address string
	// Timeout bounds one call, not counting the time that a read waits for a record.
	Timeout time.Duration
	// Transport replaces the default HTTP transport, for TLS and for tests.
	Transport http.RoundTripper
}

// Client is a client of the log's HTTP API.
type Client struct {
	address string
	timeout time.Duration
	http    http.Client
	// pages reads the bodies of pages, which each stream of the log requests.
	pages *largebody.Reader
}

// NewClient creates a client. Connections are established on first use.
func NewClient(cfg ClientConfig) *Client {
	transport := cfg.Transport
	if transport == nil {
		transport = strictclient.New(&http.Transport{MaxIdleConnsPerHost: 16})
	}
	timeout := cfg.Timeout
	if timeout == 0 {
		timeout = 2 * time.Second
	}
	return &Client{address: cfg.Address, timeout: timeout, http: http.Client{Transport: transport}, pages: largebody.NewReader(maxPageBytes)}
}

// AppendResponse is the response body of an append.
type AppendResponse struct {
	Offset int64 `json:"offset"`
}

// Path returns the URL path of the records of a stream.
func Path(stream string) string { return "/v1/streams/" + url.PathEscape(stream) + "/records" }

// Append implements Log.
func (c *Client) Append(ctx context.Context, stream string, data []byte) (int64, error) {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+c.address+Path(stream), bytes.NewReader(data))
	if err != nil {
		return 0, merry.Wrap(err)
	}
	// Without GetBody, the HTTP client cannot send the record a second time.
	request.GetBody = nil
	response, err := c.http.Do(request)
	if err != nil {
		return 0, appendError(err)
	}
	defer closeBody(response.Body)
	if response.StatusCode == http.StatusServiceUnavailable || response.StatusCode == http.StatusTooManyRequests {
		return 0, ErrNotAppended
	}
	if response.StatusCode != http.StatusOK {
		return 0, ErrAmbiguous
	}
	var answer AppendResponse
	if err := json.NewDecoder(io.LimitReader(response.Body, 1<<10)).Decode(&answer); err != nil {
		return 0, ErrAmbiguous
	}
	return answer.Offset, nil
}

// appendError returns ErrNotAppended if no connection could be established, since only this proves that no
// byte was sent, and ErrAmbiguous for all other errors.
func appendError(err error) error {
	if operation, ok := errors.AsType[*net.OpError](err); ok && operation.Op == "dial" {
		return merry.Wrap(ErrNotAppended, merry.WithCause(err))
	}
	return merry.Wrap(ErrAmbiguous, merry.WithCause(err))
}

// Read implements Log.
func (c *Client) Read(ctx context.Context, stream string, opts ReadOptions) (Page, error) {
	ctx, cancel := context.WithTimeout(ctx, c.timeout+opts.Wait)
	defer cancel()
	query := url.Values{}
	query.Set("from", strconv.FormatInt(opts.From, 10))
	query.Set("limit", strconv.Itoa(opts.Limit))
	query.Set("wait_ms", strconv.FormatInt(opts.Wait.Milliseconds(), 10))
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+c.address+Path(stream)+"?"+query.Encode(), nil)
	if err != nil {
		return Page{}, merry.Wrap(err)
	}
	response, err := c.http.Do(request)
	if err != nil {
		return Page{}, merry.Wrap(ErrUnavailable, merry.WithCause(err))
	}
	defer closeBody(response.Body)
	if response.StatusCode != http.StatusOK && response.StatusCode != http.StatusGone {
		return Page{}, merry.Wrap(ErrUnavailable, merry.AppendMessagef("status %d", response.StatusCode))
	}
	data, err := c.pages.ReadAll(ctx, response)
	if err != nil {
		return Page{}, merry.Wrap(ErrUnavailable, merry.WithCause(err))
	}
	var page Page
	if err := json.Unmarshal(data, &page); err != nil {
		return Page{}, merry.Wrap(ErrUnavailable, merry.WithCause(err))
	}
	if response.StatusCode == http.StatusGone && page.Earliest > opts.From {
		return Page{}, &ExpiredError{Earliest: page.Earliest}
	}
	if response.StatusCode == http.StatusGone || page.Next < opts.From {
		return Page{}, merry.Wrap(ErrUnavailable, merry.AppendMessagef("the log has lost records: it has none at offset %d, up to which it was read", opts.From))
	}
	return page, checkPage(page, opts.From)
}

// checkPage returns an error unless the page contains the requested records in order, without gaps. All
// guarantees of the system depend on that order.
func checkPage(page Page, from int64) error {
	for i, record := range page.Records {
		if record.Offset != from+int64(i) {
			return merry.Wrap(ErrUnavailable, merry.AppendMessagef("got record %d, expected %d", record.Offset, from+int64(i)))
		}
	}
	return nil
}

func closeBody(body io.ReadCloser) {
	// A connection can be reused only after the body has been read. Errors do not matter here.
	_, _ = io.Copy(io.Discard, io.LimitReader(body, 4<<10))
	_ = body.Close()
}
