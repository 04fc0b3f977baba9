package upstream

import (
	"context"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/filbertrill/filbertrill/internal/socket"
)

// Continuity receives what connections show of the process behind an endpoint. Its methods must not block.
type Continuity interface {
	// Interrupted is called when the process may have ended: from now on another one may answer at the endpoint.
	Interrupted(e Endpoint, at time.Time)
	// Refused is called when the endpoint has refused a connection: the process has ended.
	Refused(e Endpoint, at time.Time)
}

// SetContinuity sets the receiver. It must be called before the pool is used.
func (p *Pool) SetContinuity(c Continuity) { p.continuity = c }

// maxSilence is the time since the last sign of life of a connection within which its end is taken for one of just now. A host that
// lost power closes nothing, and resets the connection once it runs again.
const maxSilence = time.Second

// RecordBroken records that the server has closed or reset the connection while a request was in progress.
func (p *Pool) RecordBroken(c *Conn) { p.broken(c, time.Since(c.lastAlive()) < maxSilence) }

// RecordInterrupted records that the process that has held the connection may have ended.
func (p *Pool) RecordInterrupted(c *Conn) {
	if p.continuity != nil {
		p.continuity.Interrupted(c.endpoint, time.Now())
	}
}

// recordDialFailure records that the endpoint refused a connection, or that nothing answers there.
func (p *Pool) recordDialFailure(e Endpoint, err error) {
	var timeout interface{ Timeout() bool }
	switch {
	case p.continuity == nil:
	case errors.Is(err, syscall.ECONNREFUSED):
		p.continuity.Refused(e, time.Now())
	case errors.As(err, &timeout) && timeout.Timeout():
		p.continuity.Interrupted(e, time.Now())
	}
}

// closedEarly reports whether the server has closed the idle connection before the timeout that it named.
func (c *Conn) closedEarly(now time.Time) bool {
	if c.idleTimeout <= 0 || c.idleExpired(now) {
		return false
	}
	state, err := c.Peek()
	return err == nil && state == socket.Closed
}

// lastAlive returns the last time at which the process is known to have held the connection.
func (c *Conn) lastAlive() time.Time {
	last := c.openedAt
	for _, t := range []time.Time{c.lastUsed, c.received.lastAt} {
		if t.After(last) {
			last = t
		}
	}
	return last
}

// broken starts to find out whether the process of a closed connection may have ended, and reports that it may. mayDial states that the
// connection was closed just now: a process that accepts another one at once, and keeps it, is the same.
func (p *Pool) broken(c *Conn, mayDial bool) {
	if p.continuity == nil {
		return
	}
	e, next := c.endpoint, breakage{at: time.Now(), alive: c.lastAlive(), mayDial: mayDial}
	if !mayDial && !p.HoldsFrom(e, next.alive) {
		p.continuity.Interrupted(e, next.at)
		return
	}
	p.mu.Lock()
	conns := p.connsOf(e)
	if conns.breakage != nil {
		conns.breakage.add(next)
		p.mu.Unlock()
		return
	}
	conns.breakage = &breakage{}
	p.mu.Unlock()
	go p.resolve(e, next)
}

// breakage is what is to be found out about one or several closed connections of an endpoint.
type breakage struct {
	at, alive time.Time // of the last one to close, of the first one to be last alive; zero for none
	mayDial   bool
}

func (b *breakage) add(next breakage) {
	if b.at.IsZero() {
		*b = next
		return
	}
	b.at, b.mayDial = next.at, b.mayDial && next.mayDial
	if next.alive.Before(b.alive) {
		b.alive = next.alive
	}
}

// resolve finds out whether the process of the endpoint runs on, until no further connection has broken meanwhile.
func (p *Pool) resolve(e Endpoint, b breakage) {
	for {
		if !p.continues(e, b.alive, b.mayDial) {
			p.continuity.Interrupted(e, b.at)
		}
		p.mu.Lock()
		conns, known := p.endpoints[e]
		if !known || conns.breakage == nil || conns.breakage.at.IsZero() {
			if known {
				conns.breakage = nil
			}
			p.mu.Unlock()
			return
		}
		b, conns.breakage = *conns.breakage, &breakage{}
		p.mu.Unlock()
	}
}

// continues reports whether the process that held a connection at the given time runs on: behind processEndTime it still holds one
// that was open then, or one that is dialled now.
func (p *Pool) continues(e Endpoint, alive time.Time, mayDial bool) bool {
	if !mayDial {
		time.Sleep(processEndTime)
		return p.HoldsFrom(e, alive)
	}
	ctx, cancel := context.WithTimeout(context.Background(), processEndTime)
	defer cancel()
	end := time.Now().Add(processEndTime)
	c, err := p.dialBeyondLimit(ctx, e)
	if err != nil {
		time.Sleep(time.Until(end)) // a server at its limit resets connections
		return p.HoldsFrom(e, alive)
	}
	if c.closedUntil(end) {
		p.closeConn(e, c)
		time.Sleep(time.Until(end))
		return p.HoldsFrom(e, alive)
	}
	p.Put(e, c)
	return true
}

// HoldsFrom reports whether a connection that was opened before the given time is open, with nothing to read: a process that has
// ended may leave data.
func (p *Pool) HoldsFrom(e Endpoint, before time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	conns, ok := p.endpoints[e]
	if !ok {
		return false
	}
	for c := range conns.established {
		if !c.openedAt.Before(before) {
			continue
		}
		if state, err := c.Peek(); err == nil && state == socket.Idle {
			return true
		}
	}
	return false
}
