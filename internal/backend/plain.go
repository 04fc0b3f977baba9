package backend

import (
	"bytes"
	"context"
	"io"
	"net/http"

	"github.com/cockroachdb/errors"
)

// Plain is a client of plain services.
type PlainClient struct {
	repeatable *http.Client
	singleUse  *http.Client
}

// NewPlain returns a client that sends repeatable requests on the transport, and others on
// one of its own. It follows no redirects.
func NewPlainClient(transport http.RoundTripper) *PlainClient {
	return &PlainClient{repeatable: newHTTPClient(transport), singleUse: newHTTPClient(NewSingleUseTransport())}
}

func newHTTPClient(transport http.RoundTripper) *http.Client {
	return &http.Client{
		Transport: transport,
		CheckRedirect: func(*http.Request, []*http.Request) error {
			return http.ErrUseLastResponse
		},
	}
}

// PlainRequest is a call of a plain service.
type PlainRequest struct {
	Method    string
	Path      string // with the query
	Header    http.Header
	Body      []byte
	AttemptID string
	// Repeatable allows the client to send the request again by itself.
	Repeatable bool
}

// body returns the body without a way to read it anew.
func (r *PlainRequest) body() io.Reader {
	if len(r.Body) == 0 {
		return http.NoBody
	}
	return io.NopCloser(bytes.NewReader(r.Body))
}

// PlainAnswer is the whole answer of a plain service.
type PlainResponse struct {
	Status int
	Header http.Header
	Body   []byte
}

// passedHeaders are those of a caller that plain services receive.
var forwardedHeaders = []string{"Content-Type", "Accept", "Accept-Language", "Idempotency-Key"}

// Call runs the request on the backend server and returns its whole answer. The error is
// ErrNotSent when no byte of the request can have reached the server.
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
	client := p.singleUse
	if r.Repeatable {
		client = p.repeatable
	}
	resp, err := client.Do(req)
	if err != nil {
		return nil, errors.Wrap(err, "call plain service")
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes))
	if err != nil {
		return nil, errors.Wrap(err, "read answer")
	}
	return &PlainResponse{Status: resp.StatusCode, Header: resp.Header, Body: body}, nil
}
