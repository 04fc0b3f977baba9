package backend

import (
	"bytes"
	"context"
	"io"
	"net/http"

	"github.com/cockroachdb/errors"
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
}

// forwardedHeaders are the headers of a caller's request that are sent to plain services.
var forwardedHeaders = []string{"Content-Type", "Accept", "Accept-Language", "Idempotency-Key"}

// Call sends the request to the backend server and returns the complete response, whatever its status.
// A response of more than 8 MiB is an error. The error is marked ErrNotSent if no byte of the request can have reached the server.
func (p *PlainClient) Call(ctx context.Context, address string, r PlainRequest) (*PlainResponse, error) {
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
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes+1))
	if err != nil {
		return nil, errors.Wrap(err, "read response of plain service")
	}
	if len(body) > maxResponseBytes {
		return nil, errors.Newf("response of plain service is longer than %d bytes", maxResponseBytes)
	}
	return &PlainResponse{Status: resp.StatusCode, Header: resp.Header, Body: body}, nil
}
