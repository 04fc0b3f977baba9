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

// waitForOutcome waits until the first run of a stand-in has the outcome.
func waitForOutcome(t *testing.T, p *cluster.Process, outcome string) {
	t.Helper()
	require.Eventually(t, func() bool {
		list := listRuns(t, p)
		return len(list) > 0 && list[0].Outcome == outcome
	}, cluster.WaitTimeout, 10*time.Millisecond)
}

// TestCallerDisconnectFreesSlot disconnects a caller during a streamed and during a buffered answer. The
// engine has one slot, so the next request runs only if the first one was canceled at the engine.
func TestCallerDisconnectFreesSlot(t *testing.T) {
	for _, stream := range []bool{true, false} {
		t.Run(fmt.Sprintf("stream %t", stream), func(t *testing.T) {
			f := startFleet(t, 1)
			engine := f.AddEngine("z1", 1, "--token-interval", "20ms")
			f.SubmitNext()
			ctx, disconnect := context.WithCancel(t.Context())
			defer disconnect()
			done := make(chan struct{})
			go func() {
				defer close(done)
				resp, err := http.DefaultClient.Do(newChatRequest(t, f.Daemons[0].Address, chatBody(100_000, stream)).WithContext(ctx))
				if err == nil {
					_ = resp.Body.Close()
				}
			}()
			require.Eventually(t, func() bool { return len(listRuns(t, engine)) == 1 }, cluster.WaitTimeout, 10*time.Millisecond)
			disconnect()
			<-done
			waitForOutcome(t, engine, runs.Cancelled)
			a := sendChat(t, f, 0, 5, true)
			require.Empty(t, a.mismatch(5))
		})
	}
}

// TestSlowCallerIsCanceled sends a request and does not read the answer. The request must be canceled
// after the write limit, and must not delay other callers before that.
func TestSlowCallerIsCanceled(t *testing.T) {
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
	require.Eventually(t, func() bool { return len(listRuns(t, engine)) == 1 }, cluster.WaitTimeout, 10*time.Millisecond)
	for listRuns(t, engine)[0].Outcome == runs.Running {
		a := sendChat(t, f, 0, 20, true)
		require.Empty(t, a.mismatch(20))
	}
	waitForOutcome(t, engine, runs.Cancelled)
}
