package forward

import (
	"context"
	"io"
	"log/slog"
	"net/http"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/filbertrill/filbertrill/internal/placement"
	"github.com/filbertrill/filbertrill/internal/result"
	"github.com/filbertrill/filbertrill/internal/routing"
	"github.com/filbertrill/filbertrill/internal/upstream"
)

const (
	// maxUnsent is the number of servers that may turn out to be out of reach before a request
	// is given back: with a quarter of the servers dark, one request in 256 meets four.
	maxUnsent = 4
	// maxForeign is the number of answers to other requests that are skipped on a connection.
	maxForeign = 2
	// maxWhole is the longest answer, in bytes, that is held until it is whole.
	maxWhole = 1 << 20
	// minLeft is the least time with which another attempt makes sense.
	minLeft = 20 * time.Millisecond
)

// reach tells how far an attempt got.
type reach int

const (
	unsent  reach = iota // no byte has left
	notRun               // the server says that it has not run the request
	unknown              // the server may have run it
	partly               // part of the answer has been passed on
	whole                // the caller has the whole answer
)

// attemptRecord is what the log says of an attempt.
type attemptRecord struct {
	server    string
	predicted time.Duration
	uncached  int
	running   int
	pending   int
	home      bool
	source    string // of fetched prompt parts
	fetched   int    // tokens
	reach     reach
	status    int
	took      time.Duration
	reused    bool
}

// LogValue returns the record for the log.
func (a attemptRecord) LogValue() slog.Value {
	return slog.StringValue(a.server +
		" predicted=" + a.predicted.String() +
		" uncached=" + strconv.Itoa(a.uncached) +
		" running=" + strconv.Itoa(a.running) +
		" pending=" + strconv.Itoa(a.pending) +
		" home=" + strconv.FormatBool(a.home) +
		" source=" + a.source +
		" fetched=" + strconv.Itoa(a.fetched) +
		" reused=" + strconv.FormatBool(a.reused) +
		" reach=" + strconv.Itoa(int(a.reach)) +
		" status=" + strconv.Itoa(a.status) +
		" took=" + a.took.String())
}

// attempt is the end of the chain: it sends the request to servers, first to the chosen one,
// until one has answered.
func (h *Handler) attempt(ctx context.Context, c *call) error {
	ctx, cancel := context.WithDeadline(ctx, c.limit)
	defer cancel()
	tried := make(map[string]bool, 2)
	received, missed := 0, 0
	for {
		if callerLeft(c.http.Context()) {
			return result.New(result.CallerGone, "the caller went away")
		}
		far, err := h.try(ctx, c, c.choice)
		if far == unsent {
			missed++
		} else {
			received++
		}
		if err == nil {
			return nil
		}
		tried[c.choice.Server.ID] = true
		if callerGone(c.http.Context()) {
			return result.Wrap(err, result.CallerGone, "the caller went away")
		}
		if missed >= maxUnsent || !again(c, far, received) {
			return ended(c, far, err)
		}
		var ok, allowed bool
		c.choice, ok, allowed = h.Scheduler.DecideRetry(c.ask(), tried, far == unsent, time.Now())
		if !ok || !allowed {
			return ended(c, far, err)
		}
	}
}

// again reports whether another attempt may follow one that got so far.
func again(c *call, far reach, received int) bool {
	if received >= max(1, c.route.MaxAttempts) || time.Until(c.limit) < minLeft {
		return false
	}
	switch far {
	case unsent, notRun:
		return true
	case unknown:
		return c.route.Repeatable()
	case partly:
		return c.route.Kind == routing.Stream && c.route.Resumable && c.events > 0
	case whole:
		return false
	}
	return false
}

// ended returns the final result of a request whose last attempt got so far. A promise
// that it has not run needs that no attempt may have run.
func ended(c *call, far reach, err error) error {
	mayHaveRun := false
	for _, a := range c.attempts {
		mayHaveRun = mayHaveRun || a.reach == unknown || a.reach == partly
	}
	late := !time.Now().Before(c.limit)
	switch {
	case c.failure != nil && !c.begun:
		c.write(c.failure.response, c.failure.body) // more than we could say
		return nil
	case far == partly:
		return result.Wrap(err, result.StreamBroken, "the answer broke off")
	case !mayHaveRun:
		return result.Wrap(err, result.ServersBusy, "no backend server took the request").After(restingRetry)
	case late:
		return result.Wrap(err, result.ServerSilent, "no answer in time")
	default:
		return result.Wrap(err, result.AnswerLost, "the answer was lost")
	}
}

// try sends the request to one server and passes its answer on.
func (h *Handler) try(ctx context.Context, c *call, choice placement.Choice) (reach, error) {
	started := time.Now()
	record := attemptRecord{
		server:    choice.Server.ID,
		predicted: choice.Predicted,
		uncached:  choice.UncachedTokens,
		running:   choice.Load.Running,
		pending:   choice.Load.PendingTokens,
		home:      choice.Home,
		source:    choice.Source.ID,
		fetched:   choice.FetchedTokens,
	}
	attempt := h.Scheduler.Start(c.ask(), choice, started)
	far, err := h.exchange(ctx, c, choice, attempt, &record)
	outcome := placement.Served
	if err != nil {
		outcome = placement.Failed
		if ctx.Err() != nil {
			outcome = placement.Abandoned
		}
	}
	h.Scheduler.End(attempt, outcome, time.Now())
	record.reach, record.took = far, time.Since(started)
	c.attempts = append(c.attempts, record)
	return far, err
}

// exchange sends the request over a connection and passes the answer on.
func (h *Handler) exchange(ctx context.Context, c *call, choice placement.Choice, a *placement.Attempt, record *attemptRecord) (reach, error) {
	s := choice.Server
	endpoint := upstream.Endpoint{Address: s.Address, ID: s.ID, Born: s.Incarnation}
	limit := upstream.Limit(c.service.MaxConnections, h.Scheduler.Daemons(), record.running)
	conn, err := h.Pool.Get(ctx, endpoint, limit)
	if err != nil {
		return unsent, err
	}
	record.reused = conn.Reused()
	if callerLeft(c.http.Context()) {
		h.Pool.Put(endpoint, conn) // unused: opening it took a while
		return unsent, errors.New("the caller went away before the request was sent")
	}
	watch := newWatch(ctx, conn, c)
	far, err := h.converse(c, choice, conn, a, watch, record)
	if !watch.stop() || err != nil {
		conn.Spoil()
	}
	h.Pool.Put(endpoint, conn)
	return far, err
}

func (h *Handler) converse(c *call, choice placement.Choice, conn *upstream.Conn, a *placement.Attempt, watch *watch, record *attemptRecord) (reach, error) {
	lastEvent := c.envelope.LastEventID
	if c.events > 0 {
		lastEvent = strconv.FormatUint(c.last, 10)
	}
	head := h.Protocol.EncodeRequestHeader(ServerRequest{
		Request:             c.http,
		Envelope:            c.envelope,
		Account:             c.account,
		Server:              choice.Server,
		PrefixSourceAddress: choice.Source.Address,
		TimeToDeadline:      time.Until(c.limit),
		LastEventID:         lastEvent,
		BodyBytes:           len(c.body),
	})
	left, sendErr := conn.Send(head, c.body)
	if !left {
		return unsent, sendErr
	}
	// A server may answer before it has read the whole body.
	response, answer, err := h.receive(c, conn)
	if err != nil {
		return unknown, errors.CombineErrors(err, sendErr)
	}
	if sendErr != nil {
		conn.Spoil()
	}
	record.status = response.StatusCode
	switch {
	case answer.NotRun, answer.WrongServer:
		drain(conn, response)
		return notRun, errors.Newf("server did not run the request, status %d", response.StatusCode)
	case response.Header.Get("Content-Encoding") != "":
		conn.Spoil()
		return unknown, errors.New("answer has an encoding that nobody asked for")
	case response.StatusCode/100 == 2 && !answer.Signed:
		conn.Spoil()
		return unknown, errors.New("answer is not signed by the server")
	case response.StatusCode/100 == 2 && c.route.Kind == routing.Stream:
		return h.relayEvents(c, conn, response, a, watch)
	}
	return h.relayWhole(c, conn, response, a)
}

// receive reads the head of the answer to this request. Late answers to others are skipped.
func (h *Handler) receive(c *call, conn *upstream.Conn) (*http.Response, AnswerHeader, error) {
	for range maxForeign + 1 {
		response, err := conn.Receive(c.http.Method)
		if err != nil {
			return nil, AnswerHeader{}, err
		}
		answer := h.Protocol.DecodeAnswerHeader(response.Header)
		if answer.RequestID == c.envelope.RequestID || (answer.RequestID == "" && response.StatusCode/100 != 2) {
			return response, answer, nil
		}
		conn.Spoil()
		if response.ContentLength < 0 && len(response.TransferEncoding) == 0 {
			break // no end that another answer could follow
		}
		if _, err := io.Copy(io.Discard, io.LimitReader(response.Body, maxWhole)); err != nil {
			return nil, AnswerHeader{}, errors.Wrap(err, "skip the answer to another request")
		}
	}
	return nil, AnswerHeader{}, errors.New("the connection carries answers to other requests")
}

// drain reads a short body so that the connection can be used again.
func drain(conn *upstream.Conn, response *http.Response) {
	n, err := io.Copy(io.Discard, io.LimitReader(response.Body, 16<<10))
	if err != nil || n == 16<<10 {
		conn.Spoil()
	}
}

// watch closes a connection when the request's context ends, or when the server has been
// silent for longer than its answer may take while another server could go on.
type watch struct {
	conn    *upstream.Conn
	release func() bool
	timer   *time.Timer
	wait    time.Duration
}

const (
	// firstPatience and pausePatience are the multiples of the route's objective and of its
	// longest pause after which a silent server is given up for another one.
	firstPatience = 3
	pausePatience = 3
	// minPatience bounds both from below.
	minPatience = 300 * time.Millisecond
)

func newWatch(ctx context.Context, conn *upstream.Conn, c *call) *watch {
	w := &watch{conn: conn}
	w.release = context.AfterFunc(ctx, func() { _ = conn.Close() })
	if c.route.Repeatable() && len(c.attempts)+1 < c.route.MaxAttempts {
		w.timer = time.AfterFunc(max(minPatience, firstPatience*c.route.Objective), func() { _ = conn.Close() })
		w.wait = max(minPatience, pausePatience*c.route.MaxTokenGap)
	}
	return w
}

// heard puts the end of patience off: an event has arrived.
func (w *watch) heard() {
	if w.timer != nil {
		w.timer.Reset(w.wait)
	}
}

// stop ends the watch and reports false when the connection has been closed.
func (w *watch) stop() bool {
	stopped := w.release()
	if w.timer != nil {
		stopped = w.timer.Stop() && stopped
	}
	return stopped
}
