// Package upstream pools HTTP/1.1 connections to backend servers. Unlike net/http's
// Transport it never retries a request by itself, reports whether any byte of a request
// was written, and never reuses a connection with unread bytes, which could be mistaken for
// the next answer.
package upstream

import (
	"bufio"
	"context"
	"io"
	"math"
	"net"
	"net/http"
	"os"
	"strings"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/filbertrill/filbertrill/internal/http1"
	"github.com/filbertrill/filbertrill/internal/socket"
)

const (
	// readBufferSize is the size in bytes of a connection's read buffer. It is large enough
	// for several events that arrive together.
	readBufferSize = 4 << 10
	// maxHeadBytes is the size of the largest head of an answer that is read, readBufferSize more or less. A head of short
	// fields takes 16 times as much when it is decoded, for as long as the answer is in progress.
	maxHeadBytes = 16 << 10
	// tcpUserTimeoutMillis bounds how long sent bytes may stay unacknowledged. Without it,
	// connections to a host that lost power hang for minutes.
	tcpUserTimeoutMillis = 3000
	// sockoptTCPUserTimeout is Linux's TCP_USER_TIMEOUT, which package syscall lacks.
	sockoptTCPUserTimeout = 0x12
)

// ErrHeadTooLong is returned by Conn.Receive when the head of an answer is longer than 16 KiB.
var ErrHeadTooLong = errors.New("head of the answer is too long")

// Conn is a connection to one backend server. It serves one request at a time.
type Conn struct {
	*http1.Conn
	endpoint      Endpoint
	heads         headReader        // of the connection
	limited       *io.LimitedReader // of heads, limits them
	reader        *bufio.Reader     // of limited
	openedAt      time.Time
	sentAt        time.Time // of the last request, or the dialling; behind that time the process has accepted it
	aliveAt       time.Time // see AliveAt
	question      Question  // for the server
	sentBytes     atomic.Int64
	long          bool    // the body of the request in progress is
	upload        *upload // of the request in progress; nil if all of it was written before its answer
	received      countingReader
	lastUsed      time.Time     // end of the last request
	idleTimeout   time.Duration // from the server's Keep-Alive header; 0 if it sent none
	reused        bool
	reuseDisabled bool
	watch         *Watch // of the request in progress; nil for none
}

func newConn(netConn net.Conn) (*Conn, error) {
	conn, err := http1.NewConn(netConn)
	if err != nil {
		return nil, err
	}
	if err := setUserTimeout(conn, tcpUserTimeoutMillis); err != nil {
		return nil, err
	}
	c := &Conn{Conn: conn, openedAt: time.Now()}
	c.received.reader = watchedReader{c}
	c.heads.reader = &c.received
	c.limited = &io.LimitedReader{R: &c.heads, N: math.MaxInt64}
	c.reader = bufio.NewReaderSize(c.limited, readBufferSize)
	return c, nil
}

// Dial opens a connection that belongs to no pool. Other than those of a pool it is not closed because sent bytes stay unacknowledged for
// seconds. Its errors are those of the network.
func Dial(ctx context.Context, address string) (*Conn, error) {
	netConn, err := newDialer().DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, errors.Wrap(err, "connect")
	}
	c, err := newConn(netConn)
	if err == nil {
		err = setUserTimeout(c.Conn, 0)
	}
	if err != nil {
		_ = netConn.Close()
		return nil, err
	}
	return c, nil
}

// setUserTimeout sets TCP_USER_TIMEOUT, 0 for none. It returns an error if the connection was closed.
func setUserTimeout(conn *http1.Conn, millis int) error {
	err := conn.Raw().Control(func(fd uintptr) {
		// The error is ignored: without the option the connection works, but failures are
		// detected later.
		_ = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, sockoptTCPUserTimeout, millis)
	})
	return errors.Wrap(err, "set TCP_USER_TIMEOUT")
}

// watchedReader reads from the connection. It goes on after interruptions of its Watch.
type watchedReader struct{ conn *Conn }

// Read implements io.Reader.
func (r watchedReader) Read(p []byte) (int, error) {
	for {
		n, err := r.conn.Conn.Read(p)
		if n > 0 || err == nil {
			return n, err
		}
		goOn, err := r.conn.watch.resume(err)
		if !goOn {
			return 0, err
		}
	}
}

// countingReader counts the bytes that are read through it.
type countingReader struct {
	reader io.Reader
	bytes  int64
}

// Read implements io.Reader.
func (r *countingReader) Read(p []byte) (int, error) {
	n, err := r.reader.Read(p)
	r.bytes += int64(n)
	return n, err
}

// Traffic returns the bytes of all requests and answers on the connection so far.
func (c *Conn) Traffic() (sent, received int64) { return c.sentBytes.Load(), c.received.bytes }

// Endpoint returns the server that the connection leads to.
func (c *Conn) Endpoint() Endpoint { return c.endpoint }

// SetQuestion sets the request by which the server shows that it runs; Ping by default. It must be set before the connection is used.
func (c *Conn) SetQuestion(q Question) { c.question = q }

// DisableReuse makes Pool.Put close the connection instead of keeping it.
func (c *Conn) DisableReuse() { c.reuseDisabled = true }

// Age returns the time since the connection was opened.
func (c *Conn) Age(now time.Time) time.Duration { return now.Sub(c.openedAt) }

// IdleTimeout returns the idle time-out that the server has named in its last answer, 0 for none.
func (c *Conn) IdleTimeout() time.Duration { return c.idleTimeout }

// AliveAt returns the time behind which the process that has accepted the connection is known to have run: that at which its last answered request
// was sent, or at which the connection was dialled.
func (c *Conn) AliveAt() time.Time { return c.aliveAt }

// Reused reports whether the connection was used for an earlier request.
func (c *Conn) Reused() bool { return c.reused }

// healthy reports whether the connection is open and has no unread bytes. Unread bytes on
// an idle connection were not requested and would be mistaken for the next answer.
func (c *Conn) healthy() bool {
	if c.reader.Buffered() > 0 {
		return false
	}
	state, err := c.Peek()
	return err == nil && state == socket.Idle
}

// Ended reports whether the server has closed or reset the connection, and all that it has sent was read.
func (c *Conn) Ended() bool {
	state, err := c.Peek()
	return err != nil || state == socket.Closed
}

// Reusable reports whether another request can be sent behind an answer that was read to its end.
func (c *Conn) Reusable() bool { return !c.reuseDisabled && c.reader.Buffered() == 0 }

// Send writes the head and the body of a request. It reports whether at least one byte
// was written, also when it returns an error. If data of the server arrives before a long body is written, Send returns, and the rest is written
// while the answer is read: the server may read it behind its answer, or never.
func (c *Conn) Send(head, body []byte) (sent bool, err error) {
	c.sentAt = time.Now()
	buffers := net.Buffers{head}
	if len(body) > 0 {
		buffers = append(buffers, body)
	}
	answered := func() bool { return false }
	if c.long = len(body) > minInterruptedBytes; c.long {
		var stop func()
		answered, stop = c.interruptOnArrival()
		defer stop()
	}
	for {
		n, err := c.WriteBuffers(&buffers)
		c.sentBytes.Add(n)
		sent = sent || n > 0
		goOn := false
		switch {
		case sent && errors.Is(err, os.ErrDeadlineExceeded) && answered():
			c.continueUpload(buffers)
			return true, nil
		case err != nil:
			goOn, err = c.watch.resume(err)
		}
		if !goOn {
			return sent, errors.Wrap(err, "send request")
		}
	}
}

// Receive reads the head of the final answer to a request with the given method. It skips informational responses (RFC 9110,
// section 15.2). The caller reads the body from the returned answer. It returns ErrHeadTooLong if all heads together have no
// end, and an error marked http1.ErrInvalidHead for a head that is not that of an answer. After an error, or if the server closes the connection after this answer,
// the connection is not reused.
func (c *Conn) Receive(method string) (*http.Response, error) {
	c.limited.N = maxHeadBytes
	response, err := c.receiveFinal(method)
	tooLong := c.limited.N <= 0
	c.limited.N = math.MaxInt64
	c.heads.inHead = false
	if err != nil {
		c.reuseDisabled = true
		if tooLong { // the error is the end of the limited reader
			return nil, ErrHeadTooLong
		}
		return nil, errors.Wrap(err, "read answer")
	}
	c.aliveAt = c.sentAt
	c.continueBuffered()
	if response.Close || !response.ProtoAtLeast(1, 1) || announcesBodyWithoutHaving(response) {
		c.reuseDisabled = true
	}
	c.idleTimeout = keepAliveTimeout(response.Header.Get("Keep-Alive"))
	return response, nil
}

// receiveFinal reads heads up to the first one that is not an informational response.
func (c *Conn) receiveFinal(method string) (*http.Response, error) {
	c.heads.method = method
	for {
		buffered, _ := c.reader.Peek(c.reader.Buffered()) // as many can be peeked
		if err := c.heads.begin(buffered); err != nil {
			return nil, err
		}
		response, err := http.ReadResponse(c.reader, &http.Request{Method: method})
		if err != nil {
			return nil, err
		}
		if response.StatusCode >= http.StatusOK {
			return response, nil
		}
	}
}

// announcesBodyWithoutHaving reports whether the head of an answer that has no body by its status announces one. What follows is then
// not known.
func announcesBodyWithoutHaving(response *http.Response) bool {
	status, length := response.StatusCode, response.Header.Get("Content-Length")
	return status == http.StatusNoContent && (length != "" && length != "0" || len(response.TransferEncoding) > 0)
}

// keepAliveTimeout returns the timeout parameter of a Keep-Alive header, 0 if there is none.
func keepAliveTimeout(header string) time.Duration {
	for field := range strings.SplitSeq(header, ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(field), "=")
		if !strings.EqualFold(name, "timeout") {
			continue
		}
		d, err := time.ParseDuration(value + "s")
		if err == nil {
			return d
		}
	}
	return 0
}
