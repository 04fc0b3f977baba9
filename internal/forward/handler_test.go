package forward

import (
	"bufio"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/filbertrill/filbertrill/internal/result"
	"github.com/filbertrill/filbertrill/internal/routing"
)

// A refusal must not wait for the body: when bodies were read first, a flood of refused requests
// filled the memory of a machine with 112 MB.
func TestRefusalDoesNotReadBody(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	handler := newBusyHandler(t)
	server := &http.Server{Handler: handler}
	go func() { _ = server.Serve(listener) }() // ends with the test
	defer func() { require.NoError(t, server.Close()) }()
	conn, err := net.Dial("tcp", listener.Addr().String())
	require.NoError(t, err)
	_, err = conn.Write([]byte("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 40960\r\n\r\npart"))
	require.NoError(t, err)
	require.NoError(t, conn.SetReadDeadline(time.Now().Add(10*time.Second)))
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	require.NoError(t, err)
	assert.Equal(t, http.StatusServiceUnavailable, response.StatusCode)
	assert.NotEmpty(t, response.Header.Get("Retry-After"))
	assert.Zero(t, handler.bodyMemory.used)
	require.NoError(t, conn.Close())
}

// Only an overloaded daemon batches events, for batchDelayShare of the route's MaxTokenGap. The
// first event is never delayed.
func TestEventsAreBatchedWhenOverloaded(t *testing.T) {
	h := newBusyHandler(t)
	c := &call{route: &routing.Route{MaxTokenGap: 200 * time.Millisecond}}
	_, err := c.events.Accept([]byte("id: 1\ndata: x\n\n"))
	require.NoError(t, err)
	assert.Zero(t, h.batchDelay(c))
	h.Overloaded = func() bool { return true }
	assert.Equal(t, 50*time.Millisecond, h.batchDelay(c))
	assert.Zero(t, h.batchDelay(&call{route: c.route}), "first event")
	assert.Equal(t, maxBatchDelay, h.batchDelay(&call{route: &routing.Route{}, events: c.events}))
}

// The Retry-After must grow with an outage: when all daemons restarted while the store was down,
// callers that retried every 100 ms ran out of attempts before it was back.
func TestOutageRetryAfterGrowsWithOutage(t *testing.T) {
	h := newBusyHandler(t)
	h.Config = func() *routing.Config { return nil }
	resolveAfter := func(outage time.Duration) *result.Error {
		h.started = time.Now().Add(-outage)
		c := &call{request: httptest.NewRequest(http.MethodPost, "/", nil), arrivedAt: time.Now()}
		err := result.From(h.resolveRequest(c))
		assert.Equal(t, result.NoConfiguration, err.Code)
		assert.Equal(t, "id", c.envelope.ID, "the envelope is set for the log")
		return err
	}
	assert.Equal(t, defaultRetryAfter, resolveAfter(0).RetryAfter, "daemon has just started")
	assert.InDelta(t, 1, resolveAfter(time.Second).RetryAfter.Seconds(), 0.1)
	assert.Equal(t, maxOutageRetryAfter, resolveAfter(time.Minute).RetryAfter)
	shortDeadline := &call{envelope: &Envelope{Deadline: time.Second}}
	assert.Equal(t, 400*time.Millisecond, h.outageRetryAfter(shortDeadline, time.Minute))
}
