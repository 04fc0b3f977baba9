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
	patience   = 20 * time.Second
	testSecret = "a-secret-of-the-test"
)

func TestMain(m *testing.M) {
	goleak.VerifyTestMain(m)
}

// lines collects a log.
type lines struct {
	mu  sync.Mutex
	buf bytes.Buffer
}

func (l *lines) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.buf.Write(p)
}

func (l *lines) count(text string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return strings.Count(l.buf.String(), text)
}

// startMesh serves a mesh on loopback and returns its address and a count of its messages.
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

func message() *pb.Envelope {
	return &pb.Envelope{Body: &pb.Envelope_Heartbeat{Heartbeat: &pb.Heartbeat{}}}
}

// sendUntil sends a message at a time until done.
func sendUntil(t *testing.T, m *Mesh, address string, done func() bool) {
	t.Helper()
	require.Eventually(t, func() bool {
		m.Send(address, message())
		return done()
	}, patience, 20*time.Millisecond)
}

func newLinks(t *testing.T, upstream string) *cluster.Link {
	t.Helper()
	link, err := cluster.NewLink("link")
	require.NoError(t, err)
	link.Connect(upstream)
	t.Cleanup(link.Close)
	return link
}

func TestSilentConnectionIsReplaced(t *testing.T) {
	_, address, received := startMesh(t, Options{ID: "b"})
	link := newLinks(t, address)
	log := &lines{}
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

func TestSilentPeerBlocksNoOther(t *testing.T) {
	_, slowAddress, slow := startMesh(t, Options{ID: "slow"})
	_, goodAddress, good := startMesh(t, Options{ID: "good"})
	link := newLinks(t, slowAddress)
	a, _, _ := startMesh(t, Options{ID: "a", QueueLength: 4})
	sendUntil(t, a, link.Address(), func() bool { return slow.Load() > 0 })
	sendUntil(t, a, goodAddress, func() bool { return good.Load() > 0 })
	require.NoError(t, link.Blackhole())
	before := good.Load()
	for range 1000 {
		a.Send(link.Address(), message()) // never blocks, also with a full queue
	}
	sendUntil(t, a, goodAddress, func() bool { return good.Load() > before })
}

func TestWrongSecretIsLoggedOnce(t *testing.T) {
	serverLog, clientLog := &lines{}, &lines{}
	_, address, received := startMesh(t, Options{ID: "b", Logger: slog.New(slog.NewTextHandler(serverLog, nil))})
	var tries atomic.Int64
	counting := newCountingListener(t, address, &tries)
	a, _, _ := startMesh(t, Options{
		ID: "a", Secret: "another-secret-of-a-test", PingInterval: 20 * time.Millisecond,
		Logger: slog.New(slog.NewTextHandler(clientLog, nil)),
	})
	sendUntil(t, a, counting, func() bool { return tries.Load() >= 3 })
	require.Equal(t, 1, serverLog.count("Refused a connection"))
	require.LessOrEqual(t, clientLog.count("Peer refuses the secret"), 1)
	require.Eventually(t, func() bool { return clientLog.count("Peer refuses the secret") == 1 }, patience, 10*time.Millisecond)
	require.Zero(t, received.Load())
}

// newCountingListener passes connections on and counts them.
func newCountingListener(t *testing.T, upstream string, tries *atomic.Int64) string {
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
			tries.Add(1)
			wg.Go(func() { relay(conn, upstream) })
		}
	})
	return lis.Addr().String()
}

func relay(conn net.Conn, upstream string) {
	defer func() { _ = conn.Close() }()
	next, err := net.Dial("tcp", upstream)
	if err != nil {
		return
	}
	defer func() { _ = next.Close() }()
	var wg sync.WaitGroup
	pipe := func(to, from net.Conn) {
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
	wg.Go(func() { pipe(next, conn) })
	wg.Go(func() { pipe(conn, next) })
	wg.Wait()
}

func TestIdleLinkSendsNothing(t *testing.T) {
	var sent atomic.Int64
	_, address, received := startMesh(t, Options{ID: "b"})
	a, _, _ := startMesh(t, Options{
		ID: "a", PingInterval: 10 * time.Millisecond, PongTimeout: 5 * time.Second,
		Counter: func(_ int, out bool, _ string, _ string) {
			if out {
				sent.Add(1)
			}
		},
	})
	a.Send(address, message())
	require.Eventually(t, func() bool { return received.Load() == 1 && sent.Load() == 2 }, patience, 10*time.Millisecond)
	require.Never(t, func() bool { return sent.Load() > 2 }, 300*time.Millisecond, 20*time.Millisecond)
}
