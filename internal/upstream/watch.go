package upstream

import (
	"os"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/filbertrill/filbertrill/internal/socket"
)

// longAgo is a deadline that has passed.
var longAgo = time.Unix(1, 0)

// Watch interrupts the reads and writes of a connection without closing it. The goroutine that reads or writes then calls the function
// of the Watch, and goes on where it was if that returns nil.
type Watch struct {
	conn   *Conn
	handle func() (next time.Time, err error)

	mu      sync.Mutex
	woken   bool // since the last call of handle
	stopped bool
}

// Watch starts to watch the connection. handle is called by the goroutine that reads or writes, at the time that WakeAt sets and after
// WakeNow. It returns the time of its next call, zero for none. Its errors are those of the read or write.
func (c *Conn) Watch(handle func() (next time.Time, err error)) *Watch {
	w := &Watch{conn: c, handle: handle}
	c.watch = w
	return w
}

// WakeAt sets the time of the next call.
func (w *Watch) WakeAt(t time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.stopped && !w.woken {
		_ = w.conn.SetDeadline(t) // fails on closed connections only
	}
}

// WakeNow makes the goroutine that reads or writes call the function at once. Any goroutine may call it.
func (w *Watch) WakeNow() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.stopped {
		w.woken = true
		_ = w.conn.SetDeadline(longAgo)
	}
}

// Stop ends the watch. Reads and writes wait without a limit again.
func (w *Watch) Stop() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.stopped {
		return
	}
	w.stopped = true
	w.conn.watch = nil
	_ = w.conn.SetDeadline(time.Time{})
}

// resume returns whether the read or write that ended with err goes on, and the error if it does not.
func (w *Watch) resume(err error) (bool, error) {
	if w == nil || !errors.Is(err, os.ErrDeadlineExceeded) {
		return false, err
	}
	w.mu.Lock()
	w.woken = false
	w.mu.Unlock()
	next, err := w.handle()
	if err != nil {
		return false, err
	}
	w.WakeAt(next)
	return true, nil
}

// HasArrived reports whether data of the server, or the end of the connection, has arrived and was not read yet.
func (c *Conn) HasArrived() bool {
	if c.reader.Buffered() > 0 {
		return true
	}
	state, err := c.Peek()
	return err == nil && state != socket.Idle
}
