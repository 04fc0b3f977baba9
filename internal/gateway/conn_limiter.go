package gateway

import (
	"io"
	"log/slog"
	"math"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/filbertrill/filbertrill/internal/forward"
	"github.com/filbertrill/filbertrill/internal/result"
)

const (
	// bytesPerConnection is the memory of a caller's connection with a request: buffers, two
	// goroutines and a body. An open stream of the product's own API takes 77 KB.
	bytesPerConnection = 77 << 10
	// connectionMemoryShare is the fraction of the memory limit for callers' connections.
	connectionMemoryShare = 0.4
	// connectionDescriptorShare is the fraction of the file descriptors for callers'
	// connections. Connections to servers need the rest.
	connectionDescriptorShare = 0.5
	// nearLimitShare is the fraction of the limit above which refusals close their
	// connections. Otherwise callers that open a new connection for each request would use up
	// the limit with idle ones.
	nearLimitShare = 0.25
	// maxQueueTime is how long an accepted connection may wait before it is served. It is
	// longer than the scheduling lag of a daemon that keeps up (overloadExitLag), and short
	// compared to latency objectives of some hundred milliseconds.
	maxQueueTime = 100 * time.Millisecond
	// unreadRetryAfter is the mean Retry-After of answers to callers that are refused unread.
	// A flood lasts for seconds, and callers with time left may find another daemon.
	unreadRetryAfter = 800 * time.Millisecond
	// lingerTimeout is how long a connection that was refused unread stays open. Closing it
	// with unread bytes would reset it, and the caller could lose the answer.
	lingerTimeout = 250 * time.Millisecond
	// maxLingeringConns bounds the file descriptors of lingering connections. Of a limit of
	// 4,100 descriptors, callers need half and servers the rest.
	maxLingeringConns = 512
	// lingerSweepInterval is the time between two checks for expired lingering connections.
	lingerSweepInterval = 100 * time.Millisecond
)

// connLimiter counts and limits the connections of callers. Without a limit, a flood would get
// the daemon killed for exceeding its memory limit, or make it answer all callers too late.
// Connections beyond the limit are refused unread: the daemon at most peeks at the request to
// find its account, and never reads it from the socket.
type connLimiter struct {
	limit int
	// refusalResponse returns the whole answer, head and body, for a connection that is
	// refused unread.
	refusalResponse func() []byte
	// onRefused is called for each connection that is refused unread.
	onRefused func(account string, tokens float64)
	// inspect returns the account and the number of requested tokens of a request, from its
	// first bytes.
	inspect func(head []byte) (account string, tokens float64)
	logger  *slog.Logger

	open atomic.Int64 // connections being served

	mu        sync.Mutex
	lingering []lingeringConn
	refused   map[string]int // connections refused unread since the last log line, by account
}

// lingeringConn is a connection that was refused unread and is closed at closeAt.
type lingeringConn struct {
	conn    io.Closer
	closeAt time.Time
}

// connectionLimit returns how many callers' connections a process with the given limits can
// hold. A limit of 0 is unknown and ignored.
func connectionLimit(memoryLimitBytes int64, fileDescriptorLimit int) int {
	limit := math.MaxInt32
	if memoryLimitBytes > 0 {
		limit = int(connectionMemoryShare * float64(memoryLimitBytes) / bytesPerConnection)
	}
	if fileDescriptorLimit > 0 {
		limit = min(limit, int(connectionDescriptorShare*float64(fileDescriptorLimit)))
	}
	return max(limit, 1)
}

// acquire counts a connection to be served. It returns false, and does not count it, if the
// limit is reached.
func (c *connLimiter) acquire() bool {
	if c.open.Add(1) <= int64(c.limit) {
		return true
	}
	c.open.Add(-1)
	return false
}

// connStateChanged stops counting closed connections. It is the http.Server.ConnState hook of
// the server that serves the limiter's listener.
func (c *connLimiter) connStateChanged(_ net.Conn, state http.ConnState) {
	if state == http.StateClosed || state == http.StateHijacked {
		c.open.Add(-1)
	}
}

// nearLimit reports whether so many connections are open that refusals should close theirs.
func (c *connLimiter) nearLimit() bool {
	return float64(c.open.Load()) > nearLimitShare*float64(c.limit)
}

// unreadRefusalResponses are the answers to callers that are refused unread. Their
// Retry-After times are spread from 0.5 to 1.5 times the mean, so that callers do not retry
// at the same time.
var unreadRefusalResponses = func() (answers [64][]byte) {
	for i := range answers {
		spread := 0.5 + float64(i)/float64(len(answers))
		answers[i] = forward.RefusalResponse(result.DaemonFull, time.Duration(spread*float64(unreadRetryAfter)))
	}
	return answers
}()

// randomUnreadRefusal returns one of unreadRefusalResponses, chosen at random.
func randomUnreadRefusal() []byte {
	return unreadRefusalResponses[rand.IntN(len(unreadRefusalResponses))]
}

// refuse answers a connection without reading from it, and keeps it open for lingerTimeout.
func (c *connLimiter) refuse(conn inspectedConn) {
	c.onRefused(conn.account, conn.requestedTokens)
	// The answer contains Connection: close, so no shutdown call is needed. Every system call
	// saved here leaves processor time for requests that are served.
	_, err := conn.Write(c.refusalResponse())
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.refused == nil {
		c.refused = make(map[string]int)
	}
	c.refused[conn.account]++
	if err != nil {
		_ = conn.Close() // the caller has closed it
		return
	}
	if len(c.lingering) >= maxLingeringConns {
		_ = c.lingering[0].conn.Close() // the oldest: its caller had the most time to read the answer
		c.lingering = append(c.lingering[:0], c.lingering[1:]...)
	}
	c.lingering = append(c.lingering, lingeringConn{conn, time.Now().Add(lingerTimeout)})
}

// runLingerSweeper closes lingering connections that have expired, and logs once a second how
// many were refused, until stop is closed.
func (c *connLimiter) runLingerSweeper(stop <-chan struct{}) {
	sweeps := 0
	for {
		select {
		case <-stop:
			c.closeLingering(time.Now().Add(lingerTimeout))
			return
		case now := <-time.After(lingerSweepInterval):
			c.closeLingering(now)
		}
		if sweeps++; sweeps%int(time.Second/lingerSweepInterval) == 0 {
			c.logRefused()
		}
	}
}

// logRefused logs the number of connections refused since its last call, by account. The
// account "" stands for requests that had not arrived or name no known account.
func (c *connLimiter) logRefused() {
	c.mu.Lock()
	refused := c.refused
	c.refused = nil
	c.mu.Unlock()
	total := 0
	for _, n := range refused {
		total += n
	}
	if total > 0 {
		c.logger.Warn("Connections refused without reading their requests.", "connections", total, "accounts", refused,
			"open", c.open.Load(), "limit", c.limit)
	}
}

// closeLingering closes the lingering connections whose closeAt is not after now.
func (c *connLimiter) closeLingering(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	n := 0
	for n < len(c.lingering) && !c.lingering[n].closeAt.After(now) {
		_ = c.lingering[n].conn.Close() // it was answered
		n++
	}
	c.lingering = append(c.lingering[:0], c.lingering[n:]...)
}
