package backend

import (
	"bytes"
	"cmp"
	"context"
	"io"
	"net"
	"net/http"
	"os"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/filbertrill/filbertrill/internal/http1"
)

// PlainClient is an HTTP client for plain services. It is safe for concurrent use.
type PlainClient struct {
	client *http.Client
}

// NewPlainClient returns a client that opens a connection for each request. Plain services don't say
// which request an answer belongs to, so that a late second copy of an answer would pass for the
// answer to the next request on its connection. The client does not follow redirects.
func NewPlainClient() *PlainClient {
	return &PlainClient{&http.Client{
		Transport: NewSingleUseTransport(),
		CheckRedirect: func(*http.Request, []*http.Request) error {
			return http.ErrUseLastResponse
		},
	}}
}

// PlainRequest is a request to a plain service.
type PlainRequest struct {
	Method    string
	Path      string // including the query
	Header    http.Header
	Body      []byte
	AttemptID string
	StartBy   time.Time     // latest time of the header of the response; zero for none
	IdleLimit time.Duration // longest time without a byte of the response behind its header; 0 for none
}

// body returns the request body without GetBody, so that the transport cannot resend it.
func (r *PlainRequest) body() io.Reader {
	if len(r.Body) == 0 {
		return http.NoBody
	}
	return io.NopCloser(bytes.NewReader(r.Body))
}

// PlainResponse is the complete response of a plain service.
type PlainResponse struct {
	Status int
	Header http.Header
	Body   []byte
	// EndConfirmed is set if the body ends with its connection, and the server was seen to run behind it.
	EndConfirmed bool
}

// forwardedHeaders are the headers of a caller's request that are sent to plain services.
var forwardedHeaders = []string{"Content-Type", "Accept", "Accept-Language", "Idempotency-Key"}

// Call sends the request to the backend server and returns the complete response, whatever its status.
// A response of more than 8 MiB, or without a length of a server that has ended with it, is an error. The error is marked ErrNotSent if no
// byte of the request can have reached the server, and ErrSilent if a limit of the request ended the call.
func (p *PlainClient) Call(ctx context.Context, address string, r PlainRequest) (*PlainResponse, error) {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	// The hour is a placeholder.
	timer := time.AfterFunc(time.Hour, func() { cancel(ErrSilent) })
	defer timer.Stop()
	timer.Stop()
	if !r.StartBy.IsZero() {
		timer.Reset(time.Until(r.StartBy))
	}
	response, err := p.call(ctx, address, r, timer)
	if err != nil && errors.Is(context.Cause(ctx), ErrSilent) {
		err = errors.Mark(err, ErrSilent)
	}
	return response, err
}

// call is Call without its limits. While it reads the response it resets the timer to the idle limit.
func (p *PlainClient) call(ctx context.Context, address string, r PlainRequest, timer *time.Timer) (*PlainResponse, error) {
	req, err := http.NewRequestWithContext(ctx, r.Method, "http://"+address+r.Path, r.body())
	if err != nil {
		return nil, errors.Mark(err, ErrNotSent)
	}
	req.ContentLength = int64(len(r.Body))
	for _, name := range forwardedHeaders {
		if value := r.Header.Get(name); value != "" {
			req.Header.Set(name, value)
		}
	}
	req.Header.Set(HeaderRequestID, r.AttemptID)
	resp, err := p.client.Do(req)
	if err != nil {
		return nil, errors.Wrap(err, "call plain service")
	}
	defer func() { _ = resp.Body.Close() }()
	timer.Stop()
	body, err := io.ReadAll(io.LimitReader(&idleReader{reader: resp.Body, timer: timer, limit: r.IdleLimit}, maxResponseBytes+1))
	if err != nil {
		return nil, errors.Wrap(err, "read response of plain service")
	}
	if len(body) > maxResponseBytes {
		return nil, errors.Newf("response of plain service is longer than %d bytes", maxResponseBytes)
	}
	response := &PlainResponse{Status: resp.StatusCode, Header: resp.Header, Body: body}
	if http1.Framing(resp) == http1.FramedByConnection {
		timer.Reset(cmp.Or(r.IdleLimit, maxConfirmTime))
		if err := confirmEnd(ctx, address); err != nil {
			return nil, errors.Mark(errors.Wrap(err, "plain service has ended with its response"), io.ErrUnexpectedEOF)
		}
		response.EndConfirmed = true
	}
	return response, nil
}

const (
	// maxConfirmTime limits confirmEnd for a request without an idle limit.
	maxConfirmTime = 30 * time.Second
	// processEndTime is longer than the kernel takes to close the connections and then the listener of a process that ends, as in
	// package upstream.
	processEndTime = 50 * time.Millisecond
)

// confirmEnd returns an error if the process at the address has ended or ends, as far as new connections to it show that. When a process
// is killed, its connections end like those of a complete response without a length. confirmEnd takes processEndTime, or until the context
// ends if no connection is accepted or refused.
func confirmEnd(ctx context.Context, address string) error {
	for {
		err := checkProcess(ctx, address)
		var netErr net.Error
		if err == nil || ctx.Err() != nil || !errors.As(err, &netErr) || !netErr.Timeout() {
			return err
		}
	}
}

// checkProcess is one try of confirmEnd.
func checkProcess(ctx context.Context, address string) error {
	dialer := net.Dialer{Timeout: dialTimeout}
	conn, err := dialer.DialContext(ctx, "tcp", address)
	if err == nil {
		ends := endsWithin(conn, processEndTime)
		_ = conn.Close()
		if !ends {
			return nil
		}
		err = syscall.ECONNRESET
	}
	if !errors.Is(err, syscall.ECONNRESET) {
		return err
	}
	// The listener was closed and refuses the next connection, or the server closes connections beyond its limit.
	if conn, err = dialer.DialContext(ctx, "tcp", address); errors.Is(err, syscall.ECONNRESET) {
		return nil
	}
	if err == nil {
		_ = conn.Close()
	}
	return err
}

// endsWithin reports whether the other side closes or resets the connection within d. It reads from the connection.
func endsWithin(conn net.Conn, d time.Duration) bool {
	if err := conn.SetReadDeadline(time.Now().Add(d)); err != nil {
		return true
	}
	n, err := conn.Read(make([]byte, 1))
	return n == 0 && !errors.Is(err, os.ErrDeadlineExceeded)
}

// idleReader resets a timer to the limit before each read, unless the limit is 0.
type idleReader struct {
	reader io.Reader
	timer  *time.Timer
	limit  time.Duration
}

// Read implements io.Reader.
func (r *idleReader) Read(p []byte) (int, error) {
	if r.limit > 0 {
		r.timer.Reset(r.limit)
	}
	return r.reader.Read(p)
}
