package backend

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/filbertrill/filbertrill/internal/http1"
)

// orderTimeout is the timeout for sending one order and receiving the response.
const orderTimeout = 2 * time.Second

// Errors of SendOrder.
var (
	// ErrOrderLeaseExpired means that the lease expired before the order was sent completely.
	ErrOrderLeaseExpired = errors.New("lease for sending the order has expired")
	// ErrOrderSuperseded means that the server has accepted an order with a higher fence.
	ErrOrderSuperseded = errors.New("server has accepted a later order")
	// ErrOrdersUnsupported means that the server does not support orders.
	ErrOrdersUnsupported = errors.New("server does not support orders")
)

// Order is an instruction to a backend server. Fence is a fencing token: a server that checks it rejects
// an order whose fence is lower than that of an order it has accepted.
type Order struct {
	Fence uint64 `json:"fence"`
	Kind  string `json:"order"`
	Model string `json:"model,omitempty"`
}

// SendOrder sends the order to the server at the address, at most once and on a new connection. It
// writes nothing once leaseExpired returns true; nil stands for no lease. It returns ErrOrderSuperseded for status
// 409, ErrOrdersUnsupported for 404 and 405, an error that wraps ErrOrderLeaseExpired if the lease
// expired, and another error if the answer is not whole.
func SendOrder(ctx context.Context, address string, o Order, leaseExpired func() bool) error {
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	body, err := json.Marshal(o)
	if err != nil {
		return errors.Wrap(err, "encode order")
	}
	dialer := net.Dialer{}
	transport := http1.NewTransport(&http.Transport{
		DisableKeepAlives:      true,
		MaxResponseHeaderBytes: maxResponseHeadBytes,
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			conn, err := dialer.DialContext(ctx, network, address)
			if err != nil {
				return nil, err
			}
			return &leasedConn{Conn: conn, leaseExpired: leaseExpired}, nil
		},
	})
	defer transport.CloseIdleConnections()
	// The transport cannot resend a body without GetBody.
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+"/admin/order", io.NopCloser(bytes.NewReader(body)))
	if err != nil {
		return errors.Wrap(err, "create order request")
	}
	req.ContentLength = int64(len(body))
	req.Header.Set("Content-Type", "application/json")
	resp, err := transport.RoundTrip(req)
	if err != nil {
		return errors.Wrap(err, "send order")
	}
	defer func() { _ = resp.Body.Close() }()
	if err := discardBody(resp.Body); err != nil {
		return errors.Wrap(err, "send order")
	}
	return orderStatusError(resp.StatusCode)
}

func orderStatusError(status int) error {
	switch status {
	case http.StatusOK, http.StatusNoContent:
		return nil
	case http.StatusConflict:
		return ErrOrderSuperseded
	case http.StatusNotFound, http.StatusMethodNotAllowed:
		return ErrOrdersUnsupported
	}
	return errors.Newf("send order: server returned status %d", status)
}

// leasedConn fails writes after the lease has expired. It checks that right before the system call, so
// that it detects an expiry while the process was paused.
type leasedConn struct {
	net.Conn
	leaseExpired func() bool // may be nil
}

// SyscallConn implements syscall.Conn.
func (c *leasedConn) SyscallConn() (syscall.RawConn, error) {
	conn, ok := c.Conn.(syscall.Conn)
	if !ok {
		return nil, errors.Newf("connection of type %T has no file descriptor", c.Conn)
	}
	return conn.SyscallConn()
}

// Write implements net.Conn. It returns ErrOrderLeaseExpired once the lease has expired.
func (c *leasedConn) Write(p []byte) (int, error) {
	if c.leaseExpired != nil && c.leaseExpired() {
		return 0, ErrOrderLeaseExpired
	}
	return c.Conn.Write(p)
}
