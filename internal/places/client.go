// Asking: a box asks the owner of a zone's servers, and chooses by itself when that one does not
// answer soon.

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
	// connectLimit bounds a connect, and answerLimit the wait for an answer besides what the
	// call may wait for room: several times what an owner needs that is asked by 50 boxes at
	// once, and a small part of the objective of a call.
	connectLimit = 60 * time.Millisecond
	answerLimit  = 60 * time.Millisecond
	// silentFor is how long an owner that did not answer is left alone. Another one takes its
	// place within a second if it is gone.
	silentFor = 2 * time.Second
	// mostIdle bounds the open connections to one owner that no question is on: calls that
	// wait for room hold one each.
	mostIdle = 4
	// longestRest is how long a connection may rest. The owner closes it after questionLimit.
	longestRest = 20 * time.Second
)

// Ask asks the owner of a zone's servers for a place. It gives the server's incarnation; empty
// when there was no room. An error means that nobody answered.
func (p *Placer) RequestPlace(ctx context.Context, zone string, q Request) (server string, err error) {
	q.TargetZone = zone
	owner, there := p.ownerOf(zone)
	if !there {
		return "", ErrNoOwner
	}
	if owner.Name == p.cfg.Self.Name {
		return p.askSelf(ctx, q), nil
	}
	if p.isSilent(owner.Name) {
		return "", ErrOwnerUnresponsive
	}
	q.PrefillSamples = p.cfg.Fleet.TakePrefillSamples(zone)
	answer, err := p.askOther(ctx, owner, q)
	if err != nil {
		if ctx.Err() == nil {
			p.noteSilent(owner, err)
		}
		return "", err
	}
	if answer.NotOwner {
		return "", ErrNotOwner
	}
	return answer.Server, nil
}

// askSelf gives a call of this box a place.
func (p *Placer) askSelf(ctx context.Context, q Request) string {
	given := p.GrantPlace(ctx, q)
	if given == nil {
		return ""
	}
	p.takeBack(given) // the call counts as this box's own from now on
	return given.Server()
}

// askOther asks another box, on an open connection if there is one. That may have been closed
// by the other box since, which then has not answered anything.
func (p *Placer) askOther(ctx context.Context, owner Box, q Request) (Response, error) {
	if connection := p.takeIdle(owner.Address); connection != nil {
		answer, err := p.askOn(ctx, owner, connection, q)
		if err == nil || isTimeout(err) {
			return answer, err
		}
	}
	connection, err := p.connect(ctx, owner.Address)
	if err != nil {
		return Response{}, err
	}
	return p.askOn(ctx, owner, connection, q)
}

func isTimeout(err error) bool {
	var failed net.Error
	return errors.As(err, &failed) && failed.Timeout()
}

func (p *Placer) connect(ctx context.Context, address string) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, connectLimit)
	defer cancel()
	return p.cfg.Dial(ctx, address)
}

// askOn asks on a connection, and keeps it for the next question.
func (p *Placer) askOn(ctx context.Context, owner Box, connection net.Conn, q Request) (Response, error) {
	// A caller that leaves ends its question, so that its place is taken back.
	defer context.AfterFunc(ctx, func() { _ = connection.Close() })()
	answer, err := ask(connection, q)
	if err != nil {
		_ = connection.Close() // it has failed already
		return Response{}, err
	}
	p.giveBack(owner.Address, connection)
	return answer, nil
}

func ask(connection net.Conn, q Request) (answer Response, err error) {
	if err := frame.Write(connection, &q, answerLimit); err != nil {
		return answer, err
	}
	if err := connection.SetReadDeadline(time.Now().Add(q.MaxWait + answerLimit)); err != nil {
		return answer, err
	}
	return answer, frame.Read(connection, &answer, maxAnswerBytes)
}

// idleConnection is an open connection that no question has been on since a moment.
type idleConnection struct {
	net.Conn
	since time.Time
}

func (p *Placer) takeIdle(address string) net.Conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closeRested(boottime.Now())
	idle := p.idle[address]
	if len(idle) == 0 {
		return nil
	}
	p.idle[address] = idle[:len(idle)-1]
	return idle[len(idle)-1].Conn
}

// giveBack keeps a connection for the next question.
func (p *Placer) giveBack(address string, connection net.Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.idle[address]) >= mostIdle {
		_ = connection.Close() // nothing is on it
		return
	}
	p.idle[address] = append(p.idle[address], idleConnection{connection, boottime.Now()})
}

// closeRested closes the connections that the other box is about to close, or has closed: also
// those to boxes that own nothing any more, and are not asked again. The caller holds mu.
func (p *Placer) closeRested(now time.Time) {
	for address, idle := range p.idle {
		p.idle[address] = slices.DeleteFunc(idle, func(c idleConnection) bool {
			rested := now.Sub(c.since) > longestRest
			if rested {
				_ = c.Close() // nothing is on it
			}
			return rested
		})
		if len(p.idle[address]) == 0 {
			delete(p.idle, address)
		}
	}
}

func (p *Placer) isSilent(owner string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return boottime.Now().Before(p.silent[owner])
}

// noteSilent leaves an owner alone that did not answer, and the connections to it, which may
// have been cut with it.
func (p *Placer) noteSilent(owner Box, err error) {
	p.cfg.Logger.Warn().Str("owner", owner.Name).Str("error", err.Error()).Msg("owner_silent")
	p.mu.Lock()
	defer p.mu.Unlock()
	now := boottime.Now()
	maps.DeleteFunc(p.silent, func(_ string, until time.Time) bool { return now.After(until) })
	p.silent[owner.Name] = now.Add(silentFor)
	for _, connection := range p.idle[owner.Address] {
		_ = connection.Close() // nothing is on it
	}
	delete(p.idle, owner.Address)
}
