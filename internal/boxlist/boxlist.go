// Package boxlist reads the platform's list of boxes.
//
// The list lags: it includes boxes that have stopped and lacks new ones. It is used to find peers
// and to show operators how many boxes there should be; no guarantee depends on it.
package boxlist

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"time"

	"github.com/ansel1/merry/v2"

	"github.com/cometlock/cometlock/internal/strictclient"
)

// State is the state of a box according to the platform.
type State string

const (
	// Live boxes serve.
	Live State = "live"
	// Leaving boxes are about to stop.
	Leaving State = "leaving"
)

// Box is an entry of the list, for an entry box or a backend server. A backend server has a name
// and a state, and if the platform provides them its current incarnation and its address.
type Box struct {
	Name  string `json:"name"`
	Zone  string `json:"zone"`
	State State  `json:"state"`
	// Peer, Admin and Caller are the box's addresses for other boxes, for operators and for
	// callers.
	Peer   string `json:"peer"`
	Admin  string `json:"admin"`
	Caller string `json:"caller"`
	// Incarnation and Address are set only for backend servers.
	Incarnation string `json:"incarnation,omitempty"`
	Address     string `json:"address,omitempty"`
}

// Path is the URL path of the list.
const Path = "/v1/boxes"

// List is the platform's list of boxes.
type List interface {
	// Boxes returns the platform's current list.
	Boxes(ctx context.Context) ([]Box, error)
}

// Client reads the list over HTTP.
type Client struct {
	address string
	http    http.Client
}

const (
	timeout      = 2 * time.Second
	maxListBytes = 4 << 20
)

// NewClient returns a client for the list at an IP address and port.
func NewClient(address string) *Client {
	return &Client{address: address, http: http.Client{Timeout: timeout, Transport: strictclient.New(&http.Transport{Proxy: http.ProxyFromEnvironment})}}
}

// Boxes implements List.
func (c *Client) Boxes(ctx context.Context) ([]Box, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+c.address+Path, nil)
	if err != nil {
		return nil, merry.Wrap(err)
	}
	response, err := c.http.Do(request)
	if err != nil {
		return nil, merry.Prepend(err, "read the list of boxes")
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return nil, merry.Errorf("read the list of boxes: status %d", response.StatusCode)
	}
	var boxes []Box
	if err := json.NewDecoder(io.LimitReader(response.Body, maxListBytes)).Decode(&boxes); err != nil {
		return nil, merry.Prepend(err, "read the list of boxes")
	}
	return boxes, nil
}

// Static is a list that never changes.
type Static []Box

// Boxes implements List.
func (s Static) Boxes(context.Context) ([]Box, error) { return s, nil }
