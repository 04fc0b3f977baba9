package forward

import (
	"context"
	"io"
	"log/slog"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/filbertrill/filbertrill/internal/admission"
	"github.com/filbertrill/filbertrill/internal/result"
	"github.com/filbertrill/filbertrill/internal/routing"
	"github.com/filbertrill/filbertrill/internal/telemetry"
	"github.com/filbertrill/filbertrill/internal/upstream"
)

const (
	// defaultDeadline is the time for requests whose callers name none.
	defaultDeadline = 30 * time.Second
	// staleAfter is the age beyond which the configuration may lack a route or key that is
	// in force: a request that it does not allow is then refused for now, not for good.
	staleAfter = 1600 * time.Millisecond
	// restingRetry is the time after which a caller finds another daemon, or this one ready.
	restingRetry = 100 * time.Millisecond
	// maxHeldBytes bounds the bodies held at once.
	maxHeldBytes = 48 << 20
	// choiceAge is the time for the reading of the body after which the server is chosen
	// again: less than half the time between two views of the peers' loads.
	choiceAge = 20 * time.Millisecond
)

// Options are the parts that a Handler works with.
type Options struct {
	Protocol Protocol
	Config   func() *routing.Config
	Age      func(time.Time) time.Duration // of the configuration
	Pilot    *Pilot
	Pool     *upstream.Pool
	Crowded  func() bool // callers have so many connections that idle ones are given up
	Strained func() bool // the process gets too little processor time
	Metrics  *telemetry.Metrics
	Logger   *slog.Logger
}

// Handler answers callers. It is an http.Handler.
type Handler struct {
	Options
	closing atomic.Bool  // connections are handed back after their answer
	refuse  atomic.Bool  // no request is taken any more
	held    atomic.Int64 // bytes of bodies
	active  atomic.Int64 // requests
}

// NewHandler returns a handler.
func NewHandler(o Options) *Handler { return &Handler{Options: o} }

// HandBack sets whether every answer closes its connection, so that callers ask the
// directory where to connect.
func (h *Handler) HandBack(on bool) { h.closing.Store(on) }

// Active returns the number of requests under way.
func (h *Handler) Active() int64 { return h.active.Load() }

// Refuse lets every further request be refused as not run.
func (h *Handler) Refuse() { h.refuse.Store(true) }

// call is one request on its way.
type call struct {
	http     *http.Request
	writer   http.ResponseWriter
	envelope *Envelope
	route    *routing.Route
	service  *routing.Service
	account  string
	body     []byte
	arrived  time.Time
	deadline time.Time // of the caller
	limit    time.Time // the earlier of deadline and the route's timeout
	config   *routing.Config

	question admission.Question // of the last decision on admission
	decided  time.Time          // when it was taken
	attempts []attemptRecord
	begun    bool   // the answer has begun
	last     uint64 // id of the last event passed on
	events   int
	first    time.Duration // until the first event or the answer
}

// ServeHTTP answers one request.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	h.active.Add(1)
	defer h.active.Add(-1)
	c := &call{http: r, writer: w, arrived: time.Now()}
	if h.closing.Load() || h.refuse.Load() || len(r.TransferEncoding) > 0 {
		// Two lengths in one head would let bytes behind a chunked body pass for a request.
		w.Header().Set("Connection", "close")
	}
	err := h.handle(c)
	h.record(c, err)
	if err == nil {
		return
	}
	if c.begun || result.CodeOf(err) == result.CallerGone {
		panic(http.ErrAbortHandler) // an answer that ends early must not look complete
	}
	h.fail(w, result.From(err))
}

func (h *Handler) handle(c *call) error {
	if h.refuse.Load() {
		return result.New(result.Draining, "the daemon is stopping").After(restingRetry)
	}
	if err := h.admitCaller(c); err != nil {
		return err
	}
	choice, err := h.admitLoad(c)
	if err != nil {
		return err // net/http reads the rest of the body, and holds none of it
	}
	held, err := h.readBody(c)
	defer h.held.Add(-held)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithDeadline(c.http.Context(), c.limit)
	defer cancel()
	if time.Since(c.decided) > choiceAge {
		if fresh, ok, _ := h.Pilot.next(c, nil, true, time.Now()); ok {
			choice = fresh
		}
	}
	return h.attempt(ctx, c, choice)
}

// admitCaller finds route and account of the request.
func (h *Handler) admitCaller(c *call) error {
	c.config = h.Config()
	if c.config == nil {
		return result.New(result.NoConfiguration, "no configuration is known yet").After(restingRetry)
	}
	envelope, err := h.Protocol.Decode(c.http)
	if err != nil {
		return result.Wrap(err, result.BodyMalformed, "the head of the request is malformed")
	}
	c.envelope = envelope
	path := c.http.URL.EscapedPath()
	c.route = c.config.Match(c.http.Host, path)
	if c.route == nil {
		return h.unknown(result.New(result.PathUnknown, "no route of the host begins the path"))
	}
	if c.config.HasAccounts() && !c.route.Public {
		account := c.config.AccountOf(envelope.Key)
		if account == nil {
			return h.unknown(result.New(result.KeyUnknown, "the key belongs to no client account"))
		}
		c.account = account.Name
	}
	c.service = c.config.Service(c.route.Choose(envelope.ID))
	if c.service == nil {
		return result.New(result.NoServerJoined, "the service is not configured").After(restingRetry)
	}
	c.deadline = c.arrived.Add(defaultDeadline)
	if envelope.Deadline > 0 {
		c.deadline = c.arrived.Add(envelope.Deadline)
	}
	c.limit = c.deadline
	if t := c.arrived.Add(c.route.Timeout); c.route.Timeout > 0 && t.Before(c.limit) {
		c.limit = t
	}
	if limit := c.config.Limits.MaxBodyBytes; limit > 0 && c.http.ContentLength > limit {
		return result.New(result.BodyTooLarge, "the body is longer than %d bytes", limit)
	}
	return nil
}

// unknown returns the error, or one that promises nothing for good while a newer
// configuration may be in force.
func (h *Handler) unknown(err *result.Error) error {
	if age := h.Age(time.Now()); age > staleAfter {
		return result.Wrap(err, result.CutOff, "the configuration may be outdated").After(restingRetry)
	}
	return err
}

// readBody reads the whole body, for the case that it has to be sent again. It returns
// the bytes that it counts as held.
func (h *Handler) readBody(c *call) (int64, error) {
	limit := c.config.Limits.MaxBodyBytes
	if c.http.ContentLength == 0 || c.http.Body == nil {
		return 0, nil
	}
	if h.held.Load() > maxHeldBytes {
		return 0, result.New(result.DaemonFull, "the daemon holds its limit of bodies").After(restingRetry)
	}
	var err error
	if n := c.http.ContentLength; n > 0 {
		c.body = make([]byte, n)
		_, err = io.ReadFull(c.http.Body, c.body)
	} else {
		c.body, err = io.ReadAll(http.MaxBytesReader(c.writer, c.http.Body, max(limit, 1<<20)))
	}
	held := int64(len(c.body))
	h.held.Add(held)
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return held, result.Wrap(err, result.BodyTooLarge, "the body is longer than %d bytes", limit)
	case err != nil:
		return held, result.Wrap(err, result.CallerGone, "the body was not read")
	}
	return held, nil
}

// fail writes an error as the final answer.
func (h *Handler) fail(w http.ResponseWriter, e *result.Error) {
	header := w.Header()
	header.Set("Content-Type", "application/json")
	if e.RetryAfter > 0 {
		if h.Crowded() || h.Strained() {
			// Some callers come back on a new connection, and leave the old one idle: 4,128
			// descriptors of 4,100 were open on mtesz-cert scale-1. Under strain only new
			// connections wait for the work under way.
			header.Set("Connection", "close")
		}
		header.Set("Retry-After", strconv.FormatFloat(e.RetryAfter.Seconds(), 'f', 3, 64))
	}
	body := []byte(`{"code":` + strconv.Itoa(int(e.Code)) + `,"name":"` + e.Code.Name() + `"}` + "\n")
	header.Set("Content-Length", strconv.Itoa(len(body)))
	w.WriteHeader(e.Code.HTTPStatus())
	_, _ = w.Write(body) // a caller that has left needs no answer
}

// record writes the one line that explains the request afterwards, and its metrics.
func (h *Handler) record(c *call, err error) {
	took := time.Since(c.arrived)
	code := result.CodeOf(err)
	service, id, route := "", "", ""
	if c.service != nil {
		service = c.service.Name
	}
	if c.envelope != nil {
		id = c.envelope.ID
	}
	if c.route != nil {
		route = c.route.Name
	}
	h.Metrics.CountResult(code, service)
	h.Metrics.ObserveAnswer(c.account, service, took)
	if c.first > 0 {
		h.Metrics.ObserveFirstToken(c.account, service, c.first)
	}
	attrs := []slog.Attr{
		slog.String("request", id), slog.String("route", route), slog.String("account", c.account),
		slog.Int("code", int(code)), slog.Duration("took", took), slog.Duration("first", c.first),
		slog.Int("events", c.events),
	}
	if c.config != nil {
		attrs = append(attrs, slog.Uint64("config", c.config.Version))
	}
	for i, a := range c.attempts {
		attrs = append(attrs, slog.Any("attempt"+strconv.Itoa(i+1), a))
	}
	if err != nil {
		attrs = append(attrs, slog.String("error", errorText(err)))
	}
	h.Logger.LogAttrs(context.Background(), slog.LevelInfo, "Request ended.", attrs...)
}

func errorText(err error) string {
	text := err.Error()
	if i := strings.IndexByte(text, '\n'); i >= 0 {
		text = text[:i]
	}
	return text
}

func jitter() float64 { return rand.Float64() }
