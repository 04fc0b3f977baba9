package gateway

import (
	"bufio"
	"io"
	"log/slog"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/filbertrill/filbertrill/internal/exchange"
	"github.com/filbertrill/filbertrill/internal/exchange/pb"
	"github.com/filbertrill/filbertrill/internal/forward"
	"github.com/filbertrill/filbertrill/internal/result"
	"github.com/filbertrill/filbertrill/internal/routing"
	"github.com/filbertrill/filbertrill/internal/telemetry"
)

// emptyProtocol finds nothing in requests.
type emptyProtocol struct{ forward.Protocol }

func (emptyProtocol) DecodeRequest(*http.Request) (*forward.Envelope, error) {
	return &forward.Envelope{}, nil
}

// Callers send requests until the process ends. Each one whose connection was accepted gets an answer, also if its head
// arrives in two parts.
func TestStopAnswersAllAcceptedRequests(t *testing.T) {
	metrics, _, closer := telemetry.New(telemetry.Options{Interval: time.Hour})
	t.Cleanup(func() { require.NoError(t, closer.Close()) })
	logger := slog.New(slog.DiscardHandler)
	x, err := exchange.New(exchange.Options{
		Self: func() *pb.Member { return &pb.Member{Id: "a"} }, ControlAddress: "127.0.0.1:0", Logger: logger,
	})
	require.NoError(t, err)
	g := &Gateway{
		settings: Settings{GracePeriod: 2 * time.Second}, exchange: x, logger: logger,
		handler: forward.NewHandler(forward.Options{
			Protocol: emptyProtocol{},
			Config:   func() *routing.Config { return nil }, Metrics: metrics, Logger: logger,
			ConnectionPressure: func() bool { return false }, Overloaded: func() bool { return false },
		}),
		connLimiter: &connLimiter{
			limit: 1000, inspect: func([]byte) (string, float64) { return "", 0 }, onRefused: func(string, float64) {}, logger: logger,
			refusalResponse: func() []byte { return forward.RefusalResponse(result.DaemonFull, time.Second) },
		},
	}
	listener, err := g.connLimiter.listen("127.0.0.1:0")
	require.NoError(t, err)
	g.callerListener = listener
	var accepted sync.Map // remote addresses
	server := g.newHTTPServer(g.handler)
	server.ConnState = func(c net.Conn, state http.ConnState) {
		g.connLimiter.connStateChanged(c, state)
		if state == http.StateNew {
			accepted.Store(c.RemoteAddr().String(), true)
		}
	}
	g.serve(listener, server)

	var callers sync.WaitGroup
	var mu sync.Mutex
	answered, cut := 0, 0
	stopped := make(chan struct{})
	for range 8 {
		callers.Go(func() {
			for {
				select {
				case <-stopped:
					return
				case <-time.After(time.Millisecond):
				}
				conn, err := net.Dial("tcp", listener.Addr().String())
				if err != nil {
					continue // the listener is closed
				}
				_, _ = io.WriteString(conn, "GET / HTTP/1.1\r\n")
				time.Sleep(10 * time.Millisecond)
				_, _ = io.WriteString(conn, "Host: h\r\n\r\n")
				_, err = http.ReadResponse(bufio.NewReader(conn), nil)
				_, wasAccepted := accepted.Load(conn.LocalAddr().String())
				mu.Lock()
				if err == nil {
					answered++
				} else if wasAccepted {
					cut++
				}
				mu.Unlock()
				_ = conn.Close()
			}
		})
	}
	time.Sleep(100 * time.Millisecond)
	g.drain()
	require.NoError(t, server.Close()) // the process ends
	close(stopped)
	callers.Wait()
	assert.Zero(t, cut)
	assert.Greater(t, answered, 100)
}
