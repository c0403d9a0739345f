// Client side: a box requests a place from the owner of a zone's servers, and chooses a server
// itself if the owner doesn't respond soon.

package places

import (
	"context"
	"errors"
	"maps"
	"net"
	"slices"
	"time"

	"github.com/cometlock/cometlock/internal/boottime"
	"github.com/cometlock/cometlock/internal/frame"
)

const (
	// connectTimeout bounds a connect, and responseTimeout the wait for a response on top of the
	// time for which the call may wait for capacity. Both are several times the response time of an
	// owner that gets requests from 50 boxes at once, and a small fraction of a call's latency
	// objective.
	connectTimeout  = 60 * time.Millisecond
	responseTimeout = 60 * time.Millisecond
	// unresponsiveTime is how long an owner that didn't respond gets no requests. If it has failed,
	// another box becomes the owner within a second.
	unresponsiveTime = 2 * time.Second
	// maxIdle bounds the idle connections to one owner. Calls that wait for capacity use one
	// connection each.
	maxIdle = 4
	// maxIdleTime is how long a connection may be idle. The owner closes it after idleTimeout.
	maxIdleTime = 20 * time.Second
)

// RequestPlace requests a place from the owner of a zone's servers. It returns the server's
// incarnation, or an empty string if there was no capacity. An error means that no owner decided.
func (p *Placer) RequestPlace(ctx context.Context, zone string, request Request) (server string, err error) {
	response, err := p.RequestDecision(ctx, zone, request)
	return response.Server, err
}

// RequestDecision is like RequestPlace, but returns the whole response.
func (p *Placer) RequestDecision(ctx context.Context, zone string, request Request) (Response, error) {
	request.TargetZone = zone
	response, err := p.requestOwner(ctx, zone, request)
	if err != nil {
		return Response{}, err
	}
	if response.NotOwner {
		return Response{}, ErrNotOwner
	}
	p.noteFull(zone, request, response)
	return response, nil
}

// requestOwner sends a request to the owner of a zone's servers, which may be this box.
func (p *Placer) requestOwner(ctx context.Context, zone string, request Request) (Response, error) {
	owner, exists := p.ownerOf(zone)
	if !exists {
		return Response{}, ErrNoOwner
	}
	if owner.Name == p.cfg.Self.Name {
		return p.requestLocal(ctx, request), nil
	}
	if p.isUnresponsive(owner.Name) {
		return Response{}, ErrOwnerUnresponsive
	}
	request.PrefillSamples = p.cfg.Fleet.TakePrefillSamples(zone)
	response, err := p.requestRemote(ctx, owner, request)
	if err != nil && ctx.Err() == nil {
		p.noteUnresponsive(owner, err)
	}
	return response, err
}

// requestLocal grants a place to a call of this box.
func (p *Placer) requestLocal(ctx context.Context, request Request) Response {
	response, granted := p.decide(ctx, request)
	if granted != nil {
		p.revoke(granted) // this box counts the call as its own from now on
	}
	return response
}

// requestRemote sends a request to another box, on an idle connection if there is one. The other
// box may have closed that connection in the meantime; then it hasn't processed the request, which
// is sent again on a new connection.
func (p *Placer) requestRemote(ctx context.Context, owner Box, request Request) (Response, error) {
	if connection := p.takeIdle(owner.Address); connection != nil {
		response, err := p.exchangeOn(ctx, owner, connection, request)
		if err == nil || isTimeout(err) {
			return response, err
		}
	}
	connection, err := p.dial(ctx, owner.Address)
	if err != nil {
		return Response{}, err
	}
	return p.exchangeOn(ctx, owner, connection, request)
}

func isTimeout(err error) bool {
	var netErr net.Error
	return errors.As(err, &netErr) && netErr.Timeout()
}

func (p *Placer) dial(ctx context.Context, address string) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, connectTimeout)
	defer cancel()
	return p.cfg.Dial(ctx, address)
}

// exchangeOn sends a request on a connection and returns the connection to the pool afterwards.
func (p *Placer) exchangeOn(ctx context.Context, owner Box, connection net.Conn, request Request) (Response, error) {
	// When the caller leaves, closing the connection ends the request, so that the owner revokes
	// its grant.
	defer context.AfterFunc(ctx, func() { _ = connection.Close() })()
	response, err := exchange(connection, request)
	if err != nil {
		_ = connection.Close() // the connection has failed already
		return Response{}, err
	}
	p.putIdle(owner.Address, connection)
	return response, nil
}

func exchange(connection net.Conn, request Request) (response Response, err error) {
	if err := frame.Write(connection, &request, responseTimeout); err != nil {
		return response, err
	}
	if err := connection.SetReadDeadline(time.Now().Add(request.MaxWait + responseTimeout)); err != nil {
		return response, err
	}
	return response, frame.Read(connection, &response, maxResponseBytes)
}

// idleConnection is a pooled connection without a request since a given time.
type idleConnection struct {
	net.Conn
	since time.Time
}

func (p *Placer) takeIdle(address string) net.Conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closeExpired(boottime.Now())
	idle := p.idle[address]
	if len(idle) == 0 {
		return nil
	}
	p.idle[address] = idle[:len(idle)-1]
	return idle[len(idle)-1].Conn
}

// putIdle returns a connection to the pool.
func (p *Placer) putIdle(address string, connection net.Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.idle[address]) >= maxIdle {
		_ = connection.Close() // there is no request on it
		return
	}
	p.idle[address] = append(p.idle[address], idleConnection{connection, boottime.Now()})
}

// closeExpired closes the connections that the other box is about to close or has closed, including
// those to boxes that are no longer owners and get no further requests. The caller holds mu.
func (p *Placer) closeExpired(now time.Time) {
	for address, idle := range p.idle {
		p.idle[address] = slices.DeleteFunc(idle, func(c idleConnection) bool {
			expired := now.Sub(c.since) > maxIdleTime
			if expired {
				_ = c.Close() // there is no request on it
			}
			return expired
		})
		if len(p.idle[address]) == 0 {
			delete(p.idle, address)
		}
	}
}

func (p *Placer) isUnresponsive(owner string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return boottime.Now().Before(p.unresponsive[owner])
}

// noteUnresponsive stops requests to an owner that didn't respond, and closes the idle connections
// to it, which may be broken too.
func (p *Placer) noteUnresponsive(owner Box, err error) {
	p.cfg.Logger.Warn().Str("owner", owner.Name).Str("error", err.Error()).Msg("owner_silent")
	p.mu.Lock()
	defer p.mu.Unlock()
	now := boottime.Now()
	maps.DeleteFunc(p.unresponsive, func(_ string, until time.Time) bool { return now.After(until) })
	p.unresponsive[owner.Name] = now.Add(unresponsiveTime)
	for _, connection := range p.idle[owner.Address] {
		_ = connection.Close() // there is no request on it
	}
	delete(p.idle, owner.Address)
}
