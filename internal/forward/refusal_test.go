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

// A refused request is answered from its head alone. On yushan-rounds-grown scale-1 a flood
// filled a machine of 112 MB with the bodies of requests that were refused once they were in.
func TestRefusalNeedsNoBody(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	handler := busyHandler(t)
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
	assert.Zero(t, handler.held.Load())
	require.NoError(t, conn.Close())
}

// Events are collected only by a daemon without processor time, never the first one, and for
// a part of the pause that the route allows.
func TestEventsAreCollectedUnderStrain(t *testing.T) {
	h := busyHandler(t)
	c := &call{route: &routing.Route{MaxTokenGap: 200 * time.Millisecond}, events: 1}
	assert.Zero(t, h.collectFor(c))
	h.Overloaded = func() bool { return true }
	assert.Equal(t, 50*time.Millisecond, h.collectFor(c))
	assert.Zero(t, h.collectFor(&call{route: c.route}), "the first event")
	assert.Equal(t, maxStrainedPause, h.collectFor(&call{route: &routing.Route{}, events: 1}))
}

// mtesz-cert-grown trouble-1: all daemons lost power while the store was down, and callers
// that were asked back after 100 ms had used up their tries before it came back.
func TestCallersComeBackAsTheOutageLasts(t *testing.T) {
	h := busyHandler(t)
	h.Config = func() *routing.Config { return nil }
	ask := func(lasted time.Duration) *result.Error {
		h.started = time.Now().Add(-lasted)
		c := &call{http: httptest.NewRequest(http.MethodPost, "/", nil), arrived: time.Now()}
		err := result.From(h.find(c))
		assert.Equal(t, result.NoConfiguration, err.Code)
		assert.Equal(t, "id", c.envelope.RequestID, "the log names the request")
		return err
	}
	assert.Equal(t, restingRetry, ask(0).RetryAfter, "a daemon that has just started")
	assert.InDelta(t, 1, ask(time.Second).RetryAfter.Seconds(), 0.1)
	assert.Equal(t, maxOutageRetry, ask(time.Minute).RetryAfter)
	short := &call{envelope: &Envelope{Deadline: time.Second}}
	assert.Equal(t, 400*time.Millisecond, h.outageRetry(short, time.Minute))
}
