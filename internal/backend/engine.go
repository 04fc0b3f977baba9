// Package backend holds the clients of model engines and plain services.
package backend

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/tmaxmax/go-sse"
)

// HeaderRequestID carries the id of an attempt, which the engine echoes.
const HeaderRequestID = "X-Request-Id"

// Sizes and times of the clients.
const (
	dialTimeout     = 2 * time.Second
	maxEventBytes   = 4 << 20
	maxAnswerBytes  = 64 << 20
	idleConnections = 256 // kept for each backend server
	idleTimeout     = 30 * time.Second
)

// Errors of the clients.
var (
	// ErrNotSent means that no byte of the request can have reached the backend server.
	ErrNotSent = errors.New("request was not sent")
	// ErrForeignEvent means that an event belongs to another attempt.
	ErrForeignEvent = errors.New("event of another attempt")
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
		MaxIdleConnsPerHost: idleConnections,
		IdleConnTimeout:     idleTimeout,
		DisableCompression:  true,
	}
}

// Engine is a client of model engines.
type Engine struct {
	client *http.Client
}

// NewEngine returns a client on the transport.
func NewEngine(transport http.RoundTripper) *Engine {
	return &Engine{client: &http.Client{Transport: transport}}
}

// Event is one server-sent event of an answer.
type Event struct {
	Offset int    // of the token in the answer, from 0; -1 for an event without one
	Data   string // JSON of a chunk, or Done
}

// Done is the data of the last event of an answer.
const Done = "[DONE]"

// StatusError is an answer of a backend server other than 200.
type StatusError struct {
	Status int
	Body   []byte
}

// Error tells the status.
func (e *StatusError) Error() string { return "backend server answered " + strconv.Itoa(e.Status) }

// Stream posts the request and returns its events until the answer ends. The caller
// stops the engine by ending the context.
func (e *Engine) Stream(ctx context.Context, address, attempt string, body []byte) (func(func(Event, error) bool), error) {
	resp, err := e.post(ctx, address, attempt, body)
	if err != nil {
		return nil, err
	}
	return events(resp.Body, attempt), nil
}

func (e *Engine) post(ctx context.Context, address, attempt string, body []byte) (*http.Response, error) {
	url := "http://" + address + "/v1/chat/completions"
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return nil, errors.Mark(err, ErrNotSent)
	}
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set(HeaderRequestID, attempt)
	resp, err := e.client.Do(req)
	if err != nil {
		return nil, errors.Wrap(err, "post to engine")
	}
	if resp.StatusCode != http.StatusOK {
		return nil, statusError(resp)
	}
	return resp, nil
}

func statusError(resp *http.Response) error {
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxEventBytes))
	if err != nil {
		return errors.Wrap(err, "read error answer")
	}
	return &StatusError{Status: resp.StatusCode, Body: body}
}

func events(body io.ReadCloser, attempt string) func(func(Event, error) bool) {
	return func(yield func(Event, error) bool) {
		defer func() { _ = body.Close() }()
		for raw, err := range sse.Read(body, &sse.ReadConfig{MaxEventSize: maxEventBytes}) {
			if err != nil {
				yield(Event{}, errors.Wrap(err, "read event"))
				return
			}
			event, err := parseEvent(raw, attempt)
			if errors.Is(err, ErrForeignEvent) {
				continue
			}
			if !yield(event, err) || err != nil {
				return
			}
		}
	}
}

// parseEvent checks that the event belongs to the attempt.
func parseEvent(raw sse.Event, attempt string) (Event, error) {
	event := Event{Offset: -1, Data: raw.Data}
	if raw.LastEventID == "" {
		return event, nil
	}
	id, offset, ok := strings.Cut(raw.LastEventID, ":")
	if !ok || id != attempt {
		return Event{}, ErrForeignEvent
	}
	n, err := strconv.Atoi(offset)
	if err != nil {
		return Event{}, errors.Wrapf(err, "event id %q", raw.LastEventID)
	}
	event.Offset = n
	return event, nil
}

// Usage is the count of tokens that an engine reports at the end of an answer.
type Usage struct {
	PromptTokens     int `json:"prompt_tokens"`
	CompletionTokens int `json:"completion_tokens"`
}

// Whole posts the request and returns the whole answer with its usage.
func (e *Engine) Whole(ctx context.Context, address, attempt string, body []byte) ([]byte, Usage, error) {
	resp, err := e.post(ctx, address, attempt, body)
	if err != nil {
		return nil, Usage{}, err
	}
	defer func() { _ = resp.Body.Close() }()
	answer, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswerBytes))
	if err != nil {
		return nil, Usage{}, errors.Wrap(err, "read answer")
	}
	var parsed struct {
		Usage Usage `json:"usage"`
	}
	if err := json.Unmarshal(answer, &parsed); err != nil {
		return nil, Usage{}, errors.Wrap(err, "answer is not JSON")
	}
	return answer, parsed.Usage, nil
}
