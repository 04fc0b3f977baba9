package upstream

import (
	"context"
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	// dialTimeout allows for one retransmission of a lost SYN, which happens after 1 s. It is
	// not longer because an address without a host never answers.
	dialTimeout = 1200 * time.Millisecond
	// defaultIdleTimeout applies to connections whose server sent no Keep-Alive timeout.
	defaultIdleTimeout = 4 * time.Second
	// idleTimeoutMargin is subtracted from the server's Keep-Alive timeout, so that the
	// server does not close a connection while a request is in transit.
	idleTimeoutMargin = 700 * time.Millisecond
	// maxIdlePerEndpoint bounds the idle connections to one endpoint.
	maxIdlePerEndpoint = 64
)

// ErrTooManyConnections is returned by Pool.Get when the open connections to an endpoint
// have reached the limit.
var ErrTooManyConnections = errors.New("connection limit of the server reached")

const (
	// fleetShare is the fraction of a server's connection limit that the fleet uses. The rest
	// is reserved for connections that a daemon has closed but the server still counts.
	fleetShare = 0.85
	// spareShare is the fraction of the fleet's unused connections that one daemon may take.
	// Daemons see each other's load with a delay, so four of them may do so at once.
	spareShare = 0.25
)

// ConnectionLimit returns how many connections a daemon may open to a server that accepts
// serverLimit connections and on which the fleet has runningRequests in flight. 0 means no
// limit, for serverLimit and the result. The result is the larger of an equal share and a
// fraction of the unused connections: with equal shares only, each of 390 daemons would
// get a single connection.
func ConnectionLimit(serverLimit, daemons, runningRequests int) int {
	if serverLimit <= 0 {
		return 0
	}
	usable := fleetShare * float64(serverLimit)
	equalShare := usable / float64(max(1, daemons))
	return max(1, int(max(equalShare, spareShare*(usable-float64(runningRequests)))))
}

// Pool keeps open connections to backend servers, by endpoint. Its methods are safe for
// concurrent use.
type Pool struct {
	dialer     *net.Dialer
	continuity Continuity // may be nil
	mu         sync.Mutex
	endpoints  map[Endpoint]*endpointConns
}

// Endpoint is one incarnation of a backend server at an address. Connections are not shared
// between incarnations.
type Endpoint struct {
	Address     string
	ID          string
	Incarnation int64
}

type endpointConns struct {
	open        int     // idle, in use or being dialled
	idle        []*Conn // least recently used first
	established map[*Conn]struct{}
	doubt       *doubt    // further ones while one is being resolved, nil if none is
	shown       lifeSpan  // the last one that a question has shown
	redialedAt  time.Time // see mayRedial
}

// NewPool returns an empty pool.
func NewPool() *Pool {
	return &Pool{
		dialer:    newDialer(),
		endpoints: make(map[Endpoint]*endpointConns),
	}
}

func newDialer() *net.Dialer { return &net.Dialer{Timeout: dialTimeout, KeepAlive: 2 * time.Second} }

// Get returns the most recently used idle connection to the endpoint or dials a new one.
// It returns ErrTooManyConnections if limit connections are open already; a limit of 0
// means no limit.
func (p *Pool) Get(ctx context.Context, e Endpoint, limit int) (*Conn, error) {
	if c := p.takeIdle(e, time.Now()); c != nil {
		return c, nil
	}
	p.mu.Lock()
	conns := p.connsOf(e)
	if limit > 0 && conns.open >= limit {
		p.mu.Unlock()
		return nil, ErrTooManyConnections
	}
	conns.open++
	p.mu.Unlock()
	return p.dial(ctx, e)
}

// dial opens a connection that is counted already, and stops counting it if that fails.
func (p *Pool) dial(ctx context.Context, e Endpoint) (*Conn, error) {
	dialedAt := time.Now()
	netConn, err := p.dialer.DialContext(ctx, "tcp", e.Address)
	if err == nil {
		var c *Conn
		if c, err = newConn(netConn); err == nil {
			c.endpoint, c.sentAt, c.aliveAt, c.question = e, dialedAt, dialedAt, Ping(e.Address)
			p.mu.Lock()
			p.connsOf(e).established[c] = struct{}{}
			p.mu.Unlock()
			return c, nil
		}
		_ = netConn.Close()
	}
	if ctx.Err() == nil {
		p.recordDialFailure(e, err)
	}
	p.connClosed(e)
	return nil, errors.Wrap(err, "connect")
}

// Probe sends the question on a new connection to the endpoint, and returns an error unless it is answered. An answer proves that a process lives,
// other than an open connection: the kernel of a busy machine accepts connections to a killed process for long. Two resets in a row are
// those of a server at its connection limit: a listener that was closed refuses the second connection. The context must have a deadline. Probe
// keeps the connection for the next request.
func (p *Pool) Probe(ctx context.Context, e Endpoint, q Question) error {
	for reset := false; ; reset = true {
		err := p.probe(ctx, e, q)
		if !errors.Is(err, syscall.ECONNRESET) {
			return err
		}
		if reset {
			return nil
		}
	}
}

// probe is Probe on one connection.
func (p *Pool) probe(ctx context.Context, e Endpoint, q Question) error {
	c, err := p.dialBeyondLimit(ctx, e)
	if err != nil {
		return err
	}
	c.question = q
	return p.ask(ctx, e, c)
}

// ask sends the question of a connection that no request uses, and returns the connection to the pool. It returns an error unless the
// question is answered before the context ends.
func (p *Pool) ask(ctx context.Context, e Endpoint, c *Conn) error {
	stop := context.AfterFunc(ctx, func() { _ = c.SetDeadline(time.Now()) }) // fails on closed connections only
	keep, err := c.Ask(c.question)
	if !stop() || !keep {
		c.DisableReuse()
	}
	p.Put(e, c)
	return err
}

// dialBeyondLimit opens a connection, whatever the limit of the endpoint is.
func (p *Pool) dialBeyondLimit(ctx context.Context, e Endpoint) (*Conn, error) {
	p.mu.Lock()
	p.connsOf(e).open++
	p.mu.Unlock()
	return p.dial(ctx, e)
}

// Put returns a connection to the pool after a request. It closes the connection if reuse
// is disabled, if it has unread bytes or if the endpoint has enough idle connections.
func (p *Pool) Put(e Endpoint, c *Conn) {
	if c.upload != nil && !c.upload.finishBy.IsZero() {
		go p.finishUpload(e, c)
		return
	}
	if !c.endUpload() || c.reuseDisabled || c.reader.Buffered() > 0 {
		p.closeConn(e, c)
		return
	}
	c.lastUsed, c.reused = time.Now(), c.sentBytes.Load() > 0
	p.mu.Lock()
	conns, known := p.endpoints[e]
	discard := !known || len(conns.idle) >= maxIdlePerEndpoint
	if !discard {
		conns.idle = append(conns.idle, c)
	}
	p.mu.Unlock()
	if discard {
		p.closeConn(e, c)
	}
}

// Prune closes the idle connections to endpoints for which keep returns false, and those
// whose idle timeout has expired.
func (p *Pool) Prune(keep func(Endpoint) bool, now time.Time) {
	var toClose []*Conn
	p.mu.Lock()
	for e, conns := range p.endpoints {
		kept := conns.idle[:0]
		for _, c := range conns.idle {
			if keep(e) && !c.idleExpired(now) {
				kept = append(kept, c)
				continue
			}
			toClose = append(toClose, c)
			delete(conns.established, c)
			conns.open--
		}
		conns.idle = kept
		if conns.open <= 0 {
			delete(p.endpoints, e)
		}
	}
	p.mu.Unlock()
	for _, c := range toClose {
		_ = c.Close() // no request is in flight on it
	}
}

// takeIdle removes and returns an idle connection that is still usable, nil if there is
// none. It closes the unusable ones that it finds.
func (p *Pool) takeIdle(e Endpoint, now time.Time) *Conn {
	for {
		p.mu.Lock()
		conns := p.connsOf(e)
		n := len(conns.idle)
		if n == 0 {
			p.mu.Unlock()
			return nil
		}
		c := conns.idle[n-1]
		conns.idle = conns.idle[:n-1]
		p.mu.Unlock()
		if !c.idleExpired(now) && c.healthy() {
			return c
		}
		if c.closedEarly(now) {
			p.broken(c, false)
		}
		p.closeConn(e, c)
	}
}

// idleExpired reports whether the server may close the idle connection at any moment.
func (c *Conn) idleExpired(now time.Time) bool {
	return now.Sub(c.lastUsed) > c.IdleTime(defaultIdleTimeout)
}

// IdleTime returns the time for which the connection can be idle: less than the server's time-out, or unnamed if it names none.
func (c *Conn) IdleTime(unnamed time.Duration) time.Duration {
	if c.idleTimeout <= 0 {
		return unnamed
	}
	return max(c.idleTimeout-idleTimeoutMargin, c.idleTimeout/2)
}

// connsOf returns the connections of the endpoint, and adds the endpoint if it is new. The
// caller holds the lock.
func (p *Pool) connsOf(e Endpoint) *endpointConns {
	conns, ok := p.endpoints[e]
	if !ok {
		conns = &endpointConns{established: make(map[*Conn]struct{})}
		p.endpoints[e] = conns
	}
	return conns
}

func (p *Pool) closeConn(e Endpoint, c *Conn) {
	_ = c.Close() // no request is in flight on it
	p.mu.Lock()
	if conns, ok := p.endpoints[e]; ok {
		delete(conns.established, c)
	}
	p.mu.Unlock()
	p.connClosed(e)
}

// connClosed stops counting a connection that was closed or could not be dialled.
func (p *Pool) connClosed(e Endpoint) {
	p.mu.Lock()
	defer p.mu.Unlock()
	conns, ok := p.endpoints[e]
	if !ok {
		return
	}
	conns.open--
	p.forgetUnusedLocked(e)
}
