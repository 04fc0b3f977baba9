package forward

import (
	"context"
	"io"
	"log/slog"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/filbertrill/filbertrill/internal/placement"
	"github.com/filbertrill/filbertrill/internal/result"
	"github.com/filbertrill/filbertrill/internal/routing"
	"github.com/filbertrill/filbertrill/internal/topology"
	"github.com/filbertrill/filbertrill/internal/upstream"
)

const (
	// maxUnsentAttempts is the number of attempts that may fail to reach a server before the
	// request fails. With a quarter of the servers unreachable, that is one request in 256.
	maxUnsentAttempts = 4
	// maxForeignAnswers is the number of answers to other requests that are skipped on a
	// connection.
	maxForeignAnswers = 2
	// maxBufferedAnswerBytes is the largest answer that is buffered until it is complete.
	maxBufferedAnswerBytes = 1 << 20
	// minAttemptTime is the least time to the deadline that makes another attempt worthwhile.
	minAttemptTime = 20 * time.Millisecond
)

// attemptProgress is how far an attempt got. The log has its number as "reach".
type attemptProgress int

const (
	notSent         attemptProgress = iota // no byte was sent
	notRun                                 // the server reports that it did not run the request
	maybeRun                               // the server may have run it
	partlyForwarded                        // part of the answer was forwarded to the caller
	fullyForwarded                         // the complete answer was forwarded to the caller
)

// attemptRecord describes an attempt in the log.
type attemptRecord struct {
	server          string
	zone            string             // of the server
	sentBytes       int64              // of the request
	receivedBytes   int64              // of the answer
	version         string             // of the server's software
	knowledge       topology.Knowledge // when the request was about to be sent
	listAge         time.Duration      // of the list of servers at that time
	choiceAge       time.Duration      // since the server was chosen
	connAge         time.Duration      // since the connection was opened
	predicted       time.Duration
	uncachedTokens  int
	runningRequests int
	pendingTokens   int
	home            bool   // see placement.Choice
	fetchSource     string // ID of the server from which cached prefix parts are fetched; empty for none
	fetchedTokens   int
	progress        attemptProgress
	status          int // HTTP status of the answer; 0 for none
	duration        time.Duration
	reusedConn      bool
	serverBroke     bool    // the server closed the connection before the answer was complete
	requestLimit    float64 // see AnswerInfo; negative for none
	paused          bool    // the server has turned the request away and asked for a pause
	closedBy        string  // which side closed the connection before the answer was complete, and why; empty for neither
	alternative     string  // why no attempt followed, or "chosen"; empty if none was looked for
}

// LogValue implements slog.LogValuer.
func (a attemptRecord) LogValue() slog.Value {
	var end strings.Builder
	if a.closedBy != "" {
		end.WriteString(" closed=" + strconv.Quote(a.closedBy))
	}
	if a.alternative != "" {
		end.WriteString(" alternative=" + strconv.Quote(a.alternative))
	}
	return slog.StringValue(a.server +
		" zone=" + a.zone +
		" sent=" + strconv.FormatInt(a.sentBytes, 10) +
		" received=" + strconv.FormatInt(a.receivedBytes, 10) +
		" version=" + a.version +
		" entry=" + a.knowledge.EntryAge.String() +
		" from=" + a.knowledge.Source +
		" list=" + a.listAge.String() +
		" listed=" + strconv.FormatBool(a.knowledge.Listed) +
		" missing=" + a.knowledge.Missing.String() +
		" draining=" + a.knowledge.Draining.String() +
		" chosen=" + a.choiceAge.String() +
		" conn=" + a.connAge.String() +
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
		" paused=" + strconv.FormatBool(a.paused) +
		" limit=" + strconv.FormatFloat(a.requestLimit, 'g', 4, 64) +
		" took=" + a.duration.String() + end.String())
}

// sendWithRetries is the last handler of the chain. It sends the request to the chosen server and,
// while retries are allowed, to further ones until one has answered.
func (h *Handler) sendWithRetries(ctx context.Context, c *call) error {
	ctx, cancel := context.WithDeadline(ctx, c.deadline)
	defer cancel()
	defer h.releaseFailure(c)
	tried := make(map[string]bool, 2)
	sentAttempts, unsentAttempts := 0, 0
	for {
		if callerDisconnected(c.request.Context()) {
			return result.New(result.CallerGone, "the caller closed its connection")
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
			return result.Wrap(err, result.CallerGone, "the caller closed its connection")
		}
		last := &c.attempts[len(c.attempts)-1]
		if unsentAttempts >= maxUnsentAttempts {
			last.alternative = "none: attempts without a connection are used up"
			return finalResult(c, progress, err)
		}
		if obstacle := h.retryObstacle(c, progress, sentAttempts); obstacle != "" {
			last.alternative = "none: " + obstacle
			return finalResult(c, progress, err)
		}
		var ok, allowed bool
		c.chosenAt = time.Now()
		c.choice, ok, allowed = h.Scheduler.DecideRetry(h.schedulerRequest(c), tried, progress == notSent, c.chosenAt)
		if last.alternative = alternative(ok, allowed); !ok || !allowed {
			return finalResult(c, progress, err)
		}
	}
}

// alternative describes the result of Scheduler.DecideRetry for the log.
func alternative(ok, allowed bool) string {
	switch {
	case !ok:
		return "none: no other server"
	case !allowed:
		return "none: retry budget is used up"
	}
	return "chosen"
}

// retryObstacle returns why no other attempt may follow one that ended with the given progress, an empty text if one may.
// sentAttempts is the number of attempts that have sent at least a byte.
func (h *Handler) retryObstacle(c *call, progress attemptProgress, sentAttempts int) string {
	switch {
	case sentAttempts >= max(1, c.route.MaxAttempts):
		return "attempts are used up"
	case time.Until(c.deadline) < minAttemptTime:
		return "deadline is near"
	case progress == notSent || progress == notRun:
		return ""
	case progress == fullyForwarded:
		return "answer is complete"
	case progress == partlyForwarded && (c.route.Kind != routing.Stream || c.events.Delivered() == 0):
		return "answer has begun"
	case progress == partlyForwarded && c.versionUnknown:
		return "version is unknown"
	case !h.repeatable(c):
		return "request may run once only"
	}
	return ""
}

// repeatable reports whether a request that may have run can be sent again, by the configuration of its arrival and by the one
// in force now.
func (h *Handler) repeatable(c *call) bool {
	now := h.Config().Match(c.request.Host, c.request.URL.EscapedPath())
	return c.route.Repeatable() && now != nil && now.Kind == c.route.Kind && now.Repeatable()
}

// finalResult ends a request whose last attempt failed with the given progress. It writes the
// stored answer of a server that failed, if there is one, and otherwise returns the error for the
// caller. The error says that the request did not run only if that holds for every attempt.
func finalResult(c *call, progress attemptProgress, err error) error {
	mayHaveRun := false
	for _, a := range c.attempts {
		mayHaveRun = mayHaveRun || a.progress == maybeRun || a.progress == partlyForwarded
	}
	deadlinePassed := !time.Now().Before(c.deadline)
	switch {
	case c.serverFailure != nil && !c.answerStarted:
		c.writeAnswer(c.serverFailure.response, c.serverFailure.body) // more specific than any of our own results
		return nil
	case progress == partlyForwarded:
		return result.Wrap(err, result.StreamBroken, "the stream broke before its end")
	case !mayHaveRun:
		return result.Wrap(err, result.ServersBusy, "no backend server ran the request").WithRetryAfter(defaultRetryAfter)
	case deadlinePassed:
		return result.Wrap(err, result.ServerSilent, "no answer before the deadline")
	default:
		return result.Wrap(err, result.AnswerLost, "the answer was lost")
	}
}

// tryServer makes one attempt: it sends the request to the chosen server, forwards the answer and
// records the outcome.
func (h *Handler) tryServer(ctx context.Context, c *call, choice placement.Choice) (attemptProgress, error) {
	started := time.Now()
	record := attemptRecord{
		server:          choice.Server.ID,
		zone:            choice.Server.Zone,
		version:         choice.Server.Version,
		predicted:       choice.Predicted,
		uncachedTokens:  choice.UncachedTokens,
		runningRequests: choice.Load.Running,
		pendingTokens:   choice.Load.PendingTokens,
		home:            choice.Home,
		fetchSource:     choice.Source.ID,
		fetchedTokens:   choice.FetchedTokens,
		requestLimit:    -1,
	}
	attempt := h.Scheduler.Start(h.schedulerRequest(c), choice, started)
	progress, err := h.sendOnPooledConn(ctx, c, choice, attempt, &record)
	outcome := placement.Served
	if err != nil {
		outcome = placement.Failed
		if ctx.Err() != nil || record.paused {
			outcome = placement.Abandoned
		}
	}
	if record.serverBroke && ctx.Err() == nil && progress != notSent {
		h.Scheduler.RecordBroken(h.schedulerRequest(c), attempt, record.status/100 == 2, time.Now())
	}
	h.Scheduler.End(attempt, outcome, time.Now())
	record.progress, record.duration = progress, time.Since(started)
	c.attempts = append(c.attempts, record)
	return progress, err
}

// sendOnPooledConn takes a connection to the server from the pool for one round trip.
func (h *Handler) sendOnPooledConn(ctx context.Context, c *call, choice placement.Choice, a *placement.Attempt, record *attemptRecord) (attemptProgress, error) {
	server := choice.Server
	endpoint := upstream.Endpoint{Address: server.Address, ID: server.ID, Incarnation: server.Incarnation}
	maxConns := upstream.ConnectionLimit(c.service.MaxConnections, h.Scheduler.Shares(), record.runningRequests)
	conn, err := h.Pool.Get(ctx, endpoint, maxConns)
	if err != nil {
		return notSent, err
	}
	record.reusedConn = conn.Reused()
	if callerDisconnected(c.request.Context()) {
		h.Pool.Put(endpoint, conn) // unused, so that another request can use it
		return notSent, errors.New("the caller closed its connection before the request was sent")
	}
	now := time.Now()
	if h.ServerKnowledge != nil {
		record.knowledge, record.listAge = h.ServerKnowledge(server.ID, now)
	}
	record.choiceAge, record.connAge = now.Sub(c.chosenAt), conn.Age(now)
	if record.choiceAge > maxChoiceAge && !h.Scheduler.TakesRequests(choice, now) { // a connection may take a second to open
		h.Pool.Put(endpoint, conn)
		return notSent, errors.New("the server stopped to take requests while the connection opened")
	}
	if err := h.checkVersion(c, server, now); err != nil {
		h.Pool.Put(endpoint, conn)
		return notSent, err
	}
	sentBefore, receivedBefore := conn.Traffic()
	w := newWatchdog(ctx, conn, c)
	conn.ReserveHeads(h.answerMemory.reserveHead)
	earlierFailure := c.serverFailure
	progress, err := h.roundTrip(c, choice, conn, a, w, record)
	if headMemory := conn.ReleaseHeads(); c.serverFailure != earlierFailure {
		c.serverFailure.memory += headMemory
	} else {
		h.answerMemory.release(headMemory)
	}
	sent, received := conn.Traffic()
	record.sentBytes, record.receivedBytes = sent-sentBefore, received-receivedBefore
	h.countZoneTraffic(c, choice, record)
	closedHere := !w.stop()
	record.serverBroke = !closedHere && isConnectionBroken(err)
	record.closedBy = w.closedBy(ctx, c, record.serverBroke, err)
	if record.serverBroke {
		h.Pool.RecordBroken(conn)
	}
	if closedHere || err != nil {
		conn.DisableReuse()
	}
	h.Pool.Put(endpoint, conn)
	return progress, err
}

// isConnectionBroken reports whether err is the end of a connection that the other side has closed or reset.
func isConnectionBroken(err error) bool {
	return errors.IsAny(err, io.EOF, io.ErrUnexpectedEOF, syscall.ECONNRESET, syscall.EPIPE)
}

// roundTrip sends the request over the connection and forwards the answer.
func (h *Handler) roundTrip(c *call, choice placement.Choice, conn *upstream.Conn, a *placement.Attempt, w *watchdog, record *attemptRecord) (attemptProgress, error) {
	lastEventID := c.envelope.LastEventID
	if c.events.Delivered() > 0 {
		lastEventID = c.events.LastEventID()
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
		conn.DisableReuse()
	}
	record.status = response.StatusCode
	if answer.Leaving {
		h.Scheduler.RecordLeaving(a, time.Now())
	}
	if response.StatusCode == http.StatusServiceUnavailable && answer.Pause > 0 {
		record.paused = true
		h.Scheduler.RecordPause(a, answer.Pause, time.Now())
	}
	switch {
	case answer.HasRequestLimit:
		record.requestLimit = answer.RequestLimit
		h.Scheduler.RecordLimit(a, answer.RequestLimit, time.Now())
	case response.StatusCode/100 == 2:
		h.Scheduler.RecordNoLimit(a, time.Now())
	}
	switch {
	case answer.ID == "" && conn.Reused():
		conn.DisableReuse()
		return maybeRun, errors.Newf("answer with status %d names no request and may belong to an earlier one", response.StatusCode)
	case answer.NotRun, response.StatusCode == http.StatusMisdirectedRequest:
		discardBody(conn, response)
		return notRun, errors.Newf("server reports that it did not run the request, status %d", response.StatusCode)
	case response.Header.Get("Content-Encoding") != "":
		conn.DisableReuse()
		return maybeRun, errors.New("answer has a Content-Encoding, which was not requested")
	case response.StatusCode/100 == 2 && !answer.Signed:
		conn.DisableReuse()
		return maybeRun, errors.New("answer is not signed by the server")
	case response.StatusCode/100 == 2 && c.route.Kind == routing.Stream:
		return h.relayEvents(c, conn, response, a, w)
	}
	return h.relayBuffered(c, conn, response, a)
}

// receiveAnswer reads the header of the answer to this request. It skips up to maxForeignAnswers
// late answers to other requests.
func (h *Handler) receiveAnswer(c *call, conn *upstream.Conn) (*http.Response, AnswerInfo, error) {
	for range maxForeignAnswers + 1 {
		response, err := conn.Receive(c.request.Method)
		if err != nil {
			return nil, AnswerInfo{}, err
		}
		answer := h.Protocol.DecodeAnswer(response.Header)
		if answer.ID == c.envelope.ID || (answer.ID == "" && response.StatusCode/100 != 2) {
			return response, answer, nil
		}
		conn.DisableReuse()
		if response.ContentLength < 0 && len(response.TransferEncoding) == 0 {
			break // the body ends with the connection: no further answer can follow
		}
		n, err := io.Copy(io.Discard, io.LimitReader(response.Body, maxBufferedAnswerBytes+1))
		if err != nil {
			return nil, AnswerInfo{}, errors.Wrap(err, "skip answer to another request")
		}
		if n > maxBufferedAnswerBytes {
			return nil, AnswerInfo{}, errors.Newf("answer to another request is longer than %d bytes", maxBufferedAnswerBytes)
		}
	}
	return nil, AnswerInfo{}, errors.New("connection carries answers to other requests")
}

// discardBody reads a short body to its end so that the connection can be reused.
func discardBody(conn *upstream.Conn, response *http.Response) {
	n, err := io.Copy(io.Discard, io.LimitReader(response.Body, 16<<10))
	if err != nil || n == 16<<10 {
		conn.DisableReuse()
	}
}

// watchdog closes a connection when the request's context ends. If the request may be retried on
// another server, it also closes the connection when the server takes too long for its first or
// next event.
type watchdog struct {
	conn             *upstream.Conn
	stopContextWatch func() bool
	timer            *time.Timer // nil if the request may not be retried
	tokenGapTimeout  time.Duration
	silent           atomic.Bool // the timer has closed the connection
}

const (
	// firstEventTimeoutFactor and tokenGapTimeoutFactor are the multiples of the route's
	// objective and of its MaxTokenGap after which an attempt at a silent server is aborted.
	firstEventTimeoutFactor = 3
	tokenGapTimeoutFactor   = 3
	// minSilenceTimeout is the lower bound of both timeouts.
	minSilenceTimeout = 300 * time.Millisecond
	// defaultTokenGapTimeout applies to routes without a MaxTokenGap. Callers wait for two seconds.
	defaultTokenGapTimeout = 2 * time.Second
)

func newWatchdog(ctx context.Context, conn *upstream.Conn, c *call) *watchdog {
	w := &watchdog{conn: conn}
	w.stopContextWatch = context.AfterFunc(ctx, func() { _ = conn.Close() })
	if c.route.Repeatable() && len(c.attempts)+1 < c.route.MaxAttempts {
		w.timer = time.AfterFunc(max(minSilenceTimeout, firstEventTimeoutFactor*c.route.Objective), func() {
			w.silent.Store(true)
			_ = conn.Close()
		})
		w.tokenGapTimeout = defaultTokenGapTimeout
		if c.route.MaxTokenGap > 0 {
			w.tokenGapTimeout = max(minSilenceTimeout, tokenGapTimeoutFactor*c.route.MaxTokenGap)
		}
	}
	return w
}

// eventReceived restarts the timeout for the next event. It is called for complete events with data
// only: a stalled server may still send a byte now and then.
func (w *watchdog) eventReceived() {
	if w.timer != nil {
		w.timer.Reset(w.tokenGapTimeout)
	}
}

// closedBy returns which side closed the connection of an attempt that ended with err, and why, an empty text if neither has.
func (w *watchdog) closedBy(ctx context.Context, c *call, serverBroke bool, err error) string {
	switch {
	case w.silent.Load():
		return "daemon: server is silent"
	case requestCanceled(c.request.Context()):
		return "daemon: caller has left"
	case ctx.Err() != nil:
		return "daemon: deadline"
	case serverBroke:
		return "server"
	case err != nil:
		return "daemon: answer is not usable"
	}
	return ""
}

// stop ends the watchdog. It returns false if the watchdog has closed the connection.
func (w *watchdog) stop() bool {
	stopped := w.stopContextWatch()
	if w.timer != nil {
		stopped = w.timer.Stop() && stopped
	}
	return stopped
}
