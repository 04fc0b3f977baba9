package forward

import (
	"cmp"
	"context"
	"fmt"
	"log/slog"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/filbertrill/filbertrill/internal/callerconn"
	"github.com/filbertrill/filbertrill/internal/chain"
	"github.com/filbertrill/filbertrill/internal/eventstream"
	"github.com/filbertrill/filbertrill/internal/fairness"
	"github.com/filbertrill/filbertrill/internal/liveness"
	"github.com/filbertrill/filbertrill/internal/placement"
	"github.com/filbertrill/filbertrill/internal/result"
	"github.com/filbertrill/filbertrill/internal/routing"
	"github.com/filbertrill/filbertrill/internal/scheduler"
	"github.com/filbertrill/filbertrill/internal/telemetry"
	"github.com/filbertrill/filbertrill/internal/topology"
	"github.com/filbertrill/filbertrill/internal/upstream"
)

// defaultRetryAfter is the Retry-After of refusals for reasons other than load. By then the caller
// can reach another daemon, or this one is ready again.
const defaultRetryAfter = 100 * time.Millisecond

// Options are the dependencies of a Handler.
type Options struct {
	Zone      string // of this daemon
	Protocol  Protocol
	Config    func() *routing.Config
	ConfigAge func(time.Time) time.Duration // time since the configuration was known to be the newest
	Scheduler *scheduler.Scheduler
	Origins   Origins
	// ServerKnowledge returns what is known of a server, and the age of the list of servers. It may be nil.
	ServerKnowledge    func(server string, now time.Time) (topology.Knowledge, time.Duration)
	Pool               *upstream.Pool
	ConnectionPressure func() bool // callers hold so many connections that refusals should close theirs
	Overloaded         func() bool // the process gets too little processor time
	BodyMemory         int64       // bytes for the bodies of requests in progress; 0 for a default
	AnswerMemory       int64       // bytes for answers in progress, beyond a few KiB of each; 0 for a default
	Metrics            *telemetry.Metrics
	Fairness           *fairness.Meter // of requests to engines; nil for one of its own
	Logger             *slog.Logger
}

// Handler is the http.Handler for callers. It passes each request through a chain of filters and
// forwards it to a backend server. The server's ConnContext must be callerconn.With: without it, streams
// are not forwarded to callers that speak HTTP/1.0, and callers that leave are noticed late.
type Handler struct {
	Options
	chain            chain.Handler[*call]
	started          time.Time
	closeConnections atomic.Bool // see SetCloseConnections
	refuseRequests   atomic.Bool // see RefuseRequests
	bodyMemory       bodyMemory
	answerMemory     answerMemory
	liveness         *liveness.Checker
	framings         liveness.Framings
	exit             context.Context // see EndRequests
	endRequests      context.CancelFunc
	activeRequests   atomic.Int64
	requests         atomic.Int64 // that have arrived
}

// NewHandler returns a handler for the dependencies.
func NewHandler(o Options) *Handler {
	h := &Handler{Options: o, started: time.Now(), liveness: liveness.NewChecker()}
	h.Fairness = cmp.Or(o.Fairness, &fairness.Meter{})
	h.bodyMemory.limit = cmp.Or(o.BodyMemory, defaultBodyMemory)
	h.answerMemory.limit = o.AnswerMemory
	h.exit, h.endRequests = context.WithCancel(context.Background())
	h.chain = chain.Link[*call](chain.HandlerFunc[*call](h.sendWithRetries),
		h.record,
		h.refuseWhenStopping,
		h.resolve,
		h.admit,
		h.bufferBody,
	)
	return h
}

// SetCloseConnections sets whether connections are closed after each answer, so that callers look
// up a daemon in the directory again.
func (h *Handler) SetCloseConnections(on bool) { h.closeConnections.Store(on) }

// ActiveRequests returns the number of requests in progress.
func (h *Handler) ActiveRequests() int64 { return h.activeRequests.Load() }

// Requests returns the number of requests that have arrived so far.
func (h *Handler) Requests() int64 { return h.requests.Load() }

// RefuseRequests makes the handler refuse all further requests with result.Draining.
func (h *Handler) RefuseRequests() { h.refuseRequests.Store(true) }

// EndRequests ends the requests that were passed on to servers, before the daemon exits. Callers to which nothing was forwarded get an answer.
func (h *Handler) EndRequests() { h.endRequests() }

// call is a request in progress and its state. The filters of the chain fill it in.
type call struct {
	request         *http.Request
	writer          http.ResponseWriter
	envelope        *Envelope
	route           *routing.Route
	service         *routing.Service
	account         string
	body            []byte
	bodyReservation *bodyReservation // nil before the body is read
	bodyRead        bool
	arrivedAt       time.Time
	deadline        time.Time // the earlier of the caller's deadline and the route's timeout
	config          *routing.Config
	rank            int      // see routing.Config.Rank
	regions         []string // in which the request may be processed; nil for all

	version          *string          // the only version that may serve the request; nil for any
	versionUnknown   bool             // of the server that the last request of a resumable stream was sent to
	originBasis      OriginBasis      // what version is known from, for requests that take up a stream
	choice           placement.Choice // the server of the next attempt
	decidedAt        time.Time        // time of the admission decision
	chosenAt         time.Time        // time of the choice
	trial            bool             // see scheduler.Decision
	admission        *admissionRecord // nil before the decision, and for plain services
	attempts         []attemptRecord
	knownDigest      *uint64       // see digest; nil before its first use
	serverFailure    *failedAnswer // last answer with a server error; nil for none
	answerStarted    bool          // the header of the answer was written
	endMark          callerconn.EndMark
	events           eventstream.Tracker // of a stream
	timeToFirstEvent time.Duration       // from arrivedAt to the first event or the buffered answer
	lastEventAt      time.Time           // when events were last forwarded
	longestGap       time.Duration       // between two forwards of events
}

// refuseWhenStopping is the filter that refuses requests after RefuseRequests was called.
func (h *Handler) refuseWhenStopping(next chain.Handler[*call]) chain.Handler[*call] {
	return chain.HandlerFunc[*call](func(ctx context.Context, c *call) error {
		if err := h.checkStopping(); err != nil {
			return err
		}
		return next.Handle(ctx, c)
	})
}

// checkStopping returns an error after RefuseRequests was called.
func (h *Handler) checkStopping() error {
	if h.refuseRequests.Load() {
		return result.New(result.Draining, "the daemon is stopping").WithRetryAfter(defaultRetryAfter)
	}
	return nil
}

// ServeHTTP implements http.Handler.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	h.requests.Add(1)
	h.activeRequests.Add(1)
	defer h.activeRequests.Add(-1)
	c := &call{request: r, writer: w, arrivedAt: time.Now()}
	if h.closeConnections.Load() || h.refuseRequests.Load() || len(r.TransferEncoding) > 0 {
		// A chunked request may also have a Content-Length. Closing the connection prevents
		// request smuggling: no bytes after the body can pass for another request.
		w.Header().Set("Connection", "close")
	}
	err := h.chain.Handle(r.Context(), c)
	if err == nil {
		err = c.endMark.Complete()
	}
	if err == nil {
		return
	}
	if c.answerStarted || result.CodeOf(err) == result.CallerGone {
		panic(http.ErrAbortHandler) // a truncated answer must not look complete
	}
	e := result.From(err)
	if e.Code == result.Internal {
		clear(w.Header()) // a panic may have left those of an answer that was not written
		w.Header().Set("Connection", "close")
	}
	h.writeError(w, e)
}

// writeError writes the error as the answer.
func (h *Handler) writeError(w http.ResponseWriter, e *result.Error) {
	header := w.Header()
	header.Set("Content-Type", "application/json")
	if e.RetryAfter > 0 {
		if h.ConnectionPressure() || h.Overloaded() {
			// Some callers retry on a new connection and leave the old one idle, until file
			// descriptors run out (4,128 open at a limit of 4,100). On an overloaded daemon
			// only requests on new connections wait for earlier work.
			header.Set("Connection", "close")
		}
		header.Set("Retry-After", formatRetryAfter(e.RetryAfter))
	}
	body := errorBody(e.Code)
	header.Set("Content-Length", strconv.Itoa(len(body)))
	w.WriteHeader(e.Code.HTTPStatus())
	_, _ = w.Write(body) // a caller that has disconnected needs no answer
}

// errorBody returns the JSON body of a result.
func errorBody(code result.Code) []byte {
	return []byte(`{"code":` + strconv.Itoa(int(code)) + `,"name":"` + code.Name() + `"}` + "\n")
}

// formatRetryAfter returns the value of the Retry-After header, in seconds with three decimals.
func formatRetryAfter(d time.Duration) string { return strconv.FormatFloat(d.Seconds(), 'f', 3, 64) }

// RefusalResponse returns a complete HTTP response for a connection that is refused before its
// request is read. The response closes the connection.
func RefusalResponse(code result.Code, retryAfter time.Duration) []byte {
	body := errorBody(code)
	return fmt.Appendf(nil, "HTTP/1.1 %d %s\r\nContent-Type: application/json\r\nRetry-After: %s\r\n"+
		"Content-Length: %d\r\nConnection: close\r\n\r\n%s",
		code.HTTPStatus(), http.StatusText(code.HTTPStatus()), formatRetryAfter(retryAfter), len(body), body)
}
