package answers

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/filbertrill/filbertrill/test/cluster"
	"github.com/filbertrill/filbertrill/test/standin/runs"
)

// awaitOutcome waits until the first run of a stand-in has ended so.
func awaitOutcome(t *testing.T, p *cluster.Process, outcome string) {
	t.Helper()
	require.Eventually(t, func() bool {
		list := ledger(t, p)
		return len(list) > 0 && list[0].Outcome == outcome
	}, cluster.WaitTimeout, 10*time.Millisecond)
}

// TestCallerGone frees the only slot when its caller leaves, before and after the first event.
func TestCallerGone(t *testing.T) {
	for _, stream := range []bool{true, false} {
		t.Run(fmt.Sprintf("stream %t", stream), func(t *testing.T) {
			f := startFleet(t, 1)
			engine := f.AddEngine("z1", 1, "--token-interval", "20ms")
			f.SubmitNext()
			ctx, leave := context.WithCancel(t.Context())
			defer leave()
			gone := make(chan struct{})
			go func() {
				defer close(gone)
				resp, err := http.DefaultClient.Do(chatRequest(t, f.Daemons[0].Address, chatBody(100_000, stream)).WithContext(ctx))
				if err == nil {
					_ = resp.Body.Close()
				}
			}()
			require.Eventually(t, func() bool { return len(ledger(t, engine)) == 1 }, cluster.WaitTimeout, 10*time.Millisecond)
			leave()
			<-gone
			awaitOutcome(t, engine, runs.Cancelled)
			a := ask(t, f, 0, 5, true)
			require.Empty(t, a.wrong(5))
		})
	}
}

// TestSlowCaller does not read its answer: it is cancelled after the write limit, and
// holds up nobody meanwhile.
func TestSlowCaller(t *testing.T) {
	t.Parallel()
	f := startFleet(t, 1, "--write-limit", "2s")
	engine := f.AddEngine("z1", 2, "--token-interval", "100us")
	f.SubmitNext()
	conn, err := net.Dial("tcp", f.Daemons[0].Address)
	require.NoError(t, err)
	defer func() { _ = conn.Close() }()
	require.NoError(t, conn.(*net.TCPConn).SetReadBuffer(4<<10))
	body := chatBody(1_000_000, true)
	_, err = fmt.Fprintf(conn, "POST %s HTTP/1.1\r\nHost: d\r\nAuthorization: Bearer key-small\r\nContent-Length: %d\r\n\r\n%s", chatPath, len(body), body)
	require.NoError(t, err)
	require.Eventually(t, func() bool { return len(ledger(t, engine)) == 1 }, cluster.WaitTimeout, 10*time.Millisecond)
	for ledger(t, engine)[0].Outcome == runs.Running {
		a := ask(t, f, 0, 20, true)
		require.Empty(t, a.wrong(20))
	}
	awaitOutcome(t, engine, runs.Cancelled)
}
