// Package liveness shows that the process that has accepted a request still runs behind its answer, or behind its broken connection. An answer without a
// length or chunks ends like that of a killed process, whose connections the kernel closes, and another process may listen at the address by
// then. The version of a server is known for its registered process only.
//
// What tells processes apart is a connection: the kernel binds it to the process that has accepted it and ends it with that process. An ID or an address
// that answers proves nothing of the process before. A process listens at an address only after the one before it has ended. So if one
// process is known to run during one span of time, and one at the same address during another, they are the same one if the spans overlap.
// A connection that was open when a request was sent, and that answers behind the end of the answer, gives such a span.
package liveness

import (
	"context"
	"io"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/filbertrill/filbertrill/internal/upstream"
)

const (
	// maxConnDelay is the longest time for which Begin waits for a connection.
	maxConnDelay = 300 * time.Millisecond
	// refreshInterval is the time between two questions while an answer without a length is in progress, which keep connections from
	// being closed as idle, and replace those that are closed.
	refreshInterval = time.Second
	// defaultIdleTime is the time for which an unused connection is kept to a server that names no idle time-out.
	defaultIdleTime = 2 * time.Second
	// keptConns is the number of connections to a server while answers without a length are in progress: one may be closed by
	// its server at any time, and the other one then shows that the process runs on.
	keptConns = 2
)

// Errors of Proof.Confirm.
var (
	// ErrEnded means that no connection tells whether the process runs, and the server has closed one since the request was sent.
	ErrEnded = errors.New("the process has ended, or closes connections")
	// ErrUnknown means that no connection tells whether the process runs.
	ErrUnknown = errors.New("no connection shows that the process runs on")
)

// Evidence tells what a confirmation rests on.
type Evidence struct {
	Since time.Time // the process is known to run since then
	Asked time.Time // and at this time, behind the end of the answer
}

// Checker holds connections to servers that show which process runs there. Its methods are safe for concurrent use.
type Checker struct {
	mu      sync.Mutex
	servers map[upstream.Endpoint]*server
}

// NewChecker returns a Checker without connections.
func NewChecker() *Checker { return &Checker{servers: make(map[upstream.Endpoint]*server)} }

// Proof is to show that the process which accepts a request runs behind the end of its answer. The caller ends it with End.
type Proof struct {
	checker *Checker
	server  *server
	ask     func() upstream.Question
	begun   time.Time // a connection was open then; zero for none
	kept    bool
	ended   bool
}

// Begin returns a proof for a request to the endpoint, whose connection is open. The request must be sent behind Begin, which waits for a
// connection of its own for 300 ms at most. ask returns the question for the server; it may be called until End and for a short time behind it.
func (c *Checker) Begin(ctx context.Context, e upstream.Endpoint, ask func() upstream.Question) *Proof {
	p := &Proof{checker: c, server: c.acquire(e), ask: ask}
	ctx, cancel := context.WithTimeout(ctx, maxConnDelay)
	defer cancel()
	if p.server.requireConn(ctx) {
		p.begun = time.Now()
	}
	return p
}

// EndedAt returns the last time at which the process of the server seemed to have ended, zero for none: its only connection was closed before the idle
// time-out that the server names. A connection that was closed at once doesn't count, as the server may have reached its limit.
func (p *Proof) EndedAt() time.Time {
	if p == nil {
		return time.Time{}
	}
	p.server.mu.Lock()
	defer p.server.mu.Unlock()
	return p.server.endedAt
}

// SetIdleTimeout sets the time for which the server keeps idle connections open, 0 if it names none.
func (p *Proof) SetIdleTimeout(d time.Duration) {
	if p == nil {
		return
	}
	p.server.mu.Lock()
	defer p.server.mu.Unlock()
	p.server.idleLimit = d
}

// acquire returns the server with one more proof.
func (c *Checker) acquire(e upstream.Endpoint) *server {
	c.mu.Lock()
	defer c.mu.Unlock()
	s, ok := c.servers[e]
	if !ok {
		s = newServer(e)
		c.servers[e] = s
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.proofs++
	return s
}

// Keep states that the answer has begun and ends with its connection: the connections that the proof needs are kept open until End.
func (p *Proof) Keep() {
	if p == nil || p.kept {
		return
	}
	p.kept = true
	p.server.keep(p.ask)
}

// Confirm returns nil if the process that has answered the request runs now, behind the end of its answer. A server that is silent is
// asked until the context ends. ErrEnded and ErrUnknown are marked io.ErrUnexpectedEOF: the answer counts as cut. The proof may be nil.
func (p *Proof) Confirm(ctx context.Context) (Evidence, error) {
	if p == nil || p.begun.IsZero() {
		return Evidence{}, errors.Mark(ErrUnknown, io.ErrUnexpectedEOF)
	}
	return p.ConfirmSince(ctx, p.begun)
}

// ConfirmSince is Confirm for the process that is known to have run at the given time.
func (p *Proof) ConfirmSince(ctx context.Context, alive time.Time) (Evidence, error) {
	evidence, err := p.server.confirm(ctx, alive, time.Now(), p.ask)
	if errors.IsAny(err, ErrEnded, ErrUnknown) {
		err = errors.Mark(err, io.ErrUnexpectedEOF)
	}
	return evidence, err
}

// End ends the proof, which may be nil. Connections that no proof needs are closed after their idle time.
func (p *Proof) End() {
	if p == nil || p.ended {
		return
	}
	p.ended = true
	c, s := p.checker, p.server
	c.mu.Lock()
	defer c.mu.Unlock()
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.proofs--; p.kept {
		s.kept--
	}
	if s.proofs == 0 {
		s.endLocked()
		if s.idleTimer != nil {
			s.idleTimer.Stop()
		}
		s.idleTimer = time.AfterFunc(s.idleTimeLocked(), func() { c.closeIdle(s) })
	}
}

// closeIdle closes the connections of a server, and forgets it, unless a proof has begun meanwhile.
func (c *Checker) closeIdle(s *server) {
	c.mu.Lock()
	defer c.mu.Unlock()
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.proofs > 0 {
		return
	}
	for _, conn := range s.conns {
		_ = conn.Close() // no request is in progress on it
	}
	s.conns = nil
	if c.servers[s.endpoint] == s {
		delete(c.servers, s.endpoint)
	}
}
