package answers

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/filbertrill/filbertrill/test/cluster"
	"github.com/filbertrill/filbertrill/test/rawserver"
)

// requestHead returns the head of a POST to the service "registry", without its framing and its end.
func requestHead(version, path string) string {
	return "POST /v1/services/registry" + path + " " + version + "\r\nHost: h.example\r\nConnection: keep-alive\r\nAuthorization: Bearer key-small\r\n"
}

// Guards against bodies that were cut by their caller, perhaps while the daemon stood still, and are run as whole ones.
func TestRequestWhoseBodyIsCutIsNotRun(t *testing.T) {
	t.Parallel()
	const rounds = 4
	f := startFleet(t, 1)
	server := f.AddPlainServer("z1", 8)
	f.SubmitNext()
	daemon := f.Daemons[0]
	for _, stopped := range []bool{false, true} {
		if stopped {
			daemon.Pause()
		}
		var senders sync.WaitGroup
		for i, r := range rawserver.CutRequests() {
			for round := range rounds {
				senders.Go(func() {
					if err := r.Send(daemon.Address, requestHead("HTTP/1.1", fmt.Sprintf("/cut-%t-%d-%d", stopped, i, round))); !stopped { // nobody reads then
						assert.NoError(t, err, "%v", r)
					}
				})
			}
		}
		if stopped {
			time.Sleep(300 * time.Millisecond)
			daemon.Resume()
		}
		senders.Wait()
	}
	status, _, body := f.Call(0, "key-small", http.MethodPost, "/v1/services/registry/whole", "{}")
	require.Equal(t, http.StatusOK, status, body)
	time.Sleep(100 * time.Millisecond) // a request that was taken for whole would arrive
	for _, run := range listRuns(t, server) {
		assert.Equal(t, "/whole", run.Path, "a cut request was run")
	}
}

// exchangeHTTP10 sends a request in HTTP/1.0 and returns all that is answered.
func exchangeHTTP10(t *testing.T, f *cluster.Fleet, path, rest string) string {
	t.Helper()
	conn, err := net.Dial("tcp", f.Daemons[0].Address)
	require.NoError(t, err)
	defer func() { _ = conn.Close() }()
	require.NoError(t, conn.SetDeadline(time.Now().Add(cluster.WaitTimeout)))
	_, err = io.WriteString(conn, strings.ReplaceAll(requestHead("HTTP/1.0", path), "keep-alive", "close")+rest)
	require.NoError(t, err)
	answer, err := io.ReadAll(conn)
	require.NoError(t, err)
	return string(answer)
}

// Guards against answers of which callers that speak HTTP/1.0 can't tell the end, and against their chunks that are dropped.
func TestCallerOfHTTP10GetsWholeAnswer(t *testing.T) {
	t.Parallel()
	f := startFleet(t, 1)
	server := f.AddPlainServer("z1", 8)
	f.SubmitNext()
	response, err := http.ReadResponse(bufio.NewReader(strings.NewReader(exchangeHTTP10(t, f, "/whole", "Content-Length: 2\r\n\r\n{}"))), nil)
	require.NoError(t, err)
	body, err := io.ReadAll(response.Body)
	require.NoError(t, err)
	assert.Equal(t, http.StatusOK, response.StatusCode)
	assert.EqualValues(t, len(body), response.ContentLength, "the end of a connection does not tell that a body is whole")
	assert.Empty(t, response.TransferEncoding)

	answer := exchangeHTTP10(t, f, "/chunks", "Transfer-Encoding: chunked\r\n\r\n2\r\n{}\r\n0\r\n\r\n")
	assert.True(t, strings.HasPrefix(answer, "HTTP/1.0 400"), "%q", answer)
	assert.Contains(t, answer, "X-Result-Code: 1004")
	assert.Len(t, listRuns(t, server), 1)
}
