package gateway

import (
	"context"
	"net"
	"runtime"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	// acceptRetryDelay is the delay after a failed accept. If file descriptors ran out, closed
	// lingering connections free some.
	acceptRetryDelay = 20 * time.Millisecond
	// inspectTimeout is the time after which a connection whose request has not arrived is queued
	// without an account. It covers a round trip to callers and some network delay.
	inspectTimeout = 10 * time.Millisecond
	// inspectPollInterval is the time between two checks for requests that have arrived.
	inspectPollInterval = time.Millisecond
	// maxInspectedBytes bounds the part of a request that is inspected for its account. Request
	// heads usually have a few hundred bytes.
	maxInspectedBytes = 2 << 10
)

// listen binds the address for callers. TCP keep-alive is off: idle connections have a
// timeout anyway, and enabling it takes four system calls per connection.
func (c *connLimiter) listen(address string) (net.Listener, error) {
	config := net.ListenConfig{KeepAlive: -1}
	listener, err := config.Listen(context.Background(), "tcp", address)
	if err != nil {
		return nil, errors.Wrap(err, "listen for callers")
	}
	return c.wrap(listener), nil
}

// wrap returns a fairListener for the connections of another listener, and starts its
// goroutines.
func (c *connLimiter) wrap(listener net.Listener) net.Listener {
	l := &fairListener{
		Listener:     listener,
		limiter:      c,
		queueChanged: make(chan struct{}, 1),
		acceptErr:    make(chan error, 1),
		closed:       make(chan struct{}),
		queue:        newFairQueue[inspectedConn](),
		peekBuffer:   make([]byte, maxInspectedBytes),
	}
	if sc, ok := listener.(syscall.Conn); ok {
		l.rawListener, _ = sc.SyscallConn() // without it, all connections are accepted by net.Listener
	}
	go l.acceptLoop()
	go c.runLingerSweeper(l.closed)
	return l
}

// fairListener queues connections by account and refuses those that wait longer than
// maxQueueTime. While there is a backlog, it accepts connections without registering them
// with the runtime's poller, and inspects their requests for the account.
type fairListener struct {
	net.Listener
	rawListener  syscall.RawConn
	limiter      *connLimiter
	queueChanged chan struct{} // receives a value after a connection was queued
	acceptErr    chan error
	closed       chan struct{}
	closeOnce    sync.Once
	peekBuffer   []byte // used by acceptLoop only
	// pending holds connections that were not inspected yet. Only acceptLoop uses it.
	pending []queuedConn[incomingConn]

	mu    sync.Mutex
	queue *fairQueue[inspectedConn]
}

// acceptLoop moves connections from the kernel's accept queue, where their waiting time is
// not known, to the listener's own queue.
func (l *fairListener) acceptLoop() {
	for {
		if l.backlogged() {
			l.acceptPending()
		}
		l.enqueuePending(time.Now())
		if len(l.pending) > 0 {
			time.Sleep(inspectPollInterval)
			continue
		}
		conn, err := l.Listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			l.acceptErr <- err
			return
		}
		if err != nil { // out of file descriptors, or the caller has closed the connection
			l.limiter.logger.Warn("Connection not accepted.", "error", err)
			time.Sleep(acceptRetryDelay)
			continue
		}
		if l.backlogged() {
			l.pending = append(l.pending, queuedConn[incomingConn]{standardConn{conn}, time.Now()})
		} else {
			l.enqueue(inspectedConn{incomingConn: standardConn{conn}})
		}
	}
}

// enqueuePending inspects and queues the pending connections whose requests have arrived, and
// queues those whose requests did not arrive within inspectTimeout.
func (l *fairListener) enqueuePending(now time.Time) {
	stillPending := l.pending[:0]
	for _, queued := range l.pending {
		head := queued.conn.peek(l.peekBuffer)
		if len(head) == 0 && now.Sub(queued.queuedAt) < inspectTimeout {
			stillPending = append(stillPending, queued)
			continue
		}
		account, tokens := l.limiter.inspect(head)
		l.enqueue(inspectedConn{queued.conn, account, tokens})
	}
	l.pending = stillPending
}

// backlogged reports whether new connections have to be inspected before they are queued.
func (l *fairListener) backlogged() bool {
	if l.limiter.open.Load() >= int64(l.limiter.limit) {
		return true
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.queue.backlogged(time.Now())
}

// acceptPending accepts the connections in the kernel's queue, until maxQueued are pending.
func (l *fairListener) acceptPending() {
	for len(l.pending) < maxQueued {
		conn, ok := l.acceptNonblocking()
		if !ok {
			return
		}
		l.pending = append(l.pending, queuedConn[incomingConn]{conn, time.Now()})
	}
}

// acceptNonblocking accepts the next connection. ok is false if there is none.
func (l *fairListener) acceptNonblocking() (conn fdConn, ok bool) {
	if l.rawListener == nil {
		return 0, false
	}
	err := l.rawListener.Control(func(listener uintptr) {
		fd, _, err := syscall.Accept4(int(listener), syscall.SOCK_NONBLOCK|syscall.SOCK_CLOEXEC)
		// EAGAIN if there is no connection; other errors are returned by the next Accept.
		conn, ok = fdConn(fd), err == nil
	})
	return conn, ok && err == nil
}

// enqueue queues a connection, and refuses it or another one if the limit of open or queued
// connections is reached.
func (l *fairListener) enqueue(conn inspectedConn) {
	if l.limiter.open.Load() >= int64(l.limiter.limit) {
		l.limiter.refuse(conn)
		return
	}
	l.mu.Lock()
	refused, mustRefuse := l.queue.push(conn.account, conn, time.Now())
	l.mu.Unlock()
	if mustRefuse {
		l.limiter.refuse(refused)
	}
	select {
	case l.queueChanged <- struct{}{}:
	default:
	}
}

// Accept implements net.Listener. It returns the next connection to serve and refuses those
// that waited too long. Runnable goroutines run first, so that an overloaded daemon finishes
// active requests before it accepts new ones.
func (l *fairListener) Accept() (net.Conn, error) {
	for {
		runtime.Gosched()
		l.mu.Lock()
		queued, ok := l.queue.pop()
		l.mu.Unlock()
		if !ok {
			select {
			case <-l.queueChanged:
			case err := <-l.acceptErr:
				l.acceptErr <- err // for later calls
				return nil, err
			}
			continue
		}
		if time.Since(queued.queuedAt) > maxQueueTime || !l.limiter.acquire() {
			l.limiter.refuse(queued.conn)
			continue
		}
		conn, err := queued.conn.netConn()
		if err != nil {
			l.limiter.open.Add(-1)
			l.limiter.logger.Warn("Connection not accepted.", "error", err)
			continue
		}
		return conn, nil
	}
}

// Close implements net.Listener. It also stops the sweep of lingering connections.
func (l *fairListener) Close() error {
	l.closeOnce.Do(func() { close(l.closed) })
	return l.Listener.Close()
}
