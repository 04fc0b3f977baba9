package liveness

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/filbertrill/filbertrill/internal/upstream"
	"github.com/filbertrill/filbertrill/test/rawserver"
)

const (
	wholeAnswer  = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"
	closedAnswer = "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"
)

// answering returns a function that gives each request the answer.
func answering(answer string) func(*net.TCPConn, *http.Request) bool {
	return func(conn *net.TCPConn, _ *http.Request) bool {
		_, err := io.WriteString(conn, answer)
		return err == nil && answer != closedAnswer
	}
}

func begin(t *testing.T, c *Checker, address string) *Proof {
	t.Helper()
	p := c.Begin(t.Context(), upstream.Endpoint{Address: address}, func() upstream.Question { return upstream.Ping(address) })
	t.Cleanup(p.End)
	return p
}

func confirm(t *testing.T, p *Proof) error {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), 3*time.Second)
	defer cancel()
	_, err := p.Confirm(ctx)
	return err
}

// Guards against a process that answers at the address of one that was killed, and passes for it.
func TestNextProcessAtTheAddressConfirmsNothing(t *testing.T) {
	for name, refreshes := range map[string]time.Duration{ // that reach the next process; negative for a proof that is not kept
		"not kept": -1, "kept": 0, "kept, one refresh": 1, "kept, two refreshes": 2, "kept, four refreshes": 4,
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			first := rawserver.StartProcess(t, "", answering(wholeAnswer))
			checker := NewChecker()
			p := begin(t, checker, first.Address)
			if refreshes >= 0 {
				p.Keep()
				time.Sleep(2 * refreshInterval)
			}
			first.Kill()
			next := rawserver.StartProcess(t, first.Address, answering(wholeAnswer))
			time.Sleep(refreshes * refreshInterval)
			require.ErrorIs(t, confirm(t, p), ErrEnded)

			later := begin(t, checker, next.Address)
			require.NoError(t, confirm(t, later), "requests to the next process")
			require.Error(t, confirm(t, p), "the answer of the first process, behind one of the next")
		})
	}
}

// Guards against answers of a sound server that are cut because it is silent, or asked for many answers at once.
func TestProcessThatRunsOnConfirms(t *testing.T) {
	silent := make(chan struct{})
	server := rawserver.StartProcess(t, "", func(conn *net.TCPConn, _ *http.Request) bool {
		<-silent
		_, err := io.WriteString(conn, wholeAnswer)
		return err == nil
	})
	time.AfterFunc(time.Second, func() { close(silent) })
	checker := NewChecker()
	var ends sync.WaitGroup
	for range 20 {
		p := begin(t, checker, server.Address)
		ends.Go(func() {
			p.Keep()
			assert.NoError(t, confirm(t, p))
		})
	}
	ends.Wait()
	assert.LessOrEqual(t, server.Connections(), keptConns)
}

// Guards against answers that can't be confirmed because their server closes connections: idle ones, or each one behind an answer.
func TestConnectionsThatAreClosedAreReplacedInTime(t *testing.T) {
	for name, serve := range map[string]func(conn *net.TCPConn, r *http.Request) bool{
		"behind each answer": answering(closedAnswer),
		"idle for 1.5 s": func(conn *net.TCPConn, r *http.Request) bool {
			ok := answering(wholeAnswer)(conn, r)
			return ok && conn.SetReadDeadline(time.Now().Add(1500*time.Millisecond)) == nil
		},
		"idle for 2 s, named": func(conn *net.TCPConn, r *http.Request) bool {
			ok := answering("HTTP/1.1 200 OK\r\nKeep-Alive: timeout=2\r\nContent-Length: 0\r\n\r\n")(conn, r)
			return ok && conn.SetReadDeadline(time.Now().Add(2*time.Second)) == nil
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			server := rawserver.StartProcess(t, "", serve)
			checker := NewChecker()
			var ends sync.WaitGroup
			for i := range 8 {
				p := begin(t, checker, server.Address)
				ends.Go(func() {
					p.Keep()
					time.Sleep(time.Duration(i) * 800 * time.Millisecond)
					assert.NoError(t, confirm(t, p), "%d", i)
					p.End()
				})
			}
			ends.Wait()
		})
	}
}

// Guards against connections that stay open, or in memory, when nothing needs them.
func TestUnusedConnectionsAreClosed(t *testing.T) {
	server := rawserver.StartProcess(t, "", answering(wholeAnswer))
	checker := NewChecker()
	p := begin(t, checker, server.Address)
	p.Keep()
	require.NoError(t, confirm(t, p))
	p.End()
	require.NoError(t, confirm(t, begin(t, checker, server.Address)), "a connection that is kept is used again")
	assert.LessOrEqual(t, server.Connections(), keptConns)
	checker.mu.Lock()
	for _, s := range checker.servers { // the second proof
		s.mu.Lock()
		s.proofs--
		s.mu.Unlock()
		go checker.closeIdle(s)
	}
	checker.mu.Unlock()
	require.Eventually(t, func() bool {
		checker.mu.Lock()
		defer checker.mu.Unlock()
		return server.Connections() == 0 && len(checker.servers) == 0
	}, 5*time.Second, 10*time.Millisecond)
}

// Guards against a server that is silent for good and holds what waits for it.
func TestConfirmEndsWithItsContext(t *testing.T) {
	server := rawserver.StartProcess(t, "", func(*net.TCPConn, *http.Request) bool { select {} })
	p := begin(t, NewChecker(), server.Address)
	ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
	defer cancel()
	_, err := p.Confirm(ctx)
	require.ErrorIs(t, err, context.DeadlineExceeded)
	other := p.checker.Begin(t.Context(), upstream.Endpoint{Address: server.Address}, p.ask)
	p.End()
	other.End()
	require.Eventually(t, func() bool { return server.Connections() <= 1 }, 5*time.Second, 10*time.Millisecond)
}

// Guards against answers of servers at their connection limit: one connection beside that of the request is enough, and without one nothing is
// confirmed. A reset doesn't tell which process runs.
func TestServerAtItsConnectionLimit(t *testing.T) {
	for _, test := range []struct {
		accepts   int
		confirmed bool
	}{{1, true}, {0, false}} {
		var mu sync.Mutex
		accepted := 0
		server := rawserver.StartProcess(t, "", answering(wholeAnswer))
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		require.NoError(t, err)
		t.Cleanup(func() { _ = listener.Close() })
		go func() {
			for {
				conn, err := listener.Accept()
				if err != nil {
					return
				}
				mu.Lock()
				accepted++
				refused := accepted > test.accepts
				mu.Unlock()
				if refused {
					_ = conn.(*net.TCPConn).SetLinger(0) // fails on closed connections only
					_ = conn.Close()
					continue
				}
				to, err := net.Dial("tcp", server.Address)
				if err != nil {
					return
				}
				go func() { _, _ = io.Copy(to, conn) }()
				go func() { _, _ = io.Copy(conn, to) }()
			}
		}()
		checker := NewChecker()
		first, second := begin(t, checker, listener.Addr().String()), begin(t, checker, listener.Addr().String())
		first.Keep()
		second.Keep()
		for _, p := range []*Proof{first, second} {
			if err := confirm(t, p); test.confirmed {
				require.NoError(t, err)
			} else { // the reset may arrive before the request is sent, or later
				require.True(t, errors.IsAny(err, ErrEnded, ErrUnknown), "%v", err)
			}
		}
	}
}

// Guards against proofs for servers whose answers show their end, which would cost each of them a connection.
func TestFramingsAreKnownByTheFirstAnswer(t *testing.T) {
	var f Framings
	assert.True(t, f.MayEndWithConnection("a", "a1"), "unknown")
	f.Record("a", "a1", false)
	assert.False(t, f.MayEndWithConnection("a", "a1"))
	assert.True(t, f.MayEndWithConnection("a", "a2"), "unknown")
	f.Record("a", "a2", true)
	f.Record("a", "a2", false)
	assert.True(t, f.MayEndWithConnection("a", "a2"), "one answer was enough")
	assert.True(t, f.MayEndWithConnection("a", "a1"), "of the same service")
	for i := range 2 * maxFramings {
		f.Record(fmt.Sprint(i), fmt.Sprint(i), true)
	}
	assert.LessOrEqual(t, len(f.servers), maxFramings)
	assert.LessOrEqual(t, len(f.services), maxFramings)
}

// Guards against processes whose end nobody tells of, as no request was in progress, and against sound ones that are taken for ended: at their
// connection limit, at their idle time-out, without one that they name, or as a question was given up.
func TestProcessThatClosesUnusedConnectionsEarlyHasEnded(t *testing.T) {
	silent := func(conn *net.TCPConn, _ *http.Request) bool { select {} }
	for name, test := range map[string]struct {
		idleTimeout time.Duration
		open        time.Duration // before the end
		serve       func(*net.TCPConn, *http.Request) bool
		kill        bool
		ended       bool
	}{
		"killed":                       {time.Minute, 4 * acceptTime, answering(wholeAnswer), true, true},
		"killed, names no time-out":    {0, 4 * acceptTime, answering(wholeAnswer), true, false},
		"killed behind its time-out":   {acceptTime, 4 * acceptTime, answering(wholeAnswer), true, false},
		"closes at once, at its limit": {time.Minute, 0, answering(wholeAnswer), true, false},
		"runs on":                      {time.Minute, 4 * acceptTime, answering(wholeAnswer), false, false},
		"does not answer in time":      {time.Minute, 4 * acceptTime, silent, false, false},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			process := rawserver.StartProcess(t, "", test.serve)
			checker := NewChecker()
			first := begin(t, checker, process.Address)
			first.SetIdleTimeout(test.idleTimeout)
			time.Sleep(test.open)
			if test.kill {
				process.Kill()
				rawserver.StartProcess(t, process.Address, test.serve)
			} else {
				ctx, cancel := context.WithTimeout(t.Context(), acceptTime)
				defer cancel()
				_, _ = first.Confirm(ctx) // answered or not
			}
			first.End()
			time.Sleep(acceptTime)
			assert.Equal(t, test.ended, !begin(t, checker, process.Address).EndedAt().IsZero())
		})
	}
}

// Guards against answers that can't be confirmed because their server refuses a ping, which names no server.
func TestPingMayBeAnsweredWithAnyStatus(t *testing.T) {
	for _, status := range []string{"404 Not Found", "421 Misdirected Request", "501 Not Implemented"} {
		server := rawserver.StartProcess(t, "", answering("HTTP/1.1 "+status+"\r\nContent-Length: 0\r\n\r\n"))
		require.NoError(t, confirm(t, begin(t, NewChecker(), server.Address)), status)
	}
}
