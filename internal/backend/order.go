package backend

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
)

// orderTimeout bounds one order.
const orderTimeout = 2 * time.Second

// Errors of orders.
var (
	// ErrOrderLapsed means that the permission to send ended before the order was sent whole.
	ErrOrderLeaseExpired = errors.New("permission to send the order has lapsed")
	// ErrOrderStale means that the server has taken an order with a higher fence.
	ErrOrderSuperseded = errors.New("the server has taken a later order")
	// ErrNoOrders means that the server takes no orders.
	ErrOrdersUnsupported = errors.New("the server takes no orders")
)

// Order is an instruction to a backend server.
type Order struct {
	Fence uint64 `json:"fence"`
	Kind  string `json:"order"`
	Model string `json:"model,omitempty"`
}

// SendOrder hands the order to the server at the address, once and on a connection of its
// own. No byte leaves after until, unless that is zero.
func SendOrder(ctx context.Context, address string, o Order, leaseEnd time.Time) error {
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	body, err := json.Marshal(o)
	if err != nil {
		return errors.Wrap(err, "encode order")
	}
	dialer := net.Dialer{}
	transport := &http.Transport{
		DisableKeepAlives: true,
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			conn, err := dialer.DialContext(ctx, network, address)
			if err != nil {
				return nil, err
			}
			return &leasedConn{Conn: conn, leaseEnd: leaseEnd}, nil
		},
	}
	defer transport.CloseIdleConnections()
	// A body that can't be read again keeps the transport from sending it again.
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+"/admin/order", io.NopCloser(bytes.NewReader(body)))
	if err != nil {
		return errors.Wrap(err, "build order")
	}
	req.ContentLength = int64(len(body))
	req.Header.Set("Content-Type", "application/json")
	resp, err := transport.RoundTrip(req)
	if err != nil {
		return errors.Wrap(err, "send order")
	}
	defer func() { _ = resp.Body.Close() }()
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
	return errors.Newf("send order: server answered %d", status)
}

// expiringConn writes nothing after a time. The check is the last thing before the system
// call, so that a pause of the process anywhere earlier is noticed.
type leasedConn struct {
	net.Conn
	leaseEnd time.Time
}

// Write implements net.Conn.
func (c *leasedConn) Write(p []byte) (int, error) {
	if !c.leaseEnd.IsZero() && !time.Now().Before(c.leaseEnd) {
		return 0, ErrOrderLeaseExpired
	}
	return c.Conn.Write(p)
}
