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
	// acceptPause is the wait after a connection that could not be accepted: until some of the
	// lingering ones are closed.
	acceptRetryDelay = 20 * time.Millisecond
	// headWait is the time after which a connection whose request has not arrived counts as one
	// of an unknown account: a round trip to callers, and a delay of the network. headPoll is the
	// pause between two looks.
	headTimeout      = 10 * time.Millisecond
	headPollInterval = time.Millisecond
	// headBytes is as much of a request as is looked at for its account: heads of the users'
	// callers have a few hundred bytes.
	maxHeadPeekBytes = 2 << 10
)

// listen binds the address for callers. Keep-alive probes are off: idle connections have a
// time-out, and setting the probes up costs four system calls a connection.
func (c *connLimiter) listen(address string) (net.Listener, error) {
	config := net.ListenConfig{KeepAlive: -1}
	listener, err := config.Listen(context.Background(), "tcp", address)
	if err != nil {
		return nil, errors.Wrap(err, "listen for callers")
	}
	return c.wrap(listener), nil
}

// order returns a listener that lets the connections of another one wait for a short time.
func (c *connLimiter) wrap(listener net.Listener) net.Listener {
	l := &fairListener{
		Listener:     listener,
		limiter:      c,
		queueChanged: make(chan struct{}, 1),
		acceptErr:    make(chan error, 1),
		closed:       make(chan struct{}),
		queue:        newFairQueue[inspectedConn](),
		headBuffer:   make([]byte, maxHeadPeekBytes),
	}
	if sc, ok := listener.(syscall.Conn); ok {
		l.raw, _ = sc.SyscallConn() // without it, all connections go the usual way
	}
	go l.acceptLoop()
	go c.runLingerSweeper(l.closed)
	return l
}

// orderlyListener lets connections wait for a short time only. Once connections wait, it
// accepts them without the runtime's poller and looks at their accounts.
type fairListener struct {
	net.Listener
	raw          syscall.RawConn
	limiter      *connLimiter
	queueChanged chan struct{} // a connection may wait
	acceptErr    chan error
	closed       chan struct{}
	closeOnce    sync.Once
	headBuffer   []byte                     // of the pump
	pending      []queuedConn[incomingConn] // of the pump: connections whose request has not arrived

	mu    sync.Mutex
	queue *fairQueue[inspectedConn]
}

// pump empties the kernel's queue, in which connections would wait for their turn unseen.
func (l *fairListener) acceptLoop() {
	for {
		if l.backlogged() {
			l.acceptPending()
		}
		l.enqueuePending(time.Now())
		if len(l.pending) > 0 {
			time.Sleep(headPollInterval)
			continue
		}
		conn, err := l.Listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			l.acceptErr <- err
			return
		}
		if err != nil { // no descriptor is left, or the caller was faster
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

// classify places the connections whose requests have arrived, and those that have waited for
// it for too long.
func (l *fairListener) enqueuePending(now time.Time) {
	stillPending := l.pending[:0]
	for _, w := range l.pending {
		head := w.conn.peek(l.headBuffer)
		if len(head) == 0 && now.Sub(w.queuedAt) < headTimeout {
			stillPending = append(stillPending, w)
			continue
		}
		account, tokens := l.limiter.inspect(head)
		l.enqueue(inspectedConn{w.conn, account, tokens})
	}
	l.pending = stillPending
}

// pressed reports whether connections that come now are looked at before they wait.
func (l *fairListener) backlogged() bool {
	if l.limiter.open.Load() >= int64(l.limiter.limit) {
		return true
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.queue.backlogged(time.Now())
}

// acceptFresh accepts the connections that are there.
func (l *fairListener) acceptPending() {
	for len(l.pending) < maxQueued {
		conn, ok := l.acceptNonblocking()
		if !ok {
			return
		}
		l.pending = append(l.pending, queuedConn[incomingConn]{conn, time.Now()})
	}
}

// acceptRaw returns the next connection, if there is one.
func (l *fairListener) acceptNonblocking() (conn fdConn, ok bool) {
	if l.raw == nil {
		return 0, false
	}
	err := l.raw.Control(func(listener uintptr) {
		fd, _, err := syscall.Accept4(int(listener), syscall.SOCK_NONBLOCK|syscall.SOCK_CLOEXEC)
		// None is waiting, or an error that the next Accept returns.
		conn, ok = fdConn(fd), err == nil
	})
	return conn, ok && err == nil
}

// place lets a caller wait, and refuses the one that has to go for it.
func (l *fairListener) enqueue(w inspectedConn) {
	if l.limiter.open.Load() >= int64(l.limiter.limit) {
		l.limiter.refuse(w)
		return
	}
	l.mu.Lock()
	refused, mustRefuse := l.queue.push(w.account, w, time.Now())
	l.mu.Unlock()
	if mustRefuse {
		l.limiter.refuse(refused)
	}
	select {
	case l.queueChanged <- struct{}{}:
	default:
	}
}

// Accept returns the next connection to serve. Goroutines that are ready go first: a daemon
// that gets too little processor time finishes what it has begun.
func (l *fairListener) Accept() (net.Conn, error) {
	for {
		runtime.Gosched()
		l.mu.Lock()
		w, ok := l.queue.pop()
		l.mu.Unlock()
		if !ok {
			select {
			case <-l.queueChanged:
			case err := <-l.acceptErr:
				l.acceptErr <- err // for further calls
				return nil, err
			}
			continue
		}
		if time.Since(w.queuedAt) > maxQueueTime || !l.limiter.acquire() {
			l.limiter.refuse(w.conn)
			continue
		}
		conn, err := w.conn.netConn()
		if err != nil {
			l.limiter.open.Add(-1)
			l.limiter.logger.Warn("Connection not accepted.", "error", err)
			continue
		}
		return conn, nil
	}
}

// Close ends the sweep, too.
func (l *fairListener) Close() error {
	l.closeOnce.Do(func() { close(l.closed) })
	return l.Listener.Close()
}
