// A client for the servers of other boxes. It keeps idle connections, each of which carries one request
// at a time.

package frame

import (
	"context"
	"errors"
	"net"
	"slices"
	"sync"
	"time"

	"github.com/cometlock/cometlock/internal/boottime"
)

// ClientConfig configures a Client.
type ClientConfig struct {
	// Dial connects to another box; nil selects TCP.
	Dial func(ctx context.Context, address string) (net.Conn, error)
	// MaxIdle bounds the idle connections to one box, and MaxIdleTime the time for which they are kept,
	// which must be shorter than the time after which the server closes them.
	MaxIdle     int
	MaxIdleTime time.Duration
	// MaxResponseBytes bounds a response.
	MaxResponseBytes uint32
}

// Client exchanges requests and responses with other boxes.
type Client struct {
	cfg ClientConfig

	mu   sync.Mutex
	idle map[string][]idleConnection
}

// idleConnection is a connection without a request since a given time.
type idleConnection struct {
	net.Conn
	since time.Time
}

// NewClient returns a client without connections.
func NewClient(cfg ClientConfig) *Client {
	if cfg.Dial == nil {
		cfg.Dial = func(ctx context.Context, address string) (net.Conn, error) {
			var dialer net.Dialer
			return dialer.DialContext(ctx, "tcp", address)
		}
	}
	return &Client{cfg: cfg, idle: map[string][]idleConnection{}}
}

// Exchange sends a request to the box at an address and reads its response, within a timeout for all of
// it. The other box may have closed an idle connection in the meantime; it has not processed the request
// then, which is sent again on a new one.
func (c *Client) Exchange(ctx context.Context, address string, request, response any, timeout time.Duration) error {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	if connection := c.takeIdle(address); connection != nil {
		err := c.exchangeOn(ctx, address, connection, request, response, timeout)
		if err == nil || ctx.Err() != nil || isTimeout(err) {
			return err
		}
	}
	connection, err := c.cfg.Dial(ctx, address)
	if err != nil {
		return err
	}
	return c.exchangeOn(ctx, address, connection, request, response, timeout)
}

func isTimeout(err error) bool {
	var netErr net.Error
	return errors.As(err, &netErr) && netErr.Timeout()
}

// exchangeOn exchanges a request and a response on a connection, which is kept unless that fails. The end of
// ctx closes it, which ends a read.
func (c *Client) exchangeOn(ctx context.Context, address string, connection net.Conn, request, response any, timeout time.Duration) error {
	stop := context.AfterFunc(ctx, func() { _ = connection.Close() })
	err := Write(connection, request, timeout)
	if err == nil {
		err = Read(connection, response, c.cfg.MaxResponseBytes)
	}
	if !stop() || err != nil {
		_ = connection.Close() // the connection has failed or is closed already
		return err
	}
	c.putIdle(address, connection)
	return nil
}

func (c *Client) takeIdle(address string) net.Conn {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closeExpired(boottime.Now())
	idle := c.idle[address]
	if len(idle) == 0 {
		return nil
	}
	c.idle[address] = idle[:len(idle)-1]
	return idle[len(idle)-1].Conn
}

func (c *Client) putIdle(address string, connection net.Conn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.idle[address]) >= c.cfg.MaxIdle {
		_ = connection.Close() // there is no request on it
		return
	}
	c.idle[address] = append(c.idle[address], idleConnection{connection, boottime.Now()})
}

// closeExpired closes the connections that have been idle for too long. The caller holds mu.
func (c *Client) closeExpired(now time.Time) {
	for address, idle := range c.idle {
		c.idle[address] = slices.DeleteFunc(idle, func(each idleConnection) bool {
			expired := now.Sub(each.since) > c.cfg.MaxIdleTime
			if expired {
				_ = each.Close() // there is no request on it
			}
			return expired
		})
		if len(c.idle[address]) == 0 {
			delete(c.idle, address)
		}
	}
}

// CloseIdle closes all idle connections.
func (c *Client) CloseIdle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, idle := range c.idle {
		for _, connection := range idle {
			_ = connection.Close() // there is no request on it
		}
	}
	clear(c.idle)
}
