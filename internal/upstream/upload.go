package upstream

import (
	"net"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/filbertrill/filbertrill/internal/socket"
)

const (
	// minInterruptedBytes is the size of the smallest body during which Send looks for an answer. Buffers of connections hold smaller ones.
	minInterruptedBytes = 64 << 10
	// arrivalInterval is the time between two looks.
	arrivalInterval = 10 * time.Millisecond
)

// upload is the rest of a request, which is written while its answer is read.
type upload struct {
	done chan struct{} // closed at its end
	err  error         // set before

	finishBy time.Time // see FinishUpload; zero if Put ends the upload
	ended    func()
}

// interruptOnArrival interrupts writes once data of the server has arrived. answered reports whether it has. stop ends that.
func (c *Conn) interruptOnArrival() (answered func() bool, stop func()) {
	var arrived atomic.Bool
	done := make(chan struct{})
	var looking sync.WaitGroup
	looking.Go(func() {
		ticker := time.NewTicker(arrivalInterval)
		defer ticker.Stop()
		for {
			select {
			case <-done:
				return
			case <-ticker.C:
			}
			state, err := c.Peek()
			if err != nil {
				return
			}
			if state == socket.Readable {
				arrived.Store(true)
				_ = c.SetWriteDeadline(longAgo) // at each look, as a Watch may set another one meanwhile
			}
		}
	})
	stop = func() {
		close(done)
		looking.Wait()
		if arrived.Load() {
			_ = c.SetWriteDeadline(time.Time{}) // fails on closed connections only
		}
	}
	return arrived.Load, stop
}

// continueUpload writes the buffers while the answer is read. A server that doesn't read them may go on with its answer for longer
// than tcpUserTimeoutMillis.
func (c *Conn) continueUpload(buffers net.Buffers) {
	u := &upload{done: make(chan struct{})}
	c.upload = u
	_ = setUserTimeout(c.Conn, 0) // fails on closed connections only
	go func() {
		defer close(u.done)
		for {
			n, err := c.WriteBuffers(&buffers)
			c.sentBytes.Add(n)
			if !errors.Is(err, os.ErrDeadlineExceeded) { // which interrupts the read of the answer
				if u.err = err; err == nil {
					u.err = c.awaitAcknowledged()
				}
				return
			}
			if u.err = c.SetWriteDeadline(time.Time{}); u.err != nil {
				return
			}
		}
	}()
}

// awaitAcknowledged waits until all that was written is acknowledged, and limits the time of that for what follows.
func (c *Conn) awaitAcknowledged() error {
	for {
		acknowledged, err := socket.Acknowledged(c.Raw())
		if err != nil {
			return err
		}
		if acknowledged {
			return setUserTimeout(c.Conn, tcpUserTimeoutMillis)
		}
		time.Sleep(arrivalInterval)
	}
}

// continueBuffered is continueUpload for a long request that buffers of the connection hold, and that its server has not read at its answer. The
// kernel would end the connection during a long answer, or during the next request.
func (c *Conn) continueBuffered() {
	if !c.long || c.upload != nil {
		return
	}
	if acknowledged, err := socket.Acknowledged(c.Raw()); err == nil && !acknowledged {
		c.continueUpload(nil)
	}
}

// Uploaded reports whether the request that was sent last was written to its end, if Send has returned no error. What was not written before its
// answer must be acknowledged, too.
func (c *Conn) Uploaded() bool {
	if c.upload == nil {
		return true
	}
	select {
	case <-c.upload.done:
		return c.upload.err == nil
	default:
		return false
	}
}

// FinishUpload makes Put leave an unfinished upload the time until then, as the server may read it behind its answer. Put returns at once. ended
// is called when the body of the request is not used any more. It must not block.
func (c *Conn) FinishUpload(by time.Time, ended func()) {
	if c.Uploaded() {
		ended()
		return
	}
	c.upload.finishBy, c.upload.ended = by, ended
}

// finishUpload waits for the end of the upload, and returns the connection to the pool.
func (p *Pool) finishUpload(e Endpoint, c *Conn) {
	u := c.upload
	timer := time.NewTimer(time.Until(u.finishBy))
	defer timer.Stop()
	select {
	case <-u.done:
	case <-timer.C:
	}
	u.finishBy = time.Time{}
	p.Put(e, c) // closes it if the upload has not ended
	<-u.done
	u.ended()
}

// endUpload ends the request, and returns false if the connection can't be used for another one.
func (c *Conn) endUpload() bool {
	if c.upload == nil {
		return true
	}
	_ = setUserTimeout(c.Conn, tcpUserTimeoutMillis) // fails on closed connections only
	if !c.Uploaded() {
		return false
	}
	c.upload = nil
	return c.SetWriteDeadline(time.Time{}) == nil
}
