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
	acceptPause = 20 * time.Millisecond
	// headWait is the time after which a connection whose request has not arrived counts as one
	// of an unknown account: a round trip to callers, and a delay of the network. headPoll is the
	// pause between two looks.
	headWait = 10 * time.Millisecond
	headPoll = time.Millisecond
	// headBytes is as much of a request as is looked at for its account: heads of the users'
	// callers have a few hundred bytes.
	headBytes = 2 << 10
)

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
		turns:    newTurns[waitingCaller](),
		head:     make([]byte, headBytes),
	}
	if sc, ok := listener.(syscall.Conn); ok {
		l.raw, _ = sc.SyscallConn() // without it, all connections go the usual way
	}
	go l.pump()
	go c.sweep(l.closed)
	return l
}

// orderlyListener lets connections wait for a short time only. Once connections wait, it
// accepts them without the runtime's poller and looks at their accounts.
type orderlyListener struct {
	net.Listener
	raw    syscall.RawConn
	owner  *connections
	turn   chan struct{} // a connection may wait
	failed chan error
	closed chan struct{}
	once   sync.Once
	head   []byte                  // of the pump
	fresh  []arrival[incomingConn] // of the pump: connections whose request has not arrived

	mu    sync.Mutex
	turns *turns[waitingCaller]
}

// pump empties the kernel's queue, in which connections would wait for their turn unseen.
func (l *orderlyListener) pump() {
	for {
		if l.pressed() {
			l.acceptFresh()
		}
		l.classify(time.Now())
		if len(l.fresh) > 0 {
			time.Sleep(headPoll)
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
		if l.pressed() {
			l.fresh = append(l.fresh, arrival[incomingConn]{runtimeConn{conn}, time.Now()})
		} else {
			l.place(waitingCaller{incomingConn: runtimeConn{conn}})
		}
	}
}

// classify places the connections whose requests have arrived, and those that have waited for
// it for too long.
func (l *orderlyListener) classify(now time.Time) {
	kept := l.fresh[:0]
	for _, w := range l.fresh {
		head := w.conn.peek(l.head)
		if len(head) == 0 && now.Sub(w.since) < headWait {
			kept = append(kept, w)
			continue
		}
		account, tokens := l.owner.look(head)
		l.place(waitingCaller{w.conn, account, tokens})
	}
	l.fresh = kept
}

// pressed reports whether connections that come now are looked at before they wait.
func (l *orderlyListener) pressed() bool {
	if l.owner.open.Load() >= int64(l.owner.limit) {
		return true
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.turns.pressed(time.Now())
}

// acceptFresh accepts the connections that are there.
func (l *orderlyListener) acceptFresh() {
	for len(l.fresh) < maxWaiting {
		conn, ok := l.acceptRaw()
		if !ok {
			return
		}
		l.fresh = append(l.fresh, arrival[incomingConn]{conn, time.Now()})
	}
}

// acceptRaw returns the next connection, if there is one.
func (l *orderlyListener) acceptRaw() (conn rawConn, ok bool) {
	if l.raw == nil {
		return 0, false
	}
	err := l.raw.Control(func(listener uintptr) {
		fd, _, err := syscall.Accept4(int(listener), syscall.SOCK_NONBLOCK|syscall.SOCK_CLOEXEC)
		// None is waiting, or an error that the next Accept returns.
		conn, ok = rawConn(fd), err == nil
	})
	return conn, ok && err == nil
}

// place lets a caller wait, and refuses the one that has to go for it.
func (l *orderlyListener) place(w waitingCaller) {
	if l.owner.open.Load() >= int64(l.owner.limit) {
		l.owner.refuse(w)
		return
	}
	l.mu.Lock()
	refused, full := l.turns.push(w.account, w, time.Now())
	l.mu.Unlock()
	if full {
		l.owner.refuse(refused)
	}
	select {
	case l.turn <- struct{}{}:
	default:
	}
}

// Accept returns the next connection to serve. Goroutines that are ready go first: a daemon
// that gets too little processor time finishes what it has begun.
func (l *orderlyListener) Accept() (net.Conn, error) {
	for {
		runtime.Gosched()
		l.mu.Lock()
		w, ok := l.turns.pop()
		l.mu.Unlock()
		if !ok {
			select {
			case <-l.turn:
			case err := <-l.failed:
				l.failed <- err // for further calls
				return nil, err
			}
			continue
		}
		if time.Since(w.since) > maxAcceptWait || !l.owner.take() {
			l.owner.refuse(w.conn)
			continue
		}
		conn, err := w.conn.known()
		if err != nil {
			l.owner.open.Add(-1)
			l.owner.logger.Warn("Connection not accepted.", "error", err)
			continue
		}
		return conn, nil
	}
}

// Close ends the sweep, too.
func (l *orderlyListener) Close() error {
	l.once.Do(func() { close(l.closed) })
	return l.Listener.Close()
}
