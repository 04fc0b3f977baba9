package forward

import (
	"context"
	"fmt"
	"log/slog"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/filbertrill/filbertrill/internal/chain"
	"github.com/filbertrill/filbertrill/internal/placement"
	"github.com/filbertrill/filbertrill/internal/result"
	"github.com/filbertrill/filbertrill/internal/routing"
	"github.com/filbertrill/filbertrill/internal/scheduler"
	"github.com/filbertrill/filbertrill/internal/telemetry"
	"github.com/filbertrill/filbertrill/internal/upstream"
)

// restingRetry is the time after which a caller finds another daemon, or this one ready.
const defaultRetryAfter = 100 * time.Millisecond

// Options are the parts that a Handler works with.
type Options struct {
	Protocol            Protocol
	Config              func() *routing.Config
	ConfigAge           func(time.Time) time.Duration // of the configuration
	Scheduler           *scheduler.Scheduler
	Pool                *upstream.Pool
	NearConnectionLimit func() bool // callers have so many connections that idle ones are given up
	Overloaded          func() bool // the process gets too little processor time
	Metrics             *telemetry.Metrics
	Logger              *slog.Logger
}

// Handler answers callers. It is an http.Handler.
type Handler struct {
	Options
	chain            chain.Handler[*call]
	started          time.Time
	closeConnections atomic.Bool  // connections are handed back after their answer
	refuseRequests   atomic.Bool  // no request is taken any more
	bufferedBytes    atomic.Int64 // bytes of bodies
	activeRequests   atomic.Int64 // requests
}

// NewHandler returns a handler.
func NewHandler(o Options) *Handler {
	h := &Handler{Options: o, started: time.Now()}
	h.chain = chain.Link[*call](chain.HandlerFunc[*call](h.sendWithRetries),
		h.record,
		h.refuseWhenStopping,
		h.resolve,
		h.admit,
		h.bufferBody,
	)
	return h
}

// HandBack sets whether every answer closes its connection, so that callers ask the
// directory where to connect.
func (h *Handler) SetCloseConnections(on bool) { h.closeConnections.Store(on) }

// Active returns the number of requests under way.
func (h *Handler) ActiveRequests() int64 { return h.activeRequests.Load() }

// Refuse lets every further request be refused as not run.
func (h *Handler) RefuseRequests() { h.refuseRequests.Store(true) }

// call is one request on its way.
type call struct {
	request   *http.Request
	writer    http.ResponseWriter
	envelope  *Envelope
	route     *routing.Route
	service   *routing.Service
	account   string
	body      []byte
	arrivedAt time.Time
	deadline  time.Time // the earlier of the caller's deadline and the route's timeout
	config    *routing.Config

	choice           placement.Choice // the server to send to
	decidedAt        time.Time        // when the request was admitted
	attempts         []attemptRecord
	serverFailure    *failedAnswer // of the last server that answered that it failed; nil for none
	answerStarted    bool          // the answer has begun
	lastEventID      uint64        // id of the last event passed on
	eventCount       int
	timeToFirstEvent time.Duration // until the first event or the answer
}

// refuseWhenStopping is the filter that takes no request in the last part of a planned stop.
func (h *Handler) refuseWhenStopping(next chain.Handler[*call]) chain.Handler[*call] {
	return chain.HandlerFunc[*call](func(ctx context.Context, c *call) error {
		if h.refuseRequests.Load() {
			return result.New(result.Draining, "the daemon is stopping").After(defaultRetryAfter)
		}
		return next.Handle(ctx, c)
	})
}

// ServeHTTP answers one request.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	h.activeRequests.Add(1)
	defer h.activeRequests.Add(-1)
	c := &call{request: r, writer: w, arrivedAt: time.Now()}
	if h.closeConnections.Load() || h.refuseRequests.Load() || len(r.TransferEncoding) > 0 {
		// Two lengths in one head would let bytes behind a chunked body pass for a request.
		w.Header().Set("Connection", "close")
	}
	err := h.chain.Handle(r.Context(), c)
	if err == nil {
		return
	}
	if c.answerStarted || result.CodeOf(err) == result.CallerGone {
		panic(http.ErrAbortHandler) // an answer that ends early must not look complete
	}
	h.writeError(w, result.From(err))
}

// fail writes an error as the final answer.
func (h *Handler) writeError(w http.ResponseWriter, e *result.Error) {
	header := w.Header()
	header.Set("Content-Type", "application/json")
	if e.RetryAfter > 0 {
		if h.NearConnectionLimit() || h.Overloaded() {
			// Some callers come back on a new connection, and leave the old one idle: 4,128
			// descriptors of 4,100 were open on mtesz-cert scale-1. Under strain only new
			// connections wait for the work under way.
			header.Set("Connection", "close")
		}
		header.Set("Retry-After", formatRetryAfter(e.RetryAfter))
	}
	body := errorBody(e.Code)
	header.Set("Content-Length", strconv.Itoa(len(body)))
	w.WriteHeader(e.Code.HTTPStatus())
	_, _ = w.Write(body) // a caller that has left needs no answer
}

func errorBody(code result.Code) []byte {
	return []byte(`{"code":` + strconv.Itoa(int(code)) + `,"name":"` + code.Name() + `"}` + "\n")
}

func formatRetryAfter(d time.Duration) string { return strconv.FormatFloat(d.Seconds(), 'f', 3, 64) }

// UnreadRefusal returns the whole answer for a connection that is refused before anything has
// been read from it: nothing of its request can have run.
func RefusalResponse(code result.Code, retryAfterDelay time.Duration) []byte {
	body := errorBody(code)
	return fmt.Appendf(nil, "HTTP/1.1 %d %s\r\nContent-Type: application/json\r\nRetry-After: %s\r\n"+
		"Content-Length: %d\r\nConnection: close\r\n\r\n%s",
		code.HTTPStatus(), http.StatusText(code.HTTPStatus()), formatRetryAfter(retryAfterDelay), len(body), body)
}
