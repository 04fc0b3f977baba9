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
	maxUnsentAttempts = 4
	// maxForeign is the number of answers to other requests that are skipped on a connection.
	maxForeignAnswers = 2
	// maxWhole is the longest answer, in bytes, that is held until it is whole.
	maxBufferedAnswerBytes = 1 << 20
	// minLeft is the least time with which another attempt makes sense.
	minAttemptTime = 20 * time.Millisecond
)

// reach tells how far an attempt got.
type attemptProgress int

const (
	notSent         attemptProgress = iota // no byte has left
	notRun                                 // the server says that it has not run the request
	maybeRun                               // the server may have run it
	partlyForwarded                        // part of the answer has been passed on
	fullyForwarded                         // the caller has the whole answer
)

// attemptRecord is what the log says of an attempt.
type attemptRecord struct {
	server          string
	predicted       time.Duration
	uncachedTokens  int
	runningRequests int
	pendingTokens   int
	home            bool
	fetchSource     string // of fetched prompt parts
	fetchedTokens   int    // tokens
	progress        attemptProgress
	status          int
	duration        time.Duration
	reusedConn      bool
}

// LogValue returns the record for the log.
func (a attemptRecord) LogValue() slog.Value {
	return slog.StringValue(a.server +
		" predicted=" + a.predicted.String() +
		" uncached=" + strconv.Itoa(a.uncachedTokens) +
		" running=" + strconv.Itoa(a.runningRequests) +
		" pending=" + strconv.Itoa(a.pendingTokens) +
		" home=" + strconv.FormatBool(a.home) +
		" source=" + a.fetchSource +
		" fetched=" + strconv.Itoa(a.fetchedTokens) +
		" reused=" + strconv.FormatBool(a.reusedConn) +
		" reach=" + strconv.Itoa(int(a.progress)) +
		" status=" + strconv.Itoa(a.status) +
		" took=" + a.duration.String())
}

// attempt is the end of the chain: it sends the request to servers, first to the chosen one,
// until one has answered.
func (h *Handler) sendWithRetries(ctx context.Context, c *call) error {
	ctx, cancel := context.WithDeadline(ctx, c.deadline)
	defer cancel()
	tried := make(map[string]bool, 2)
	sentAttempts, unsentAttempts := 0, 0
	for {
		if callerDisconnected(c.request.Context()) {
			return result.New(result.CallerGone, "the caller went away")
		}
		progress, err := h.tryServer(ctx, c, c.choice)
		if progress == notSent {
			unsentAttempts++
		} else {
			sentAttempts++
		}
		if err == nil {
			return nil
		}
		tried[c.choice.Server.ID] = true
		if requestCanceled(c.request.Context()) {
			return result.Wrap(err, result.CallerGone, "the caller went away")
		}
		if unsentAttempts >= maxUnsentAttempts || !mayRetry(c, progress, sentAttempts) {
			return finalResult(c, progress, err)
		}
		var ok, allowed bool
		c.choice, ok, allowed = h.Scheduler.DecideRetry(c.schedulerRequest(), tried, progress == notSent, time.Now())
		if !ok || !allowed {
			return finalResult(c, progress, err)
		}
	}
}

// again reports whether another attempt may follow one that got so far.
func mayRetry(c *call, progress attemptProgress, sentAttempts int) bool {
	if sentAttempts >= max(1, c.route.MaxAttempts) || time.Until(c.deadline) < minAttemptTime {
		return false
	}
	switch progress {
	case notSent, notRun:
		return true
	case maybeRun:
		return c.route.Repeatable()
	case partlyForwarded:
		return c.route.Kind == routing.Stream && c.route.Resumable && c.eventCount > 0
	case fullyForwarded:
		return false
	}
	return false
}

// ended returns the final result of a request whose last attempt got so far. A promise
// that it has not run needs that no attempt may have run.
func finalResult(c *call, progress attemptProgress, err error) error {
	mayHaveRun := false
	for _, a := range c.attempts {
		mayHaveRun = mayHaveRun || a.progress == maybeRun || a.progress == partlyForwarded
	}
	deadlinePassed := !time.Now().Before(c.deadline)
	switch {
	case c.serverFailure != nil && !c.answerStarted:
		c.writeAnswer(c.serverFailure.response, c.serverFailure.body) // more than we could say
		return nil
	case progress == partlyForwarded:
		return result.Wrap(err, result.StreamBroken, "the answer broke off")
	case !mayHaveRun:
		return result.Wrap(err, result.ServersBusy, "no backend server took the request").After(defaultRetryAfter)
	case deadlinePassed:
		return result.Wrap(err, result.ServerSilent, "no answer in time")
	default:
		return result.Wrap(err, result.AnswerLost, "the answer was lost")
	}
}

// try sends the request to one server and passes its answer on.
func (h *Handler) tryServer(ctx context.Context, c *call, choice placement.Choice) (attemptProgress, error) {
	started := time.Now()
	record := attemptRecord{
		server:          choice.Server.ID,
		predicted:       choice.Predicted,
		uncachedTokens:  choice.UncachedTokens,
		runningRequests: choice.Load.Running,
		pendingTokens:   choice.Load.PendingTokens,
		home:            choice.Home,
		fetchSource:     choice.Source.ID,
		fetchedTokens:   choice.FetchedTokens,
	}
	attempt := h.Scheduler.Start(c.schedulerRequest(), choice, started)
	progress, err := h.sendOnPooledConn(ctx, c, choice, attempt, &record)
	outcome := placement.Served
	if err != nil {
		outcome = placement.Failed
		if ctx.Err() != nil {
			outcome = placement.Abandoned
		}
	}
	h.Scheduler.End(attempt, outcome, time.Now())
	record.progress, record.duration = progress, time.Since(started)
	c.attempts = append(c.attempts, record)
	return progress, err
}

// exchange sends the request over a connection and passes the answer on.
func (h *Handler) sendOnPooledConn(ctx context.Context, c *call, choice placement.Choice, a *placement.Attempt, record *attemptRecord) (attemptProgress, error) {
	server := choice.Server
	endpoint := upstream.Endpoint{Address: server.Address, ID: server.ID, Born: server.Incarnation}
	maxConns := upstream.Limit(c.service.MaxConnections, h.Scheduler.Daemons(), record.runningRequests)
	conn, err := h.Pool.Get(ctx, endpoint, maxConns)
	if err != nil {
		return notSent, err
	}
	record.reusedConn = conn.Reused()
	if callerDisconnected(c.request.Context()) {
		h.Pool.Put(endpoint, conn) // unused: opening it took a while
		return notSent, errors.New("the caller went away before the request was sent")
	}
	w := newWatchdog(ctx, conn, c)
	progress, err := h.roundTrip(c, choice, conn, a, w, record)
	if !w.stop() || err != nil {
		conn.Spoil()
	}
	h.Pool.Put(endpoint, conn)
	return progress, err
}

func (h *Handler) roundTrip(c *call, choice placement.Choice, conn *upstream.Conn, a *placement.Attempt, w *watchdog, record *attemptRecord) (attemptProgress, error) {
	lastEventID := c.envelope.LastEventID
	if c.eventCount > 0 {
		lastEventID = strconv.FormatUint(c.lastEventID, 10)
	}
	header := h.Protocol.EncodeRequestHeader(ServerRequest{
		Request:             c.request,
		Envelope:            c.envelope,
		Account:             c.account,
		Server:              choice.Server,
		PrefixSourceAddress: choice.Source.Address,
		TimeToDeadline:      time.Until(c.deadline),
		LastEventID:         lastEventID,
		BodyBytes:           len(c.body),
	})
	sent, sendErr := conn.Send(header, c.body)
	if !sent {
		return notSent, sendErr
	}
	// A server may answer before it has read the whole body.
	response, answer, err := h.receiveAnswer(c, conn)
	if err != nil {
		return maybeRun, errors.CombineErrors(err, sendErr)
	}
	if sendErr != nil {
		conn.Spoil()
	}
	record.status = response.StatusCode
	switch {
	case answer.NotRun, answer.WrongServer:
		discardBody(conn, response)
		return notRun, errors.Newf("server did not run the request, status %d", response.StatusCode)
	case response.Header.Get("Content-Encoding") != "":
		conn.Spoil()
		return maybeRun, errors.New("answer has an encoding that nobody asked for")
	case response.StatusCode/100 == 2 && !answer.Signed:
		conn.Spoil()
		return maybeRun, errors.New("answer is not signed by the server")
	case response.StatusCode/100 == 2 && c.route.Kind == routing.Stream:
		return h.relayEvents(c, conn, response, a, w)
	}
	return h.relayBuffered(c, conn, response, a)
}

// receive reads the head of the answer to this request. Late answers to others are skipped.
func (h *Handler) receiveAnswer(c *call, conn *upstream.Conn) (*http.Response, AnswerHeader, error) {
	for range maxForeignAnswers + 1 {
		response, err := conn.Receive(c.request.Method)
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
		if _, err := io.Copy(io.Discard, io.LimitReader(response.Body, maxBufferedAnswerBytes)); err != nil {
			return nil, AnswerHeader{}, errors.Wrap(err, "skip the answer to another request")
		}
	}
	return nil, AnswerHeader{}, errors.New("the connection carries answers to other requests")
}

// drain reads a short body so that the connection can be used again.
func discardBody(conn *upstream.Conn, response *http.Response) {
	n, err := io.Copy(io.Discard, io.LimitReader(response.Body, 16<<10))
	if err != nil || n == 16<<10 {
		conn.Spoil()
	}
}

// watch closes a connection when the request's context ends, or when the server has been
// silent for longer than its answer may take while another server could go on.
type watchdog struct {
	conn             *upstream.Conn
	stopContextWatch func() bool
	timer            *time.Timer
	tokenGapTimeout  time.Duration
}

const (
	// firstPatience and pausePatience are the multiples of the route's objective and of its
	// longest pause after which a silent server is given up for another one.
	firstEventTimeoutFactor = 3
	tokenGapTimeoutFactor   = 3
	// minPatience bounds both from below.
	minSilenceTimeout = 300 * time.Millisecond
)

func newWatchdog(ctx context.Context, conn *upstream.Conn, c *call) *watchdog {
	w := &watchdog{conn: conn}
	w.stopContextWatch = context.AfterFunc(ctx, func() { _ = conn.Close() })
	if c.route.Repeatable() && len(c.attempts)+1 < c.route.MaxAttempts {
		w.timer = time.AfterFunc(max(minSilenceTimeout, firstEventTimeoutFactor*c.route.Objective), func() { _ = conn.Close() })
		w.tokenGapTimeout = max(minSilenceTimeout, tokenGapTimeoutFactor*c.route.MaxTokenGap)
	}
	return w
}

// heard puts the end of patience off: an event has arrived.
func (w *watchdog) eventReceived() {
	if w.timer != nil {
		w.timer.Reset(w.tokenGapTimeout)
	}
}

// stop ends the watch and reports false when the connection has been closed.
func (w *watchdog) stop() bool {
	stopped := w.stopContextWatch()
	if w.timer != nil {
		stopped = w.timer.Stop() && stopped
	}
	return stopped
}
