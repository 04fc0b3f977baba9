package upstream

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	// dialTimeout bounds the opening of a connection. A lost opening packet is sent again
	// after a second; an address without a machine never answers.
	dialTimeout = 1200 * time.Millisecond
	// defaultIdle is how long an unused connection is kept when the server names no time.
	defaultIdleTimeout = 4 * time.Second
	// idleMargin is taken off the time that a server names, for a request on its way.
	idleTimeoutMargin = 700 * time.Millisecond
	// maxIdle bounds the connections kept for one server.
	maxIdlePerEndpoint = 64
)

// ErrTooManyConnections is returned when the connections to a server are at their limit.
var ErrTooManyConnections = errors.New("connections to the server are at their limit")

const (
	// fleetShare is the part of a server's connections that the fleet uses; the rest is for
	// those that daemons have closed and the server not yet.
	fleetShare = 0.85
	// spareShare is the part of the unused connections that one daemon may take beyond its
	// equal share: views are late, and four daemons may reach for them at once.
	spareShare = 0.25
)

// ConnectionLimit returns how many connections a daemon may open to a server that takes at most limit
// connections, where the fleet runs so many requests. 0 stands for no limit. Equal shares
// alone are useless in large fleets: 390 daemons would have one connection each.
func ConnectionLimit(serverLimit, daemons, runningRequests int) int {
	if serverLimit <= 0 {
		return 0
	}
	usable := fleetShare * float64(serverLimit)
	equalShare := usable / float64(max(1, daemons))
	return max(1, int(max(equalShare, spareShare*(usable-float64(runningRequests)))))
}

// Pool keeps the connections to backend servers, by address and identity. Its methods
// are safe for concurrent use.
type Pool struct {
	dialer    net.Dialer
	mu        sync.Mutex
	endpoints map[Endpoint]*endpointConns
}

// Endpoint is one start of a backend server at an address.
type Endpoint struct {
	Address     string
	ID          string
	Incarnation int64
}

type endpointConns struct {
	open int
	idle []*Conn // oldest use first
}

// NewPool returns an empty pool.
func NewPool() *Pool {
	return &Pool{
		dialer:    net.Dialer{Timeout: dialTimeout, KeepAlive: 2 * time.Second},
		endpoints: make(map[Endpoint]*endpointConns),
	}
}

// Get returns a connection: the one used last of those kept, or a new one. A limit of 0
// stands for none.
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
	netConn, err := p.dialer.DialContext(ctx, "tcp", e.Address)
	if err == nil {
		var c *Conn
		if c, err = newConn(netConn); err == nil {
			return c, nil
		}
		_ = netConn.Close()
	}
	p.connClosed(e)
	return nil, errors.Wrap(err, "connect")
}

// Put takes a connection back after a request. It closes one that was spoilt.
func (p *Pool) Put(e Endpoint, c *Conn) {
	if c.reuseDisabled || c.reader.Buffered() > 0 {
		p.closeConn(e, c)
		return
	}
	c.lastUsed, c.reused = time.Now(), true
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

// Prune closes the unused connections to servers that the function does not name, and
// those unused for too long.
func (p *Pool) Prune(keep func(Endpoint) bool, now time.Time) {
	var closing []*Conn
	p.mu.Lock()
	for e, conns := range p.endpoints {
		kept := conns.idle[:0]
		for _, c := range conns.idle {
			if keep(e) && !c.idleExpired(now) {
				kept = append(kept, c)
				continue
			}
			closing = append(closing, c)
			conns.open--
		}
		conns.idle = kept
		if conns.open <= 0 {
			delete(p.endpoints, e)
		}
	}
	p.mu.Unlock()
	for _, c := range closing {
		_ = c.Close() // nothing is under way on it
	}
}

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
		p.closeConn(e, c)
	}
}

func (c *Conn) idleExpired(now time.Time) bool {
	timeout := defaultIdleTimeout
	if c.idleTimeout > 0 {
		timeout = max(c.idleTimeout-idleTimeoutMargin, c.idleTimeout/2)
	}
	return now.Sub(c.lastUsed) > timeout
}

// host returns the entry of the endpoint. The caller holds the lock.
func (p *Pool) connsOf(e Endpoint) *endpointConns {
	conns, ok := p.endpoints[e]
	if !ok {
		conns = &endpointConns{}
		p.endpoints[e] = conns
	}
	return conns
}

func (p *Pool) closeConn(e Endpoint, c *Conn) {
	_ = c.Close() // nothing is under way on it
	p.connClosed(e)
}

func (p *Pool) connClosed(e Endpoint) {
	p.mu.Lock()
	defer p.mu.Unlock()
	conns, ok := p.endpoints[e]
	if !ok {
		return
	}
	conns.open--
	if conns.open <= 0 && len(conns.idle) == 0 {
		delete(p.endpoints, e)
	}
}
