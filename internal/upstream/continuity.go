package upstream

import (
	"context"
	"slices"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/filbertrill/filbertrill/internal/socket"
)

// Continuity receives what connections show of the process behind an endpoint. Its methods must not block.
type Continuity interface {
	// Interrupted is called when the process may have ended: from now on another one may answer at the endpoint.
	Interrupted(e Endpoint, at time.Time)
	// Refused is called when the endpoint has refused a connection, or closed several at once: the process has ended.
	Refused(e Endpoint, at time.Time)
}

// SetContinuity sets the receiver. It must be called before the pool is used.
func (p *Pool) SetContinuity(c Continuity) { p.continuity = c }

// continuityTimeout is the time within which a process must show that it runs on: until then its version counts as known. The kernel closes
// the sockets of a killed process within 27 ms, the newest connections first.
const continuityTimeout = 50 * time.Millisecond

// RecordBroken records that the server has closed or reset the connection while a request was in progress.
func (p *Pool) RecordBroken(c *Conn) { p.broken(c, true) }

// RecordInterrupted records that the process of the endpoint may have ended at the given time.
func (p *Pool) RecordInterrupted(e Endpoint, at time.Time) {
	if p.continuity != nil {
		p.continuity.Interrupted(e, at)
	}
}

// RecordEnded records that the process that has held the connection has ended, as far as its other connections tell.
func (p *Pool) RecordEnded(c *Conn) {
	if p.continuity != nil {
		p.continuity.Refused(c.endpoint, time.Now())
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

// broken starts to find out whether the process of a closed connection runs on, and reports that it may have ended. redial states that a connection is
// then opened for the next request: it may be refused, which tells more.
func (p *Pool) broken(c *Conn, redial bool) {
	p.investigate(c.endpoint, doubt{alive: c.aliveAt, at: time.Now(), redial: redial})
}

// Doubt starts to find out whether the process that ran at the time alive runs on, and reports that it may have ended at the given time unless a
// connection that was open before shows that it runs.
func (p *Pool) Doubt(e Endpoint, alive, at time.Time) { p.investigate(e, doubt{alive: alive, at: at}) }

// investigate is Pool.Doubt and Pool.broken.
func (p *Pool) investigate(e Endpoint, next doubt) {
	if p.continuity == nil {
		return
	}
	p.mu.Lock()
	conns := p.connsOf(e)
	switch {
	case conns.shown.covers(next):
		p.mu.Unlock()
		return
	case conns.doubt != nil:
		conns.doubt.add(next)
		p.mu.Unlock()
		return
	}
	c := conns.takeOlder(next.alive)
	if c == nil && !conns.holdsOlder(next.alive) {
		p.forgetUnusedLocked(e)
		p.mu.Unlock()
		p.interrupted(e, next)
		return
	}
	conns.doubt = &doubt{}
	p.mu.Unlock()
	go p.resolve(e, next, c)
}

// interrupted reports that the process may have ended.
func (p *Pool) interrupted(e Endpoint, d doubt) {
	p.continuity.Interrupted(e, d.at)
	if !d.redial || !p.mayRedial(e, time.Now()) {
		return
	}
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), dialTimeout)
		defer cancel()
		if c, err := p.dialBeyondLimit(ctx, e); err == nil { // else the failure is recorded
			p.Put(e, c)
		}
	}()
}

// mayRedial reports whether no connection was opened in the last continuityTimeout behind broken ones: many may break at once.
func (p *Pool) mayRedial(e Endpoint, now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	conns := p.connsOf(e)
	if now.Sub(conns.redialedAt) < continuityTimeout {
		return false
	}
	conns.redialedAt = now
	return true
}

// lifeSpan is a span of time in which one process of an endpoint is known to run.
type lifeSpan struct{ since, until time.Time }

// covers reports whether the process of the doubt is known to have run on.
func (s lifeSpan) covers(d doubt) bool { return !s.since.After(d.alive) && !s.until.Before(d.at) }

// doubt is what is to be found out about the process of an endpoint: see Pool.Doubt and Pool.broken.
type doubt struct {
	alive, at time.Time // the earliest and the last ones that were added; zero for none
	redial    bool
}

func (d *doubt) add(next doubt) {
	if !d.at.IsZero() && d.alive.Before(next.alive) {
		next.alive = d.alive
	}
	if d.at.After(next.at) {
		next.at = d.at
	}
	next.redial = next.redial || d.redial
	*d = next
}

// resolve finds out whether the process of the endpoint runs on, until no further doubt has arisen meanwhile. It begins with connection c.
func (p *Pool) resolve(e Endpoint, d doubt, c *Conn) {
	for {
		if !p.continues(e, d, c) {
			p.interrupted(e, d)
		}
		p.mu.Lock()
		conns := p.connsOf(e)
		if conns.doubt == nil || conns.doubt.at.IsZero() {
			conns.doubt = nil
			p.forgetUnusedLocked(e)
			p.mu.Unlock()
			return
		}
		d, conns.doubt = *conns.doubt, &doubt{}
		c = conns.takeOlder(d.alive)
		p.mu.Unlock()
	}
}

// continues reports whether the process that ran at d.alive runs on: it answers on an idle connection that was open before, c (may be nil) or another
// one of the pool, or still holds one that is in use, on which it can't be asked.
func (p *Pool) continues(e Endpoint, d doubt, c *Conn) bool {
	end := time.Now().Add(continuityTimeout)
	ctx, cancel := context.WithDeadline(context.Background(), end)
	defer cancel()
	if _, ok := p.answers(ctx, e, d.alive, c); ok {
		return true
	}
	time.Sleep(time.Until(end))
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.connsOf(e).holdsOlder(d.alive)
}

// RunsOn reports whether the process that has sent the last answer on the connection answers a question on an idle connection of the pool that was
// open before that answer's request, and since when it is known to run. The context must have a deadline.
func (p *Pool) RunsOn(ctx context.Context, c *Conn) (since time.Time, ok bool) {
	return p.answers(ctx, c.endpoint, c.aliveAt, p.takeOlder(c.endpoint, c.aliveAt))
}

// answers asks on the idle connections that were opened before the given time, one after the other. It begins with c, which is taken and may be nil. It
// returns when the one that was answered was opened.
func (p *Pool) answers(ctx context.Context, e Endpoint, before time.Time, c *Conn) (openedAt time.Time, ok bool) {
	for ; c != nil; c = p.takeOlder(e, before) {
		life := lifeSpan{since: c.openedAt, until: time.Now()}
		if p.ask(ctx, e, c) == nil {
			p.mu.Lock()
			p.connsOf(e).shown = life
			p.mu.Unlock()
			return life.since, true
		}
	}
	return time.Time{}, false
}

// takeOlder removes and returns the idle connection that was used last of those that were opened before the given time, nil if there is none.
func (p *Pool) takeOlder(e Endpoint, before time.Time) *Conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.connsOf(e).takeOlder(before)
}

// takeOlder is Pool.takeOlder. The caller holds the lock.
func (conns *endpointConns) takeOlder(before time.Time) *Conn {
	for i, c := range slices.Backward(conns.idle) {
		if c.openedAt.Before(before) {
			conns.idle = slices.Delete(conns.idle, i, i+1)
			return c
		}
	}
	return nil
}

// holdsOlder reports whether a connection that was opened before the given time is open, with nothing to read: a process that has ended may leave
// data. The caller holds the lock.
func (conns *endpointConns) holdsOlder(before time.Time) bool {
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

// forgetUnusedLocked forgets the endpoint if it has no connection. The caller holds the lock.
func (p *Pool) forgetUnusedLocked(e Endpoint) {
	if conns := p.endpoints[e]; conns != nil && conns.open <= 0 && len(conns.idle) == 0 && conns.doubt == nil {
		delete(p.endpoints, e)
	}
}
