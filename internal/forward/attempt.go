package forward

import (
	"context"
	"io"
	"log/slog"
	"net/http"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/filbertrill/filbertrill/internal/http1"
	"github.com/filbertrill/filbertrill/internal/liveness"
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
	serverBroke     bool          // the server closed the connection before the answer was complete
	requestLimit    float64       // see AnswerInfo; negative for none
	startedAfter    time.Duration // since the arrival of the request
	paused          bool          // the server has turned the request away and asked for a pause
	framing         string        // how the body of the answer ends: "length", "chunks", "connection" or "none"; empty without an answer
	uploaded        bool          // the whole request was written
	end             http1.End     // of the connection, as far as it was read
	endCall         http1.Call    // the call that met it
	process         int64         // incarnation of the server's process as listed when the server was chosen
	endProcess      int64         // as listed behind the end of an answer that ends with its connection; 0 for none
	endBasis        string        // why an answer that ends with its connection was taken for complete; empty if it was not
	endEvidence     liveness.Evidence
	endCheckedAt    time.Time // when the check of endEvidence began, behind the end
	closedBy        string    // which side closed the connection before the answer was complete, and why; empty for neither
	alternative     string    // why no attempt followed, or "chosen"; empty if none was looked for
}

// LogValue implements slog.LogValuer.
func (a attemptRecord) LogValue() slog.Value {
	var end strings.Builder
	if a.sentBytes > 0 {
		end.WriteString(" uploaded=" + strconv.FormatBool(a.uploaded) + " end=" + a.end.String())
	}
	if a.endCall != http1.NoCall {
		end.WriteString(" end_call=" + string(a.endCall))
	}
	if a.framing != "" {
		end.WriteString(" framing=" + a.framing)
	}
	if a.framing == http1.FramedByConnection {
		end.WriteString(" process=" + strconv.FormatInt(a.process, 10) + " listed_process=" + strconv.FormatInt(a.endProcess, 10))
	}
	if a.endBasis != "" {
		end.WriteString(" end_basis=" + strconv.Quote(a.endBasis) +
			" process_since=" + a.endCheckedAt.Sub(a.endEvidence.Since).String() + " process_asked=" + a.endEvidence.Asked.Sub(a.endCheckedAt).String())
	}
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
		" started=" + a.startedAfter.String() +
		" took=" + a.duration.String() + end.String())
}

// sendWithRetries is the last handler of the chain. It sends the request to the chosen server and,
// while retries are allowed, to further ones until one has answered.
func (h *Handler) sendWithRetries(ctx context.Context, c *call) error {
	ctx, cancel := context.WithDeadline(ctx, c.deadline)
	defer cancel()
	defer context.AfterFunc(h.exit, cancel)()
	defer h.releaseFailure(c)
	g := newHedger(ctx, h, c)
	defer g.close()
	a := h.newAttempt(c, c.choice, c.chosenAt)
	for {
		if callerDisconnected(c.request.Context()) {
			g.discard(a)
			return result.New(result.CallerGone, "the caller closed its connection")
		}
		err := g.run(a)
		if err == nil {
			return nil
		}
		if requestCanceled(c.request.Context()) {
			return result.Wrap(err, result.CallerGone, "the caller closed its connection")
		}
		if a = g.next(); a == nil {
			return finalResult(c, g.progress(), err)
		}
	}
}

// retryObstacle returns why no other attempt may follow one that ended with the given progress, an empty text if one may.
// sentAttempts is the number of attempts that have sent at least a byte.
func (h *Handler) retryObstacle(c *call, progress attemptProgress, sentAttempts int) string {
	switch {
	case sentAttempts >= max(1, c.route.MaxAttempts):
		return "attempts are used up"
	case time.Until(c.deadline) < minAttemptTime:
		return "deadline is near"
	case h.exit.Err() != nil:
		return "daemon exits"
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

// finalResult ends a request whose attempts got as far as progress, and failed. It writes the
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

// attempt is one attempt of a call at a server. While it is opened, it may be used by another goroutine than the call's.
type attempt struct {
	choice    placement.Choice
	chosenAt  time.Time
	startedAt time.Time
	scheduled *placement.Attempt
	request   ServerRequest // its TimeToDeadline is set when it is sent
	resumes   bool          // see call
	begins    bool          // see call

	proof            *liveness.Proof // for an answer that ends with its connection; nil for none
	endpoint         upstream.Endpoint
	conn             *upstream.Conn // nil before there is one
	stopContextWatch func() bool
	sentBefore       int64 // bytes on the connection before the attempt
	receivedBefore   int64
	versionUnknown   bool // see call

	opened   bool // the fields below are set
	response *http.Response
	progress attemptProgress // if err is not nil
	err      error
	// read is what was read of the body before the attempt was chosen, in a buffer of answerMemory; nil for nothing.
	read         []byte
	endConfirmed bool // see confirmEnd

	superseded bool // given up for another attempt
	canceled   bool // not needed any more
	record     attemptRecord
}

// newAttempt returns an attempt at the chosen server.
func (h *Handler) newAttempt(c *call, choice placement.Choice, chosenAt time.Time) *attempt {
	lastEventID := c.envelope.LastEventID
	if c.events.Delivered() > 0 {
		lastEventID = c.events.LastEventID()
	}
	now := time.Now()
	h.meterAttempt(c, now)
	return &attempt{
		choice: choice, chosenAt: chosenAt, startedAt: now,
		scheduled: h.Scheduler.Start(h.schedulerRequest(c), choice, now),
		resumes:   c.resumes(),
		begins:    c.begins(),
		endpoint:  upstream.Endpoint{Address: choice.Server.Address, ID: choice.Server.ID, Incarnation: choice.Server.Incarnation},
		request: ServerRequest{
			Request:             c.request,
			Envelope:            c.envelope,
			Account:             c.account,
			Server:              choice.Server,
			PrefixSourceAddress: choice.Source.Address,
			LastEventID:         lastEventID,
			BodyBytes:           len(c.body),
		},
		record: attemptRecord{
			server:          choice.Server.ID,
			process:         choice.Server.Incarnation,
			zone:            choice.Server.Zone,
			version:         choice.Server.Version,
			startedAfter:    now.Sub(c.arrivedAt),
			predicted:       choice.Predicted,
			uncachedTokens:  choice.UncachedTokens,
			runningRequests: choice.Load.Running,
			pendingTokens:   choice.Load.PendingTokens,
			home:            choice.Home,
			fetchSource:     choice.Source.ID,
			fetchedTokens:   choice.FetchedTokens,
			requestLimit:    -1,
		},
	}
}

// openHooks are called by the goroutine that opens an attempt. They may be nil.
type openHooks struct {
	connected func() // the attempt has a connection
	sent      func() // the request was sent
}

// open sends the request to the chosen server and reads the head of the answer. Of the call it uses only what does not change after
// the choice of the first server.
func (h *Handler) open(ctx context.Context, c *call, a *attempt, hooks openHooks) {
	a.progress, a.err = h.connect(ctx, c, a)
	if a.err == nil {
		if hooks.connected != nil {
			hooks.connected()
		}
		a.progress, a.err = h.exchangeHeads(c, a, hooks.sent)
	}
	a.opened = true
}

// connect takes a connection to the server from the pool.
func (h *Handler) connect(ctx context.Context, c *call, a *attempt) (attemptProgress, error) {
	maxConns := upstream.ConnectionLimit(c.service.MaxConnections, h.Scheduler.Shares(), a.record.runningRequests)
	conn, err := h.Pool.Get(ctx, a.endpoint, maxConns)
	if err != nil {
		return notSent, err
	}
	if a.record.reusedConn = conn.Reused(); !a.record.reusedConn {
		conn.SetQuestion(h.question(c, a.endpoint))
	}
	h.beginProof(ctx, c, a)
	if callerDisconnected(c.request.Context()) {
		h.Pool.Put(a.endpoint, conn) // unused, so that another request can use it
		return notSent, errors.New("the caller closed its connection before the request was sent")
	}
	now := time.Now()
	if h.ServerKnowledge != nil {
		a.record.knowledge, a.record.listAge = h.ServerKnowledge(a.choice.Server.ID, now)
	}
	a.record.choiceAge, a.record.connAge = now.Sub(a.chosenAt), conn.Age(now)
	if a.record.choiceAge > maxChoiceAge && !h.Scheduler.TakesRequests(a.choice, now) { // a connection may take a second to open
		h.Pool.Put(a.endpoint, conn)
		return notSent, errors.New("the server stopped to take requests while the connection opened")
	}
	if err := h.checkVersion(a, now); err != nil {
		h.Pool.Put(a.endpoint, conn)
		return notSent, err
	}
	a.conn = conn
	a.sentBefore, a.receivedBefore = conn.Traffic()
	a.stopContextWatch = context.AfterFunc(ctx, func() { _ = conn.Close() })
	conn.ReserveHeads(h.answerMemory.reserveHead)
	return notSent, nil
}

// finish ends an attempt whose answer was forwarded, or that ended with err, and adds its record to the call.
func (h *Handler) finish(ctx context.Context, c *call, a *attempt, progress attemptProgress, err error) {
	if a.conn != nil {
		h.releaseConn(ctx, c, a, err)
	}
	a.proof.End()
	if a.read != nil {
		h.answerMemory.releaseBuffer(a.read)
	}
	outcome := placement.Served
	if err != nil {
		outcome = placement.Failed
		if ctx.Err() != nil || a.record.paused || a.canceled {
			outcome = placement.Abandoned
		}
	}
	if a.record.serverBroke && ctx.Err() == nil && progress != notSent {
		h.Scheduler.RecordBroken(h.schedulerRequest(c), a.scheduled, a.record.status/100 == 2, time.Now())
	}
	h.Scheduler.End(a.scheduled, outcome, time.Now())
	a.record.progress, a.record.duration = progress, time.Since(a.startedAt)
	h.meterEnd(c, a)
	c.attempts = append(c.attempts, a.record)
}

// releaseConn returns the connection of an attempt to the pool.
func (h *Handler) releaseConn(ctx context.Context, c *call, a *attempt, err error) {
	if headMemory := a.conn.ReleaseHeads(); c.serverFailure != nil && c.serverFailure.response == a.response {
		c.serverFailure.memory += headMemory
	} else {
		h.answerMemory.release(headMemory)
	}
	sent, received := a.conn.Traffic()
	a.record.sentBytes, a.record.receivedBytes = sent-a.sentBefore, received-a.receivedBefore
	a.record.end, a.record.endCall = a.conn.End()
	a.record.uploaded = a.record.uploaded && a.conn.Uploaded()
	h.countZoneTraffic(c, a.choice, &a.record)
	closedHere := !a.stopContextWatch()
	a.record.serverBroke = !closedHere && !a.superseded && !a.canceled && isConnectionBroken(err)
	a.record.closedBy = a.closedBy(ctx, c, err)
	switch {
	case errors.IsAny(err, liveness.ErrEnded, liveness.ErrUnknown):
		h.Pool.RecordInterrupted(a.endpoint, time.Now())
	case a.record.serverBroke:
		h.recordBroken(a)
	}
	if closedHere || err != nil {
		a.conn.DisableReuse()
	} else if c.bodyReservation != nil {
		a.conn.FinishUpload(c.deadline, c.bodyReservation.hold())
	}
	h.Pool.Put(a.endpoint, a.conn)
}

// closedBy returns which side closed the connection of an attempt that ended with err, and why, an empty text if neither has.
func (a *attempt) closedBy(ctx context.Context, c *call, err error) string {
	switch {
	case err == nil:
		return ""
	case requestCanceled(c.request.Context()):
		return "daemon: caller has left"
	case a.superseded:
		return "daemon: server is silent, another attempt takes over"
	case ctx.Err() != nil && time.Now().Before(c.deadline):
		return "daemon: exits"
	case ctx.Err() != nil:
		return "daemon: deadline"
	case a.canceled:
		return "daemon: another attempt has gone on"
	case a.record.serverBroke:
		return "server"
	}
	return "daemon: answer is not usable"
}

// isConnectionBroken reports whether err is the end of a connection that the other side has closed or reset.
func isConnectionBroken(err error) bool {
	return errors.IsAny(err, io.EOF, io.ErrUnexpectedEOF, syscall.ECONNRESET, syscall.EPIPE)
}

// exchangeHeads sends the request over the connection, reads the head of the answer and stores it in the attempt.
func (h *Handler) exchangeHeads(c *call, a *attempt, onSent func()) (attemptProgress, error) {
	a.request.TimeToDeadline = time.Until(c.deadline)
	sent, sendErr := a.conn.Send(h.Protocol.EncodeRequestHeader(a.request), c.body)
	if !sent {
		return notSent, sendErr
	}
	a.record.uploaded = sendErr == nil
	if onSent != nil {
		onSent()
	}
	// A server may answer before it has read the whole body.
	response, answer, err := h.receiveAnswer(c, a.conn)
	if err != nil {
		return maybeRun, errors.CombineErrors(err, sendErr)
	}
	if sendErr != nil {
		a.conn.DisableReuse()
	}
	a.record.status, a.record.framing = response.StatusCode, http1.Framing(response)
	a.keepProof()
	if err := checkUsable(c.request, response, answer); err != nil {
		a.conn.DisableReuse()
		return maybeRun, err
	}
	if answer.Leaving {
		h.Scheduler.RecordLeaving(a.scheduled, time.Now())
	}
	if response.StatusCode == http.StatusServiceUnavailable && answer.Pause > 0 {
		a.record.paused = true
		h.Scheduler.RecordPause(a.scheduled, answer.Pause, time.Now())
	}
	switch {
	case answer.HasRequestLimit:
		a.record.requestLimit = answer.RequestLimit
		h.Scheduler.RecordLimit(a.scheduled, answer.RequestLimit, time.Now())
	case response.StatusCode/100 == 2:
		h.Scheduler.RecordNoLimit(a.scheduled, time.Now())
	}
	refused := answer.NotRun || response.StatusCode == http.StatusMisdirectedRequest
	switch {
	case answer.ID == "" && (!refused || a.conn.Reused()):
		a.conn.DisableReuse()
		return maybeRun, errors.Newf("answer with status %d names no request: it may belong to an earlier one, or come from no server", response.StatusCode)
	case refused:
		discardBody(a.conn, response)
		return notRun, errors.Newf("server reports that it did not run the request, status %d", response.StatusCode)
	case response.Header.Get("Content-Encoding") != "":
		a.conn.DisableReuse()
		return maybeRun, errors.New("answer has a Content-Encoding, which was not requested")
	case response.StatusCode/100 == 2 && !answer.Signed:
		a.conn.DisableReuse()
		return maybeRun, errors.New("answer is not signed by the server")
	}
	a.response = response
	if response.StatusCode/100 == 2 || endsWithConnection(response) {
		h.recordFraming(c, a)
	}
	return maybeRun, nil
}

// checkUsable returns an error if nothing of an answer with a valid head may be believed: it contradicts itself or its request. It reads the body
// of an answer that must have none.
func checkUsable(request *http.Request, response *http.Response, answer AnswerInfo) error {
	switch {
	case answer.Ambiguous:
		return errors.Newf("answer with status %d names several requests, signatures or servers", response.StatusCode)
	case response.StatusCode == http.StatusPartialContent && request.Header.Get("Range") == "":
		return errors.New("answer is a part that was not requested")
	case response.StatusCode == http.StatusResetContent: // RFC 9110, section 15.3.6
		if _, err := io.ReadFull(response.Body, make([]byte, 1)); err == nil {
			return errors.New("answer with status 205 has a body")
		} else if !errors.Is(err, io.EOF) {
			return errors.Wrap(err, "read answer")
		}
	}
	return nil
}

// relay forwards the answer of an attempt that is open.
func (h *Handler) relay(c *call, a *attempt, g *hedger) (attemptProgress, error) {
	if a.response.StatusCode/100 == 2 && c.route.Kind == routing.Stream {
		return h.relayEvents(c, a, g)
	}
	return h.relayBuffered(c, a, g)
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
		if answer.Ambiguous || answer.ID == c.envelope.ID || (answer.ID == "" && response.StatusCode/100 != 2) {
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
