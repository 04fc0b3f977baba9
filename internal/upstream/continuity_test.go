package upstream

import (
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/filbertrill/filbertrill/test/rawserver"
)

// continuityLog records the calls of a pool, without their times.
type continuityLog struct {
	mu    sync.Mutex
	calls []string
}

func (l *continuityLog) add(call string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.calls = append(l.calls, call)
}

func (l *continuityLog) Interrupted(Endpoint, time.Time) { l.add("interrupted") }
func (l *continuityLog) Refused(Endpoint, time.Time)     { l.add("refused") }

func (l *continuityLog) become(t *testing.T, calls ...string) {
	t.Helper()
	assert.Eventually(t, func() bool {
		l.mu.Lock()
		defer l.mu.Unlock()
		return assert.ObjectsAreEqual(calls, l.calls)
	}, 5*time.Second, time.Millisecond, "%v", calls)
}

// stay checks that there are no calls.
func (l *continuityLog) stay(t *testing.T) {
	t.Helper()
	time.Sleep(4 * continuityTimeout)
	l.become(t)
}

// Guards against a process that is taken for the one before: the pool must tell when it may have changed, and no more than that. Only an answer
// on a connection from before shows that it has not.
func TestPoolTellsWhenProcessMayHaveEnded(t *testing.T) {
	const slow = 4 * continuityTimeout
	setup := func(t *testing.T, serve func(*net.TCPConn, *http.Request) bool) (*Pool, *continuityLog, *rawserver.Process, Endpoint) {
		pool, log, server := NewPool(), &continuityLog{}, rawserver.StartProcess(t, "", serve)
		pool.SetContinuity(log)
		return pool, log, server, Endpoint{Address: server.Address, ID: "s", Incarnation: 1}
	}
	answer := func(conn *net.TCPConn, r *http.Request) bool {
		switch r.URL.Path {
		case "/close":
			return false
		case "/slow":
			time.Sleep(slow)
		}
		_, err := io.WriteString(conn, "HTTP/1.1 200 OK\r\nKeep-Alive: timeout=60\r\nContent-Length: 0\r\n\r\n")
		return err == nil
	}
	get := func(t *testing.T, p *Pool, e Endpoint) *Conn {
		c, err := p.Get(t.Context(), e, 0)
		require.NoError(t, err)
		return c
	}
	send := func(t *testing.T, c *Conn, path string) error {
		_, err := c.Send([]byte("GET "+path+" HTTP/1.1\r\nHost: a\r\n\r\n"), nil)
		require.NoError(t, err)
		_, err = c.Receive(http.MethodGet)
		return err
	}
	// The second connection has brought an answer to a request that was sent when the first one was open, which is idle.
	getTwo := func(t *testing.T, p *Pool, e Endpoint) *Conn {
		older, c := get(t, p, e), get(t, p, e)
		require.NoError(t, send(t, c, "/"))
		p.Put(e, older)
		return c
	}
	end := func(t *testing.T, c *Conn) {
		require.Error(t, send(t, c, "/close"))
	}

	t.Run("one connection closed, another one answers", func(t *testing.T) {
		pool, log, _, e := setup(t, answer)
		c := getTwo(t, pool, e)
		end(t, c)
		pool.RecordBroken(c)
		log.stay(t)
		assert.True(t, get(t, pool, e).Reused(), "the connection that was asked is kept")
	})
	t.Run("the only connection closed", func(t *testing.T) {
		pool, log, _, e := setup(t, answer)
		c := get(t, pool, e)
		end(t, c)
		pool.RecordBroken(c)
		log.become(t, "interrupted")
		pool.Put(e, c)
		require.Eventually(t, func() bool { return pool.takeOlder(e, time.Now()) != nil }, 5*time.Second, time.Millisecond, "a connection for the next request")
	})
	t.Run("the other one was opened behind the last sign of the process", func(t *testing.T) {
		pool, log, _, e := setup(t, answer)
		c := get(t, pool, e)
		require.NoError(t, send(t, c, "/"))
		pool.Put(e, get(t, pool, e))
		end(t, c)
		pool.RecordBroken(c)
		log.become(t, "interrupted")
	})
	t.Run("the other one answers too late", func(t *testing.T) {
		pool, log, _, e := setup(t, answer)
		older, c := get(t, pool, e), get(t, pool, e)
		older.SetQuestion(Question{http.MethodGet, []byte("GET /slow HTTP/1.1\r\nHost: a\r\n\r\n"), func(*http.Response) error { return nil }})
		pool.Put(e, older)
		require.NoError(t, send(t, c, "/"))
		end(t, c)
		pool.RecordBroken(c)
		log.become(t, "interrupted")
	})
	t.Run("process ended, another one answers at once", func(t *testing.T) {
		pool, log, server, e := setup(t, answer)
		c := getTwo(t, pool, e)
		server.Kill()
		rawserver.StartProcess(t, e.Address, answer)
		_, _ = c.Send([]byte("GET / HTTP/1.1\r\nHost: a\r\n\r\n"), nil)
		_, err := c.Receive(http.MethodGet)
		require.Error(t, err)
		pool.RecordBroken(c)
		log.become(t, "interrupted")
	})
	t.Run("process ended, the end of another connection is held up", func(t *testing.T) {
		held := make(chan struct{})
		defer close(held)
		pool, log, _, e := setup(t, func(conn *net.TCPConn, r *http.Request) bool {
			if r.Method == http.MethodOptions { // as behind a cut: neither an answer nor an end
				<-held
				return false
			}
			return answer(conn, r)
		})
		c := getTwo(t, pool, e)
		end(t, c)
		pool.RecordBroken(c)
		log.become(t, "interrupted")
	})
	t.Run("a peer was refused", func(t *testing.T) {
		pool, log, server, e := setup(t, answer)
		c := getTwo(t, pool, e)
		pool.Doubt(e, time.Now(), time.Now())
		log.stay(t)
		server.Kill()
		rawserver.StartProcess(t, e.Address, answer)
		pool.Doubt(e, time.Now(), time.Now())
		log.become(t, "interrupted")
		pool.Put(e, c)
	})
	t.Run("process ended, refuses", func(t *testing.T) {
		pool, log, server, e := setup(t, answer)
		c := get(t, pool, e)
		server.Kill()
		pool.RecordBroken(c)
		log.become(t, "interrupted", "refused")
	})
	t.Run("idle connection closed early, all others too", func(t *testing.T) {
		pool, log, server, e := setup(t, answer)
		pool.Put(e, getTwo(t, pool, e))
		server.Kill()
		rawserver.StartProcess(t, e.Address, answer)
		_ = get(t, pool, e)
		log.become(t, "interrupted")
	})
	t.Run("idle connection closed early, an older one answers", func(t *testing.T) {
		pool, log, _, e := setup(t, func(conn *net.TCPConn, r *http.Request) bool {
			return answer(conn, r) && r.URL.Path != "/"
		})
		older, c := get(t, pool, e), get(t, pool, e)
		require.NoError(t, send(t, c, "/"))
		pool.Put(e, older)
		pool.Put(e, c)
		time.Sleep(10 * time.Millisecond)
		_ = get(t, pool, e)
		log.stay(t)
	})
	t.Run("idle connection closed at its timeout", func(t *testing.T) {
		pool, log, server, e := setup(t, answer)
		pool.Put(e, get(t, pool, e))
		server.Kill()
		rawserver.StartProcess(t, e.Address, answer)
		time.Sleep(10 * time.Millisecond)
		_ = get(t, pool, e)
		log.stay(t)
	})
	t.Run("a peer was refused, told many times", func(t *testing.T) {
		var questions atomic.Int64
		pool, log, _, e := setup(t, func(conn *net.TCPConn, r *http.Request) bool {
			if r.Method == http.MethodOptions {
				questions.Add(1)
			}
			return answer(conn, r)
		})
		pool.Put(e, getTwo(t, pool, e))
		for at := time.Now(); time.Since(at) < 4*continuityTimeout; time.Sleep(time.Millisecond) {
			pool.Doubt(e, at, at)
		}
		log.stay(t)
		assert.LessOrEqual(t, questions.Load(), int64(2))
	})
	t.Run("many connections closed at once", func(t *testing.T) {
		pool, log, server, e := setup(t, answer)
		conns := make([]*Conn, 20)
		for i := range conns {
			conns[i] = get(t, pool, e)
		}
		server.Kill()
		next := rawserver.StartProcess(t, e.Address, answer)
		for _, c := range conns {
			_, err := c.Read(make([]byte, 1))
			require.Error(t, err)
			pool.RecordBroken(c)
		}
		assert.Eventually(t, func() bool { return next.Connections() > 0 }, 5*time.Second, time.Millisecond)
		log.mu.Lock()
		assert.Contains(t, log.calls, "interrupted")
		log.mu.Unlock()
		assert.LessOrEqual(t, next.Connections(), 2, "connections for the next request")
	})
	t.Run("several doubts at once", func(t *testing.T) {
		pool, log, server, e := setup(t, answer)
		pool.Put(e, getTwo(t, pool, e))
		server.Kill()
		var doubts sync.WaitGroup
		for range 20 {
			doubts.Go(func() { pool.Doubt(e, time.Now(), time.Now()) })
		}
		doubts.Wait()
		require.Eventually(t, func() bool {
			pool.mu.Lock()
			defer pool.mu.Unlock()
			return len(pool.endpoints) == 0
		}, 5*time.Second, time.Millisecond, "nothing is left of the endpoint")
		assert.Contains(t, log.calls, "interrupted")
	})
}
