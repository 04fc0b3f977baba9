package backend

import (
	"bytes"
	"cmp"
	"context"
	"io"
	"net/http"
	"net/http/httptrace"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/filbertrill/filbertrill/internal/http1"
	"github.com/filbertrill/filbertrill/internal/liveness"
	"github.com/filbertrill/filbertrill/internal/upstream"
)

// PlainClient is an HTTP client for plain services. It is safe for concurrent use.
type PlainClient struct {
	client   *http.Client
	liveness *liveness.Checker
	framings liveness.Framings // by address
}

// NewPlainClient returns a client that opens a connection for each request. Plain services don't say
// which request an answer belongs to, so that a late second copy of an answer would pass for the
// answer to the next request on its connection. The client does not follow redirects.
func NewPlainClient() *PlainClient {
	return &PlainClient{liveness: liveness.NewChecker(), client: &http.Client{
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
	// EndConfirmed is set if the body ends with its connection, and the process that has sent it was seen to run behind it.
	EndConfirmed bool
}

// forwardedHeaders are the headers of a caller's request that are sent to plain services.
var forwardedHeaders = []string{"Content-Type", "Accept", "Accept-Language", "Idempotency-Key"}

// Call sends the request to the backend server and returns the complete response, whatever its status.
// A response of more than 8 MiB is an error, and so is one that ends with its connection unless its process is seen to run on. The error is marked ErrNotSent if no
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
	end := &endProof{p: p, address: address}
	defer func() { end.proof.End() }()
	req, err := http.NewRequestWithContext(end.withConn(ctx), r.Method, "http://"+address+r.Path, r.body())
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
	unframed := http1.Framing(resp) == http1.FramedByConnection
	if unframed || resp.StatusCode/100 == 2 {
		p.framings.Record(address, address, unframed)
	}
	if unframed {
		end.proof.Keep()
	}
	body, err := io.ReadAll(io.LimitReader(&idleReader{reader: resp.Body, timer: timer, limit: r.IdleLimit}, maxResponseBytes+1))
	if err != nil {
		return nil, errors.Wrap(err, "read response of plain service")
	}
	if len(body) > maxResponseBytes {
		return nil, errors.Newf("response of plain service is longer than %d bytes", maxResponseBytes)
	}
	response := &PlainResponse{Status: resp.StatusCode, Header: resp.Header, Body: body}
	if unframed {
		timer.Reset(cmp.Or(r.IdleLimit, maxConfirmTime))
		if err := end.confirm(ctx); err != nil {
			return nil, err
		}
		response.EndConfirmed = true
	}
	return response, nil
}

// maxConfirmTime is the time for which the server of a request without an idle limit is asked behind its response.
const maxConfirmTime = 30 * time.Second

// endProof is to show that the server which has sent a response runs behind it, if the response may end with its connection.
type endProof struct {
	p       *PlainClient
	address string
	proof   *liveness.Proof // nil before the request has its connection, and for servers whose responses have a length or chunks
}

// withConn returns a context for a request. The proof begins when the request has its connection.
func (e *endProof) withConn(ctx context.Context) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) {
		if e.p.framings.MayEndWithConnection(e.address, e.address) {
			e.proof = e.p.liveness.Begin(ctx, upstream.Endpoint{Address: e.address}, func() upstream.Question { return upstream.Ping(e.address) })
		}
	}})
}

// confirm returns an error unless the process that has sent the response runs behind its end. A server that is silent is asked until the
// context ends.
func (e *endProof) confirm(ctx context.Context) error {
	_, err := e.proof.Confirm(ctx)
	return errors.Wrap(err, "end of the response of a plain service")
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
