// Package backend holds the clients of model engines and plain services.
package backend

import (
	"context"
	"net"
	"net/http"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"
)

// HeaderRequestID carries the id of an attempt, which the engine echoes.
const HeaderRequestID = "X-Request-Id"

// Sizes and times of the clients.
const (
	dialTimeout           = 2 * time.Second
	maxResponseBytes      = 64 << 20
	maxIdleConnsPerServer = 256 // kept for each backend server
	idleConnTimeout       = 30 * time.Second
	// writeBufferBytes is held for each open connection.
	writeBufferBytes = 1 << 10
)

// Errors of the clients.
var (
	// ErrNotSent means that no byte of the request can have reached the backend server.
	ErrNotSent = errors.New("request was not sent")
)

// NewTransport returns the transport to backend servers. It is net/http's own and not
// go-zero's httpc, whose breaker would refuse requests that a server could run.
func NewTransport() *http.Transport {
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
	}
}

// StatusError is an answer of a backend server other than 200.
type StatusError struct {
	Status int
	Header http.Header
	Body   []byte
}

// Error tells the status.
func (e *StatusError) Error() string { return "backend server answered " + strconv.Itoa(e.Status) }
