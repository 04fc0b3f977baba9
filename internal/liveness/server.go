package liveness

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/filbertrill/filbertrill/internal/recovery"
	"github.com/filbertrill/filbertrill/internal/upstream"
)

// acceptTime is the time within which a server resets a connection beyond its limit.
const acceptTime = 50 * time.Millisecond

// server holds the connections to an endpoint. No request of a caller is sent on them.
type server struct {
	endpoint upstream.Endpoint

	mu          sync.Mutex
	changed     chan struct{} // closed and replaced at each change
	conns       []*conn
	span        span          // the last one that a connection has shown
	closedAt    time.Time     // the last time at which a connection turned out to be closed by the other side
	endedAt     time.Time     // see Proof.EndedAt
	idleLimit   time.Duration // idle time-out that the server names; 0 if it names none
	closedEarly bool          // a connection was closed before its idle time-out, and no question was answered since
	proofs      int           // in progress
	kept        int           // of those, see Proof.Keep
	dialing     bool
	asking      *conn // with a question in progress; nil for none
	ask         func() upstream.Question
	refreshes   bool // a refresh is planned
	idleTimer   *time.Timer
}

// conn is a connection to a server.
type conn struct {
	*upstream.Conn
	opened   time.Time
	since    time.Time // its process is known to run since then
	lastUsed time.Time
	accepted bool // it was still open acceptTime behind its opening
	unneeded bool // closed by this side while a question was in progress
}

// span is a span of time in which one process of the server is known to run.
type span struct{ since, until time.Time }

// covers reports whether a process that has accepted a request sent at begun runs at the given time.
func (s span) covers(begun, at time.Time) bool { return !s.since.After(begun) && !s.until.Before(at) }

func newServer(e upstream.Endpoint) *server {
	return &server{endpoint: e, changed: make(chan struct{})}
}

// changeLocked wakes all that wait for a change.
func (s *server) changeLocked() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// requireConn returns true once a usable connection is open. It returns false if it can't open one, or the context ends.
func (s *server) requireConn(ctx context.Context) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.dropUnusableLocked(time.Now())
	if len(s.conns) == 0 && !s.dialing {
		s.dialLocked()
	}
	for len(s.conns) == 0 {
		if !s.dialing || !s.awaitChangeLocked(ctx) {
			return false
		}
	}
	return true
}

// awaitChangeLocked releases the lock until the next change. It returns false if the context ends before.
func (s *server) awaitChangeLocked(ctx context.Context) bool {
	changed := s.changed
	s.mu.Unlock()
	defer s.mu.Lock()
	select {
	case <-changed:
		return true
	case <-ctx.Done():
		return false
	}
}

// dropUnusableLocked closes connections that were idle for so long that their server may close them at any time, and those that it
// has closed. Proofs in progress may need the others.
func (s *server) dropUnusableLocked(now time.Time) {
	for _, c := range slices.Clone(s.conns) {
		switch ended := c.Ended(); {
		case c == s.asking:
		case ended:
			s.dropEndedLocked(c)
		case s.proofs <= 1 && now.Sub(c.lastUsed) > c.IdleTime(defaultIdleTime):
			s.dropLocked(c)
		}
	}
}

// dropEndedLocked closes a connection that the other side has closed.
func (s *server) dropEndedLocked(c *conn) {
	s.closedAt = time.Now()
	s.dropLocked(c)
	s.closedEarly = s.closedEarly || c.accepted && s.closedAt.Sub(c.lastUsed) < s.idleLimit
	if s.closedEarly && len(s.conns) == 0 {
		s.closedEarly, s.endedAt = false, s.closedAt
	}
}

// dialLocked opens a further connection.
func (s *server) dialLocked() {
	s.dialing = true
	go func() {
		c, err := dial(s.endpoint.Address)
		s.mu.Lock()
		defer s.mu.Unlock()
		s.dialing = false
		switch {
		case err != nil: // refused, or beyond a limit of the server
		case s.proofs == 0:
			_ = c.Close() // no request is in progress on it
		default:
			now := time.Now()
			opened := &conn{Conn: c, opened: now, since: now, lastUsed: now}
			s.conns = append(s.conns, opened)
			time.AfterFunc(acceptTime, func() { s.checkAccepted(opened) })
			if s.kept > 0 && s.asking == nil {
				s.askLocked(s.conns[0], s.ask) // which shows whether the new one is of the same process
			}
		}
		s.changeLocked()
	}()
}

// checkAccepted records whether the connection is still open.
func (s *server) checkAccepted(c *conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	c.accepted = !c.Ended()
}

// dial returns a new connection. Its errors are those of the network.
func dial(address string) (c *upstream.Conn, err error) {
	defer func() {
		if p := recovery.NewPanic(recover()); p != nil {
			err = p
		}
	}()
	return upstream.Dial(context.Background(), address)
}

// dropLocked closes a connection.
func (s *server) dropLocked(c *conn) {
	_ = c.Close() // its request, if any, is not needed
	s.conns = slices.DeleteFunc(s.conns, func(o *conn) bool { return o == c })
	s.changeLocked()
}

// endLocked ends a question that no proof needs any more.
func (s *server) endLocked() {
	if s.asking != nil {
		s.asking.unneeded = true
		_ = s.asking.Close() // askLocked drops it
	}
}

// idleTimeLocked returns the time for which the connections are kept unused.
func (s *server) idleTimeLocked() time.Duration {
	idle := defaultIdleTime
	for _, c := range s.conns {
		idle = max(idle, c.IdleTime(defaultIdleTime))
	}
	return idle
}

// confirm returns evidence that the process which has accepted a request sent at begun runs at the given time.
func (s *server) confirm(ctx context.Context, begun, at time.Time, ask func() upstream.Question) (Evidence, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for dialed := false; ; {
		if s.span.covers(begun, at) {
			return Evidence{Since: s.span.since, Asked: s.span.until}, nil
		}
		c := s.provingLocked(begun)
		switch {
		case c == nil && s.closedAt.After(begun):
			return Evidence{}, ErrEnded
		case c == nil:
			return Evidence{}, ErrUnknown
		case s.asking == nil && !s.dialing && !dialed && s.proofs > 1 && len(s.conns) < keptConns:
			dialed = true
			s.dialLocked() // for the other proofs, if the server closes this connection behind its answer
		case s.asking == nil && !s.dialing:
			s.askLocked(c, ask)
		}
		if !s.awaitChangeLocked(ctx) {
			return Evidence{}, ctx.Err()
		}
	}
}

// provingLocked returns the connection whose process is known for longest, if it is known since begun at least; nil for none.
func (s *server) provingLocked(begun time.Time) (best *conn) {
	for _, c := range s.conns {
		if !c.since.After(begun) && (best == nil || c.since.Before(best.since)) {
			best = c
		}
	}
	return best
}

// askLocked sends the question on the connection, and records the answer.
func (s *server) askLocked(c *conn, ask func() upstream.Question) {
	s.asking = c
	asked := time.Now()
	go func() {
		keep, err := c.ask(ask())
		s.mu.Lock()
		defer s.mu.Unlock()
		s.asking = nil
		switch {
		case c.unneeded:
			s.dropLocked(c)
			return
		case err != nil:
			s.dropEndedLocked(c)
			return
		}
		s.closedEarly = false
		s.recordLocked(c, asked)
		if !keep {
			s.dropLocked(c)
			return
		}
		c.lastUsed = time.Now()
		s.changeLocked()
	}()
}

// recordLocked records that the process of the connection ran at the given time. Connections that were opened while it ran are its own.
func (s *server) recordLocked(c *conn, running time.Time) {
	var same []*conn
	since := c.since
	for _, o := range s.conns {
		if !o.opened.Before(c.since) && !o.opened.After(running) {
			same = append(same, o)
			if o.since.Before(since) {
				since = o.since
			}
		}
	}
	if !s.span.until.Before(since) && s.span.since.Before(since) {
		since = s.span.since
	}
	s.span = span{since: since, until: running}
	c.since = since
	for _, o := range same {
		o.since = since
	}
}

// keep plans refreshes until no kept proof is left.
func (s *server) keep(ask func() upstream.Question) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.kept++
	s.ask = ask
	s.planRefreshLocked()
}

func (s *server) planRefreshLocked() {
	if s.refreshes || s.kept == 0 {
		return
	}
	s.refreshes = true
	time.AfterFunc(refreshInterval, s.refresh)
}

// refresh asks on the connection that was unused for longest, and opens another one if there is one only.
func (s *server) refresh() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.refreshes = false
	s.planRefreshLocked()
	switch {
	case s.kept == 0 || s.asking != nil || s.dialing || len(s.conns) == 0:
	case len(s.conns) < keptConns:
		s.dialLocked()
	default:
		s.askLocked(slices.MinFunc(s.conns, func(a, b *conn) int { return a.lastUsed.Compare(b.lastUsed) }), s.ask)
	}
}

// ask sends the question and reads the answer. keep reports whether the connection can be used again.
func (c *conn) ask(q upstream.Question) (keep bool, err error) {
	defer func() {
		if p := recovery.NewPanic(recover()); p != nil {
			keep, err = false, p
		}
	}()
	return c.Ask(q)
}
