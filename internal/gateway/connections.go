package gateway

import (
	"context"
	"io"
	"log/slog"
	"math"
	"math/rand/v2"
	"net"
	"net/http"
	"runtime"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/filbertrill/filbertrill/internal/forward"
	"github.com/filbertrill/filbertrill/internal/result"
)

const (
	// connectionBytes is what a caller's connection with a request takes: buffers, two
	// goroutines, a body. make measure-path gave 77 KB for an open stream of the product's own
	// interface; not measured here.
	connectionBytes = 77 << 10
	// connectionMemory is the part of the process's memory for callers' connections.
	connectionMemory = 0.4
	// connectionDescriptors is the part of the descriptors for them; servers need the rest.
	connectionDescriptors = 0.5
	// crowdedShare is the part of the limit from which refusals close their connections:
	// callers that open a new one for each request would fill the rest with idle ones.
	crowdedShare = 0.25
	// maxAcceptWait is the time that an accepted connection may wait for its turn. It is
	// longer than the pauses of a daemon that keeps up (strainLeave), and short against
	// objectives of some hundred milliseconds.
	maxAcceptWait = 100 * time.Millisecond
	// maxHeadWait is the wait of the first connection in the queue from which further ones are
	// turned away as they come: they would wait longer, and those that wait in vain are
	// answered late and at a higher cost.
	maxHeadWait = maxAcceptWait / 2
	// maxWaiting bounds the connections that wait: a core that spends 0.4 ms on each takes as
	// many within maxAcceptWait.
	maxWaiting = 256
	// unreadRetry is the mean time after which a caller comes back that was refused unread: a
	// flood lasts for seconds, and callers with time left may find another daemon.
	unreadRetry = 800 * time.Millisecond
	// lingerFor is how long a connection that was refused unread stays open, so that the
	// caller can read the answer: closing it with unread bytes would reset it.
	lingerFor = 250 * time.Millisecond
	// maxLingering bounds the descriptors that they take: of 4,100 the daemon needs half for
	// callers and the rest for servers.
	maxLingering = 512
	// acceptPause is the wait after a connection that could not be accepted: until some of the
	// lingering ones are closed.
	acceptPause = 20 * time.Millisecond
	// lingerTick is the time between two looks at such connections.
	lingerTick = 100 * time.Millisecond
)

// connections takes, counts and bounds the connections of callers. A daemon that accepts
// more than it can hold is ended for its memory, and one that works on everything at once
// answers everybody too late. Connections beyond what it can serve are refused without
// reading a byte of them.
type connections struct {
	limit   int
	refusal func() []byte // the whole answer for a connection that is refused unread
	counted func()        // called for each of these
	logger  *slog.Logger

	open    atomic.Int64 // served
	refused atomic.Int64 // unread, since the last log line

	mu        sync.Mutex
	lingering []lingering
}

type lingering struct {
	conn  io.Closer
	until time.Time
}

// connectionLimit returns how many connections a process with the limits holds. 0 stands for
// a limit that is not known.
func connectionLimit(memoryBytes int64, descriptors int) int {
	limit := math.MaxInt32
	if memoryBytes > 0 {
		limit = int(connectionMemory * float64(memoryBytes) / connectionBytes)
	}
	if descriptors > 0 {
		limit = min(limit, int(connectionDescriptors*float64(descriptors)))
	}
	return max(limit, 1)
}

// listen binds the address for callers. Keep-alive probes are off: idle connections have a
// time-out, and setting the probes up costs four system calls a connection.
func (c *connections) listen(address string) (net.Listener, error) {
	config := net.ListenConfig{KeepAlive: -1}
	listener, err := config.Listen(context.Background(), "tcp", address)
	if err != nil {
		return nil, errors.Wrap(err, "listen for callers")
	}
	return c.order(listener), nil
}

// order returns a listener that lets the connections of another one wait for a short time.
func (c *connections) order(listener net.Listener) net.Listener {
	l := &orderlyListener{
		Listener: listener,
		owner:    c,
		turn:     make(chan struct{}, 1),
		failed:   make(chan error, 1),
		closed:   make(chan struct{}),
	}
	if sc, ok := listener.(syscall.Conn); ok {
		l.raw, _ = sc.SyscallConn() // without it, connections are turned away by the usual way
	}
	go l.pump()
	go c.sweep(l.closed)
	return l
}

// orderlyListener lets connections wait for a short time only.
type orderlyListener struct {
	net.Listener
	raw    syscall.RawConn
	owner  *connections
	turn   chan struct{} // a connection may wait
	failed chan error
	closed chan struct{}
	once   sync.Once

	mu      sync.Mutex
	waiting []waitingConn // by arrival
}

type waitingConn struct {
	net.Conn
	since time.Time
}

// pump empties the kernel's queue, in which connections would wait for their turn unseen.
func (l *orderlyListener) pump() {
	for {
		if l.full(time.Now()) && l.turnAway() {
			continue
		}
		conn, err := l.Listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			l.failed <- err
			return
		}
		if err != nil { // no descriptor is left, or the caller was faster
			l.owner.logger.Warn("Connection not accepted.", "error", err)
			time.Sleep(acceptPause)
			continue
		}
		if now := time.Now(); l.full(now) {
			l.owner.refuse(conn)
		} else {
			l.push(waitingConn{conn, now})
		}
	}
}

// full reports whether a connection that comes now would wait in vain.
func (l *orderlyListener) full(now time.Time) bool {
	if l.owner.open.Load() >= int64(l.owner.limit) {
		return true
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.waiting) >= maxWaiting || len(l.waiting) > 0 && now.Sub(l.waiting[0].since) > maxHeadWait
}

// turnAway accepts and refuses the next connection, and reports whether there was one. The
// connection is never known to the runtime's poller, which takes most of what it would cost
// (BenchmarkUnreadRefusal).
func (l *orderlyListener) turnAway() bool {
	if l.raw == nil {
		return false
	}
	taken := false
	err := l.raw.Control(func(listener uintptr) {
		fd, _, err := syscall.Accept4(int(listener), syscall.SOCK_NONBLOCK|syscall.SOCK_CLOEXEC)
		if err != nil {
			return // none is waiting, or an error that the next Accept returns
		}
		taken = true
		l.owner.refuseRaw(rawConn(fd))
	})
	return taken && err == nil
}

func (l *orderlyListener) push(w waitingConn) {
	l.mu.Lock()
	l.waiting = append(l.waiting, w)
	l.mu.Unlock()
	select {
	case l.turn <- struct{}{}:
	default:
	}
}

func (l *orderlyListener) pop() (w waitingConn, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.waiting) == 0 {
		return waitingConn{}, false
	}
	w = l.waiting[0]
	l.waiting[0] = waitingConn{}
	l.waiting = l.waiting[1:]
	return w, true
}

// Accept returns the next connection to serve. Goroutines that are ready go first: a daemon
// that gets too little processor time finishes what it has begun.
func (l *orderlyListener) Accept() (net.Conn, error) {
	for {
		runtime.Gosched()
		w, ok := l.pop()
		if !ok {
			select {
			case <-l.turn:
			case err := <-l.failed:
				l.failed <- err // for further calls
				return nil, err
			}
			continue
		}
		if time.Since(w.since) <= maxAcceptWait && l.owner.take() {
			return w.Conn, nil
		}
		l.owner.refuse(w.Conn)
	}
}

// Close ends the sweep, too.
func (l *orderlyListener) Close() error {
	l.once.Do(func() { close(l.closed) })
	return l.Listener.Close()
}

// take counts a connection to serve, and reports false when there are as many as the daemon
// can hold.
func (c *connections) take() bool {
	if c.open.Add(1) <= int64(c.limit) {
		return true
	}
	c.open.Add(-1)
	return false
}

// track fits http.Server.ConnState of the server with the listener.
func (c *connections) track(_ net.Conn, state http.ConnState) {
	if state == http.StateClosed || state == http.StateHijacked {
		c.open.Add(-1)
	}
}

// crowded reports whether idle connections should be given up.
func (c *connections) crowded() bool {
	return float64(c.open.Load()) > crowdedShare*float64(c.limit)
}

// unreadRefusal returns the answer to callers that are refused unread. They are spread over
// the mean time, so that they do not come back together.
func unreadRefusal() []byte {
	return forward.UnreadRefusal(result.DaemonFull, time.Duration((0.5+rand.Float64())*float64(unreadRetry)))
}

// refuse answers a connection without reading from it.
func (c *connections) refuse(conn net.Conn) {
	c.refused.Add(1)
	c.counted()
	_, err := conn.Write(c.refusal())
	if half, ok := conn.(interface{ CloseWrite() error }); ok && err == nil {
		err = half.CloseWrite()
	}
	c.linger(conn, err)
}

// refuseRaw is refuse for a connection that the runtime does not know.
func (c *connections) refuseRaw(conn rawConn) {
	c.refused.Add(1)
	c.counted()
	// The buffer of a new connection takes the whole answer.
	_, err := syscall.Write(int(conn), c.refusal())
	if err == nil {
		err = syscall.Shutdown(int(conn), syscall.SHUT_WR)
	}
	c.linger(conn, err)
}

// rawConn is the descriptor of a connection.
type rawConn int

// Close closes the descriptor.
func (c rawConn) Close() error { return syscall.Close(int(c)) }

// linger keeps a connection that was answered open for a while; one whose answer failed is
// closed.
func (c *connections) linger(conn io.Closer, err error) {
	if err != nil {
		_ = conn.Close() // the caller has left
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.lingering) >= maxLingering {
		_ = c.lingering[0].conn.Close() // it was answered, and has had the most time of all
		c.lingering = append(c.lingering[:0], c.lingering[1:]...)
	}
	c.lingering = append(c.lingering, lingering{conn, time.Now().Add(lingerFor)})
}

// sweep closes connections that have lingered, and logs how many were refused.
func (c *connections) sweep(stop <-chan struct{}) {
	ticks := 0
	for {
		select {
		case <-stop:
			c.closeUntil(time.Now().Add(lingerFor))
			return
		case now := <-time.After(lingerTick):
			c.closeUntil(now)
		}
		if ticks++; ticks%int(time.Second/lingerTick) == 0 {
			if n := c.refused.Swap(0); n > 0 {
				c.logger.Warn("Connections refused unread.", "connections", n, "open", c.open.Load(), "limit", c.limit)
			}
		}
	}
}

func (c *connections) closeUntil(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	n := 0
	for n < len(c.lingering) && !c.lingering[n].until.After(now) {
		_ = c.lingering[n].conn.Close() // it has been answered
		n++
	}
	c.lingering = append(c.lingering[:0], c.lingering[n:]...)
}
