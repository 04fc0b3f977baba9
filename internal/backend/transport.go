// Package backend provides HTTP clients for backend servers: model engines and plain services.
package backend

import (
	"context"
	"io"
	"net"
	"net/http"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/filbertrill/filbertrill/internal/http1"
)

// HeaderRequestID carries the id of an attempt. Engines return it in the ids of their events.
const HeaderRequestID = "X-Request-Id"

// Limits and timeouts of the clients.
const (
	dialTimeout           = 2 * time.Second
	maxResponseBytes      = 8 << 20
	maxResponseHeadBytes  = 64 << 10
	maxDiscardedBytes     = 4 << 10 // of a body that is not used
	maxIdleConnsPerServer = 256
	idleConnTimeout       = 30 * time.Second
	// writeBufferBytes is allocated for each open connection, so it is smaller than the default of 4 KiB.
	writeBufferBytes = 1 << 10
)

// Errors of the clients.
var (
	// ErrNotSent means that no byte of the request can have reached the backend server.
	ErrNotSent = errors.New("request was not sent")
	// ErrSilent means that the backend server sent nothing for longer than a limit of the request.
	ErrSilent = errors.New("server sent nothing within the limit")
)

// NewTransport returns a transport for connections to backend servers. It marks dial errors ErrNotSent.
// It does not use httpc of go-zero, whose circuit breaker would reject requests that a server could run.
func NewTransport() *http1.Transport { return http1.NewTransport(newTransport()) }

func newTransport() *http.Transport {
	dialer := &net.Dialer{Timeout: dialTimeout}
	return &http.Transport{
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			conn, err := dialer.DialContext(ctx, network, address)
			if err != nil {
				return nil, errors.Mark(err, ErrNotSent)
			}
			return conn, nil
		},
		MaxIdleConnsPerHost: maxIdleConnsPerServer,
		IdleConnTimeout:     idleConnTimeout,
		DisableCompression:  true,
		WriteBufferSize:     writeBufferBytes,

		MaxResponseHeaderBytes: maxResponseHeadBytes,
	}
}

// StatusError is a response of a backend server with a status other than 200.
type StatusError struct {
	Status int
	Header http.Header
	Body   []byte
}

// Error returns a message with the status.
func (e *StatusError) Error() string { return "server returned status " + strconv.Itoa(e.Status) }

// discardBody reads a body that is not used, up to maxDiscardedBytes. It returns an error if the body is cut before that: the answer, with its
// status, is then not whole.
func discardBody(body io.Reader) error {
	if _, err := io.CopyN(io.Discard, body, maxDiscardedBytes); !errors.Is(err, io.EOF) {
		return errors.Wrap(err, "read body")
	}
	return nil
}
