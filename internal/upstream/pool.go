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
	defaultIdle = 4 * time.Second
	// idleMargin is taken off the time that a server names, for a request on its way.
	idleMargin = 700 * time.Millisecond
	// maxIdle bounds the connections kept for one server.
	maxIdle = 64
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
func ConnectionLimit(limit, daemons, running int) int {
	if limit <= 0 {
		return 0
	}
	all := fleetShare * float64(limit)
	equal := all / float64(max(1, daemons))
	return max(1, int(max(equal, spareShare*(all-float64(running)))))
}

// Pool keeps the connections to backend servers, by address and identity. Its methods
// are safe for concurrent use.
type Pool struct {
	dialer net.Dialer
	mu     sync.Mutex
	hosts  map[Endpoint]*host
}

// Endpoint is one start of a backend server at an address.
type Endpoint struct {
	Address     string
	ID          string
	Incarnation int64
}

type host struct {
	open int
	idle []*Conn // oldest use first
}

// NewPool returns an empty pool.
func NewPool() *Pool {
	return &Pool{
		dialer: net.Dialer{Timeout: dialTimeout, KeepAlive: 2 * time.Second},
		hosts:  make(map[Endpoint]*host),
	}
}

// Get returns a connection: the one used last of those kept, or a new one. A limit of 0
// stands for none.
func (p *Pool) Get(ctx context.Context, e Endpoint, limit int) (*Conn, error) {
	if c := p.reuse(e, time.Now()); c != nil {
		return c, nil
	}
	p.mu.Lock()
	h := p.host(e)
	if limit > 0 && h.open >= limit {
		p.mu.Unlock()
		return nil, ErrTooManyConnections
	}
	h.open++
	p.mu.Unlock()
	raw, err := p.dialer.DialContext(ctx, "tcp", e.Address)
	if err == nil {
		var c *Conn
		if c, err = newConn(raw); err == nil {
			return c, nil
		}
		_ = raw.Close()
	}
	p.closed(e)
	return nil, errors.Wrap(err, "connect")
}

// Put takes a connection back after a request. It closes one that was spoilt.
func (p *Pool) Put(e Endpoint, c *Conn) {
	if c.spoilt || c.reader.Buffered() > 0 {
		p.close(e, c)
		return
	}
	c.used, c.reused = time.Now(), true
	p.mu.Lock()
	h, known := p.hosts[e]
	full := !known || len(h.idle) >= maxIdle
	if !full {
		h.idle = append(h.idle, c)
	}
	p.mu.Unlock()
	if full {
		p.close(e, c)
	}
}

// Prune closes the unused connections to servers that the function does not name, and
// those unused for too long.
func (p *Pool) Prune(known func(Endpoint) bool, now time.Time) {
	var stale []*Conn
	p.mu.Lock()
	for e, h := range p.hosts {
		kept := h.idle[:0]
		for _, c := range h.idle {
			if known(e) && !c.expired(now) {
				kept = append(kept, c)
				continue
			}
			stale = append(stale, c)
			h.open--
		}
		h.idle = kept
		if h.open <= 0 {
			delete(p.hosts, e)
		}
	}
	p.mu.Unlock()
	for _, c := range stale {
		_ = c.Close() // nothing is under way on it
	}
}

func (p *Pool) reuse(e Endpoint, now time.Time) *Conn {
	for {
		p.mu.Lock()
		h := p.host(e)
		n := len(h.idle)
		if n == 0 {
			p.mu.Unlock()
			return nil
		}
		c := h.idle[n-1]
		h.idle = h.idle[:n-1]
		p.mu.Unlock()
		if !c.expired(now) && c.quiet() {
			return c
		}
		p.close(e, c)
	}
}

func (c *Conn) expired(now time.Time) bool {
	idle := defaultIdle
	if c.idle > 0 {
		idle = max(c.idle-idleMargin, c.idle/2)
	}
	return now.Sub(c.used) > idle
}

// host returns the entry of the endpoint. The caller holds the lock.
func (p *Pool) host(e Endpoint) *host {
	h, ok := p.hosts[e]
	if !ok {
		h = &host{}
		p.hosts[e] = h
	}
	return h
}

func (p *Pool) close(e Endpoint, c *Conn) {
	_ = c.Close() // nothing is under way on it
	p.closed(e)
}

func (p *Pool) closed(e Endpoint) {
	p.mu.Lock()
	defer p.mu.Unlock()
	h, ok := p.hosts[e]
	if !ok {
		return
	}
	h.open--
	if h.open <= 0 && len(h.idle) == 0 {
		delete(p.hosts, e)
	}
}
