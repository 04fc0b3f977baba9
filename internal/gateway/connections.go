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
	// unreadRetry is the mean time after which a caller comes back that was refused unread: a
	// flood lasts for seconds, and callers with time left may find another daemon.
	unreadRetry = 800 * time.Millisecond
	// lingerFor is how long a connection that was refused unread stays open, so that the
	// caller can read the answer: closing it with unread bytes would reset it.
	lingerFor = 250 * time.Millisecond
	// maxLingering bounds the descriptors that they take: of 4,100 the daemon needs half for
	// callers and the rest for servers.
	maxLingering = 512
	// lingerTick is the time between two looks at such connections.
	lingerTick = 100 * time.Millisecond
)

// connections takes, counts and bounds the connections of callers. A daemon that accepts
// more than it can hold is ended for its memory, and one that works on everything at once
// answers everybody too late. Connections beyond what it can serve are refused unread: their
// requests are looked at for the account at most, and nothing of them is taken.
type connections struct {
	limit   int
	refusal func() []byte                        // the whole answer for a connection that is refused unread
	counted func(account string, tokens float64) // called for each of these
	// look returns what the begin of a request says of itself: its account and the tokens that
	// it asks for.
	look   func(head []byte) (account string, tokens float64)
	logger *slog.Logger

	open atomic.Int64 // served

	mu        sync.Mutex
	lingering []lingering
	refused   map[string]int // unread ones since the last log line, by account
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

// unreadRefusals are the answers to callers that are refused unread. They are spread over the
// mean time, so that callers do not come back together.
var unreadRefusals = func() (answers [64][]byte) {
	for i := range answers {
		spread := 0.5 + float64(i)/float64(len(answers))
		answers[i] = forward.RefusalResponse(result.DaemonFull, time.Duration(spread*float64(unreadRetry)))
	}
	return answers
}()

// unreadRefusal returns one of them.
func unreadRefusal() []byte { return unreadRefusals[rand.IntN(len(unreadRefusals))] }

// refuse answers a connection without reading from it, and keeps it open for a while.
func (c *connections) refuse(w waitingCaller) {
	c.counted(w.account, w.tokens)
	// The answer says that it is the last one on the connection; each system call less is a
	// request more that is served.
	_, err := w.Write(c.refusal())
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.refused == nil {
		c.refused = make(map[string]int)
	}
	c.refused[w.account]++
	if err != nil {
		_ = w.Close() // the caller has left
		return
	}
	if len(c.lingering) >= maxLingering {
		_ = c.lingering[0].conn.Close() // it was answered, and has had the most time of all
		c.lingering = append(c.lingering[:0], c.lingering[1:]...)
	}
	c.lingering = append(c.lingering, lingering{w, time.Now().Add(lingerFor)})
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
			c.logRefused()
		}
	}
}

// logRefused writes one line for the connections refused since the last one. The account ""
// stands for those whose request had not arrived, or names no account.
func (c *connections) logRefused() {
	c.mu.Lock()
	refused := c.refused
	c.refused = nil
	c.mu.Unlock()
	total := 0
	for _, n := range refused {
		total += n
	}
	if total > 0 {
		c.logger.Warn("Connections refused unread.", "connections", total, "accounts", refused,
			"open", c.open.Load(), "limit", c.limit)
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
