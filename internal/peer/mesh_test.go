package peer

import (
	"bytes"
	"log/slog"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"

	"github.com/filbertrill/filbertrill/internal/peer/pb"
	"github.com/filbertrill/filbertrill/test/cluster"
)

const (
	waitTimeout = 20 * time.Second
	testSecret  = "a-secret-of-the-test"
)

func TestMain(m *testing.M) {
	goleak.VerifyTestMain(m)
}

// logBuffer collects log output. It is safe for concurrent use.
type logBuffer struct {
	mu  sync.Mutex
	buf bytes.Buffer
}

func (l *logBuffer) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.buf.Write(p)
}

// count returns how often the text occurs in the log.
func (l *logBuffer) count(text string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return strings.Count(l.buf.String(), text)
}

// startMesh serves a mesh on loopback. It returns the mesh, its address and the number of
// messages that it has received.
func startMesh(t *testing.T, opts Options) (*Mesh, string, *atomic.Int64) {
	t.Helper()
	received := &atomic.Int64{}
	opts.Handler = func(*pb.Envelope) { received.Add(1) }
	if opts.Secret == "" {
		opts.Secret = testSecret
	}
	m := NewMesh(opts)
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = m.Serve(lis)
	}()
	t.Cleanup(func() {
		m.Close()
		<-done
	})
	return m, lis.Addr().String(), received
}

func newHeartbeat() *pb.Envelope {
	return &pb.Envelope{Body: &pb.Envelope_Heartbeat{Heartbeat: &pb.Heartbeat{}}}
}

// sendUntil sends a message every 20 ms until done returns true.
func sendUntil(t *testing.T, m *Mesh, address string, done func() bool) {
	t.Helper()
	require.Eventually(t, func() bool {
		m.Send(address, newHeartbeat())
		return done()
	}, waitTimeout, 20*time.Millisecond)
}

// newTestLink returns a network link to the upstream address whose traffic can be dropped.
func newTestLink(t *testing.T, upstream string) *cluster.Link {
	t.Helper()
	link, err := cluster.NewLink("link")
	require.NoError(t, err)
	link.Connect(upstream)
	t.Cleanup(link.Close)
	return link
}

// A connection that drops all traffic without being closed is detected by the missing pong
// and replaced.
func TestSilentConnectionIsReplaced(t *testing.T) {
	_, address, received := startMesh(t, Options{ID: "b"})
	link := newTestLink(t, address)
	log := &logBuffer{}
	a, _, _ := startMesh(t, Options{
		ID: "a", PingInterval: 50 * time.Millisecond, PongTimeout: 200 * time.Millisecond,
		Logger: slog.New(slog.NewTextHandler(log, nil)),
	})
	sendUntil(t, a, link.Address(), func() bool { return received.Load() > 0 })
	require.NoError(t, link.Blackhole())
	sendUntil(t, a, link.Address(), func() bool { return log.count("Replaced a silent link") > 0 })
	require.NoError(t, link.Heal())
	before := received.Load()
	sendUntil(t, a, link.Address(), func() bool { return received.Load() > before })
}

// Send must not block on the full queue of a peer that no longer reads, and messages to other
// peers must still arrive.
func TestSilentPeerDoesNotBlockOthers(t *testing.T) {
	_, silentAddress, silentReceived := startMesh(t, Options{ID: "slow"})
	_, liveAddress, liveReceived := startMesh(t, Options{ID: "good"})
	link := newTestLink(t, silentAddress)
	a, _, _ := startMesh(t, Options{ID: "a", QueueLength: 4})
	sendUntil(t, a, link.Address(), func() bool { return silentReceived.Load() > 0 })
	sendUntil(t, a, liveAddress, func() bool { return liveReceived.Load() > 0 })
	require.NoError(t, link.Blackhole())
	before := liveReceived.Load()
	for range 1000 {
		a.Send(link.Address(), newHeartbeat()) // must not block when the queue is full
	}
	sendUntil(t, a, liveAddress, func() bool { return liveReceived.Load() > before })
}

// A daemon with a wrong secret redials at least every 2 s; neither side may log each attempt.
func TestWrongSecretIsLoggedOnce(t *testing.T) {
	serverLog, clientLog := &logBuffer{}, &logBuffer{}
	_, address, received := startMesh(t, Options{ID: "b", Logger: slog.New(slog.NewTextHandler(serverLog, nil))})
	var connections atomic.Int64
	proxyAddress := startCountingProxy(t, address, &connections)
	a, _, _ := startMesh(t, Options{
		ID: "a", Secret: "another-secret-of-a-test", PingInterval: 20 * time.Millisecond,
		Logger: slog.New(slog.NewTextHandler(clientLog, nil)),
	})
	sendUntil(t, a, proxyAddress, func() bool { return connections.Load() >= 3 })
	require.Equal(t, 1, serverLog.count("Rejected a connection"))
	require.LessOrEqual(t, clientLog.count("Peer rejected the secret"), 1)
	require.Eventually(t, func() bool { return clientLog.count("Peer rejected the secret") == 1 }, waitTimeout, 10*time.Millisecond)
	require.Zero(t, received.Load())
}

// startCountingProxy starts a TCP proxy to the upstream address and returns its address. It
// counts the accepted connections.
func startCountingProxy(t *testing.T, upstream string, connections *atomic.Int64) string {
	t.Helper()
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	var wg sync.WaitGroup
	t.Cleanup(func() {
		_ = lis.Close()
		wg.Wait()
	})
	wg.Go(func() {
		for {
			conn, err := lis.Accept()
			if err != nil {
				return
			}
			connections.Add(1)
			wg.Go(func() { proxyConn(conn, upstream) })
		}
	})
	return lis.Addr().String()
}

// proxyConn copies data between the connection and the upstream address until either side
// closes.
func proxyConn(conn net.Conn, upstream string) {
	defer func() { _ = conn.Close() }()
	upstreamConn, err := net.Dial("tcp", upstream)
	if err != nil {
		return
	}
	defer func() { _ = upstreamConn.Close() }()
	var wg sync.WaitGroup
	copyUntilError := func(to, from net.Conn) {
		buffer := make([]byte, 4096)
		for {
			n, err := from.Read(buffer)
			if err != nil {
				break
			}
			if _, err := to.Write(buffer[:n]); err != nil {
				break
			}
		}
		_ = to.Close()
		_ = from.Close()
	}
	wg.Go(func() { copyUntilError(upstreamConn, conn) })
	wg.Go(func() { copyUntilError(conn, upstreamConn) })
	wg.Wait()
}

// After the message and the ping that confirms it, an idle link must cause no traffic.
func TestIdleLinkSendsNothing(t *testing.T) {
	var sent atomic.Int64
	_, address, received := startMesh(t, Options{ID: "b"})
	a, _, _ := startMesh(t, Options{
		ID: "a", PingInterval: 10 * time.Millisecond, PongTimeout: 5 * time.Second,
		CountBytes: func(_ int, out bool, _ string, _ string) {
			if out {
				sent.Add(1)
			}
		},
	})
	a.Send(address, newHeartbeat())
	require.Eventually(t, func() bool { return received.Load() == 1 && sent.Load() == 2 }, waitTimeout, 10*time.Millisecond)
	require.Never(t, func() bool { return sent.Load() > 2 }, 300*time.Millisecond, 20*time.Millisecond)
}
