package answers

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/filbertrill/filbertrill/test/cluster"
)

// Guards against streams that are broken off and look complete to callers whose answers have no chunks, as they speak HTTP/1.0.
func TestBrokenStreamLooksIncompleteWithoutChunks(t *testing.T) {
	t.Parallel()
	for _, test := range []struct {
		name         string
		tokens       int
		breakOff     func(daemon *cluster.Process, link *cluster.Link)
		end          string // of the answer, if that shows it
		isIncomplete bool
	}{
		{name: "complete", tokens: 20, end: "data: [DONE]\n\n"},
		{name: "error event", tokens: 100_000, breakOff: func(_ *cluster.Process, link *cluster.Link) { link.Cut() }, end: "}}\n\n"},
		{name: "daemon is killed", tokens: 100_000, breakOff: func(daemon *cluster.Process, _ *cluster.Link) { daemon.Signal(syscall.SIGKILL) }, isIncomplete: true},
	} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			f := startFleet(t, 1)
			engine := f.AddEngine("z1", 4, "--token-interval", "20ms")
			link, err := cluster.NewLink("engine")
			require.NoError(t, err)
			t.Cleanup(link.Close)
			link.Connect(engine.Address)
			f.NextTicket.Servers[0].Address = link.Address()
			f.SubmitNext()
			conn, err := net.Dial("tcp", f.Daemons[0].Address)
			require.NoError(t, err)
			defer func() { _ = conn.Close() }()
			require.NoError(t, conn.SetDeadline(time.Now().Add(cluster.WaitTimeout)))
			body := chatBody(test.tokens, true)
			_, err = fmt.Fprintf(conn, "POST %s HTTP/1.0\r\nAuthorization: Bearer key-small\r\nContent-Length: %d\r\n\r\n%s", chatPath, len(body), body)
			require.NoError(t, err)
			response, err := http.ReadResponse(bufio.NewReader(conn), nil)
			require.NoError(t, err)
			require.Equal(t, http.StatusOK, response.StatusCode)
			_, err = io.ReadFull(response.Body, make([]byte, 16)) // the answer has begun
			require.NoError(t, err)
			if test.breakOff != nil {
				test.breakOff(f.Daemons[0], link)
			}
			rest, err := io.ReadAll(response.Body)
			if test.isIncomplete {
				assert.Error(t, err)
				assert.NotErrorIs(t, err, os.ErrDeadlineExceeded, "the answer does not end")
				return
			}
			require.NoError(t, err)
			assert.True(t, strings.HasSuffix(string(rest), test.end), string(rest))
		})
	}
}
