package backend

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"strconv"
	"sync/atomic"

	"github.com/cockroachdb/errors"
)

// headerLastEventID carries the id of the last event that the client received.
const headerLastEventID = "Last-Event-ID"

// maxErrorBodyBytes is the maximum number of bytes read of a response with a status other than 200.
const maxErrorBodyBytes = 1 << 20

// ErrAttemptUnknown means that the engine does not know the attempt to resume.
var ErrAttemptUnknown = errors.New("engine does not know the attempt")

// EngineClient is an HTTP client for model engines. It is safe for concurrent use.
type EngineClient struct {
	client *http.Client
}

// NewEngineClient returns a client that uses the transport.
func NewEngineClient(transport http.RoundTripper) *EngineClient {
	return &EngineClient{client: &http.Client{Transport: transport}}
}

// Start posts a request for a streamed answer and returns its stream. It returns a *StatusError if the
// status is not 200, and an error marked ErrNotSent if no byte of the request can have reached the
// engine. Cancelling ctx closes the connection.
func (e *EngineClient) Start(ctx context.Context, address, attemptID string, body []byte) (*Stream, error) {
	gotConn := &atomic.Bool{}
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { gotConn.Store(true) },
	})
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+"/v1/chat/completions", bytes.NewReader(body))
	if err != nil {
		return nil, errors.Mark(err, ErrNotSent)
	}
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set(HeaderRequestID, attemptID)
	stream, err := e.openStream(req, attemptID)
	if err != nil && !gotConn.Load() {
		return nil, errors.Mark(err, ErrNotSent)
	}
	return stream, err
}

// Resume returns the stream of an attempt after the event with offset lastOffset, or from the start if
// that is -1. It returns an error marked ErrAttemptUnknown if the engine does not know the attempt.
func (e *EngineClient) Resume(ctx context.Context, address, attemptID string, lastOffset int) (*Stream, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, attemptURL(address, attemptID), nil)
	if err != nil {
		return nil, errors.Wrap(err, "resume")
	}
	if lastOffset >= 0 {
		req.Header.Set(headerLastEventID, attemptID+":"+strconv.Itoa(lastOffset))
	}
	stream, err := e.openStream(req, attemptID)
	var status *StatusError
	if errors.As(err, &status) && status.Status < http.StatusInternalServerError && status.Status != http.StatusTooManyRequests {
		return nil, errors.Mark(err, ErrAttemptUnknown)
	}
	return stream, err
}

// Cancel cancels the attempt at the engine. It returns ErrAttemptUnknown if the engine does not run the attempt.
func (e *EngineClient) Cancel(ctx context.Context, address, attemptID string) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodDelete, attemptURL(address, attemptID), nil)
	if err != nil {
		return errors.Wrap(err, "cancel")
	}
	resp, err := e.client.Do(req)
	if err != nil {
		return errors.Wrap(err, "cancel")
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode >= http.StatusInternalServerError {
		return readStatusError(resp)
	}
	if err := discardBody(resp.Body); err != nil {
		return errors.Wrap(err, "cancel")
	}
	if resp.StatusCode >= http.StatusBadRequest {
		return ErrAttemptUnknown
	}
	return nil
}

func attemptURL(address, attemptID string) string {
	return "http://" + address + "/v1/chat/completions/" + url.PathEscape(attemptID)
}

func (e *EngineClient) openStream(req *http.Request, attemptID string) (*Stream, error) {
	resp, err := e.client.Do(req)
	if err != nil {
		return nil, errors.Wrap(err, "send request to engine")
	}
	if resp.StatusCode != http.StatusOK {
		defer func() { _ = resp.Body.Close() }()
		return nil, readStatusError(resp)
	}
	return &Stream{body: resp.Body, attemptID: attemptID}, nil
}

func readStatusError(resp *http.Response) error {
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxErrorBodyBytes))
	if err != nil {
		return errors.Wrap(err, "read error response of engine")
	}
	return &StatusError{Status: resp.StatusCode, Header: resp.Header, Body: body}
}
