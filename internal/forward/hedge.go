package forward

import (
	"bytes"
	"context"
	"io"
	"maps"
	"net"
	"net/http"
	"slices"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/filbertrill/filbertrill/internal/eventstream"
	"github.com/filbertrill/filbertrill/internal/liveness"
	"github.com/filbertrill/filbertrill/internal/placement"
	"github.com/filbertrill/filbertrill/internal/recovery"
	"github.com/filbertrill/filbertrill/internal/routing"
	"github.com/filbertrill/filbertrill/internal/upstream"
)

const (
	// firstEventTimeoutFactor and tokenGapTimeoutFactor are the multiples of the route's
	// objective and of its MaxTokenGap after which another attempt is made beside one at a silent server.
	firstEventTimeoutFactor = 3
	tokenGapTimeoutFactor   = 3
	// minSilenceTimeout is the lower bound of both timeouts.
	minSilenceTimeout = 300 * time.Millisecond
	// defaultTokenGapTimeout applies to routes without a MaxTokenGap. Callers wait for two seconds.
	defaultTokenGapTimeout = 2 * time.Second
	// endTimeout is the time after which another attempt is made for an answer whose server doesn't show that it has not ended.
	endTimeout = time.Second
	// hedgeRetryInterval is the time between two attempts to find another server for a request that waits.
	hedgeRetryInterval = 300 * time.Millisecond
	// readGracePeriod is the time to read what has arrived at a daemon that did not run, before the server counts as silent.
	readGracePeriod = 50 * time.Millisecond
	// maxStreamOverlap is the longest time for which two servers work on the same stream behind its begin.
	maxStreamOverlap = 250 * time.Millisecond
)

// errSuperseded ends attempts that are given up for another one.
var errSuperseded = errors.New("another attempt takes over")

// hedger makes the attempts of a call. While a server is silent it makes further attempts beside the one that waits (hedged requests:
// Dean and Barroso, The Tail at Scale), as far as the route, the attempts left, the retry budget and the servers allow. The attempt that
// waits is given up only when another one is answered: a server may be silent for a while and go on. Only for streams behind their begin, which two
// servers must not work on for long, another one that was sent and not refused for maxStreamOverlap is enough. So the silent server of such a stream is
// asked before whether it runs (see waitsForServer).
//
// Its methods are called by the goroutine of the call, that of notify by any.
type hedger struct {
	ctx  context.Context // ends at the deadline
	h    *Handler
	call *call

	tried       map[string]bool // servers, by ID
	slow        map[string]bool // those of them that accepted no connection or answered no health check in time, and may later
	slowRetried bool            // these were tried again
	sent        int             // attempts that have ended and may have reached a server
	unsent      int             // those that have not
	budgeted    int             // attempts that may reach a server without a further one of the retry budget
	current     *attempt        // that the goroutine of the call reads; nil for none
	pending     []*hedge        // attempts beside it, oldest first
	winner      *attempt        // one of them that was answered
	ending      bool            // the current attempt is complete but for the check that its server has not ended
	nextStart   time.Time       // of another attempt
	silentSince time.Time       // of the server of the current attempt, which has begun a stream; zero for none
	check       *silenceCheck   // in this silence; nil for none
	unread      bool            // see hasUnread; until the next event
	alternative string          // why no other attempt was made when it was last due
	givenUp     string          // ID of the server that was given up for others, none of which has run the request; empty for none

	watch atomic.Pointer[upstream.Watch] // of the current attempt; nil for none
	wake  chan struct{}                  // with capacity 1, for the time without a current attempt
}

// hedge is an attempt that another goroutine opens.
type hedge struct {
	*attempt
	cancel context.CancelFunc
	sentAt atomic.Pointer[time.Time] // nil before
	done   chan struct{}             // closed when the attempt is open
	events eventstream.Tracker       // the caller's position
	// answer is the body of an answer with a server error.
	answer []byte
}

func newHedger(ctx context.Context, h *Handler, c *call) *hedger {
	return &hedger{ctx: ctx, h: h, call: c, budgeted: 1, tried: make(map[string]bool, 2), slow: make(map[string]bool), wake: make(chan struct{}, 1)}
}

// run makes an attempt, or goes on with one that is open. It returns nil once a complete answer was forwarded.
func (g *hedger) run(a *attempt) error {
	c := g.call
	g.current = a
	g.tried[a.choice.Server.ID] = true
	c.choice, c.chosenAt = a.choice, a.chosenAt
	if a.opened {
		g.startWatch()
	} else {
		g.h.open(g.ctx, c, a, openHooks{connected: g.startWatch})
	}
	c.versionUnknown = a.versionUnknown
	progress, err := a.progress, a.err
	if err == nil {
		progress, err = g.h.relay(c, a, g)
	}
	g.stopWatch()
	g.current = nil
	a.superseded = errors.Is(err, errSuperseded)
	g.end(a, progress, err)
	if a.superseded && g.winner == nil {
		g.givenUp = a.choice.Server.ID
	}
	return err
}

// end ends an attempt and counts it.
func (g *hedger) end(a *attempt, progress attemptProgress, err error) {
	var p *recovery.Panic
	if errors.As(err, &p) { // of the goroutine that opened the attempt
		g.h.recordPanic(g.call, p)
	}
	if err != nil && a.record.alternative == "" {
		a.record.alternative = g.alternative
	}
	if progress == notSent {
		g.unsent++
		if timeout := net.Error(nil); errors.As(err, &timeout) && timeout.Timeout() {
			g.slow[a.choice.Server.ID] = true
		}
	} else {
		g.sent++
	}
	if progress > notRun {
		g.givenUp = ""
	}
	g.h.finish(g.ctx, g.call, a, progress, err)
}

// discard ends an attempt that is not needed any more.
func (g *hedger) discard(a *attempt) {
	a.canceled = true
	progress, err := a.progress, a.err
	if err == nil {
		err = errors.New("attempt is not needed any more")
	}
	g.end(a, progress, err)
}

// progress returns how far the attempts that have ended got.
func (g *hedger) progress() attemptProgress {
	if g.call.answerStarted {
		return partlyForwarded
	}
	furthest := notSent
	for _, a := range g.call.attempts {
		if a.progress == maybeRun {
			return maybeRun
		}
		furthest = max(furthest, a.progress)
	}
	return furthest
}

// sentAttempts returns the number of attempts that may have reached a server, with those in progress.
func (g *hedger) sentAttempts() int {
	n := g.sent + len(g.pending)
	if g.current != nil {
		n++
	}
	return n
}

// startWatch sets the time after which the server of the current attempt counts as silent.
func (g *hedger) startWatch() {
	if !g.call.route.Repeatable() {
		return
	}
	w := g.current.conn.Watch(g.poll)
	g.watch.Store(w)
	g.nextStart = time.Now().Add(g.firstEventTimeout())
	w.WakeAt(g.nextStart)
}

func (g *hedger) stopWatch() {
	if w := g.watch.Swap(nil); w != nil {
		w.Stop()
	}
	g.endCheck()
	g.silentSince = time.Time{}
}

func (g *hedger) firstEventTimeout() time.Duration {
	return max(minSilenceTimeout, firstEventTimeoutFactor*g.call.route.Objective)
}

func (g *hedger) tokenGapTimeout() time.Duration {
	if g.call.route.MaxTokenGap <= 0 {
		return defaultTokenGapTimeout
	}
	return max(minSilenceTimeout, tokenGapTimeoutFactor*g.call.route.MaxTokenGap)
}

// eventReceived states that the server of the current attempt is not silent. It is called for complete events with data only: a stalled
// server may still send a byte now and then.
func (g *hedger) eventReceived() {
	w := g.watch.Load()
	if w == nil {
		return
	}
	g.cancelPending()
	g.unread = false
	g.streamSilentSince(time.Now())
	w.WakeAt(g.nextStart)
}

// poll looks after the attempts beside the current one, and makes another one when it is due. It returns the time of the next
// call, and errSuperseded if the current attempt is given up.
func (g *hedger) poll() (next time.Time, err error) {
	g.collect()
	if g.winner != nil {
		return time.Time{}, errSuperseded
	}
	now := time.Now()
	g.noticeCheck(now)
	g.cancelUnsent(now)
	if !now.Before(g.nextStart) && g.hasUnread() {
		g.unread = true
		g.nextStart = now.Add(readGracePeriod)
	}
	if !now.Before(g.nextStart) && !g.waitsForServer(now) {
		g.nextStart = now.Add(hedgeRetryInterval)
		if g.mayOverlap() {
			if g.alternative = g.start(now); g.alternative == "" {
				g.nextStart = now.Add(g.firstEventTimeout())
			}
		}
	}
	end, ok := g.overlapEnd()
	switch {
	case !ok:
		next = g.nextStart
		if e := g.unsentHedge(); e != nil && e.dueAt().Before(next) {
			next = e.dueAt()
		}
		return next, nil
	case now.Before(end):
		return end, nil
	case g.current != nil && !g.ending:
		return time.Time{}, errSuperseded
	}
	g.cancel(g.pending[0])
	g.pending = g.pending[1:]
	return g.nextStart, nil
}

// unsentHedge returns the newest attempt beside others if its server has not shown that it isn't silent, and the request waits for that; nil
// if there is none.
func (g *hedger) unsentHedge() *hedge {
	if !g.overlapLimited() || len(g.pending) == 0 {
		return nil
	}
	e := g.pending[len(g.pending)-1]
	if e.sentAt.Load() != nil {
		return nil
	}
	return e
}

// dueAt returns the time until which the request of the attempt must be sent.
func (e *hedge) dueAt() time.Time { return e.startedAt.Add(hedgeRetryInterval) }

// cancelUnsent ends an attempt whose server is silent, too, so that another one can be made.
func (g *hedger) cancelUnsent(now time.Time) {
	e := g.unsentHedge()
	if e == nil || now.Before(e.dueAt()) {
		return
	}
	g.pending = g.pending[:len(g.pending)-1]
	g.cancel(e)
	g.slow[e.choice.Server.ID] = true
	g.nextStart = now
}

// hasUnread reports whether something of the current server has arrived while the daemon did not run. It reports that once for each
// time-out: a stalled server may send a byte now and then.
func (g *hedger) hasUnread() bool {
	return g.current != nil && !g.ending && len(g.pending) == 0 && !g.unread && g.current.conn.HasArrived()
}

// mayOverlap reports whether another attempt may be made beside those in progress.
func (g *hedger) mayOverlap() bool { return !g.overlapLimited() || g.running() < 2 }

// overlapLimited reports whether two servers must not work on the request for long.
func (g *hedger) overlapLimited() bool { return g.call.answerStarted || g.call.takesUp() }

// running returns the number of attempts in progress whose servers may work on the request.
func (g *hedger) running() int {
	n := len(g.pending)
	if g.current != nil && !g.ending {
		n++
	}
	return n
}

// overlapEnd returns the time at which the oldest attempt is given up for the newest one.
func (g *hedger) overlapEnd() (end time.Time, ok bool) {
	if !g.overlapLimited() || g.running() < 2 {
		return time.Time{}, false
	}
	sentAt := g.pending[len(g.pending)-1].sentAt.Load()
	if sentAt == nil {
		return time.Time{}, false
	}
	return sentAt.Add(maxStreamOverlap), true
}

// start makes another attempt. It returns why there is none, and an empty text if there is one.
func (g *hedger) start(now time.Time) (obstacle string) {
	choice, obstacle := g.decide(max(maybeRun, g.progress()), now)
	if obstacle != "" {
		return obstacle
	}
	ctx, cancel := context.WithCancel(g.ctx)
	e := &hedge{attempt: g.h.newAttempt(g.call, choice, now), cancel: cancel, done: make(chan struct{}), events: g.call.events}
	g.pending = append(g.pending, e)
	g.tried[choice.Server.ID] = true
	// What goes on behind the begin of a stream is soon given up for this attempt: its server must not be silent, too.
	mustLive := g.overlapLimited() && !g.ending && g.call.service.HealthPath != ""
	go func() {
		defer g.notify()
		defer close(e.done)
		defer func() {
			if p := recovery.NewPanic(recover()); p != nil {
				e.progress, e.err = maybeRun, p
			}
		}()
		if mustLive {
			if e.err = g.h.awaitSignOfLife(ctx, g.call, e.endpoint); e.err != nil {
				return
			}
		}
		g.h.open(ctx, g.call, e.attempt, openHooks{sent: func() {
			sentAt := time.Now()
			e.sentAt.Store(&sentAt)
			g.notify()
		}})
		if e.err == nil {
			e.err = g.h.awaitAnswer(ctx, g.call, e)
		}
	}()
	return ""
}

// decide chooses the server of an attempt behind others that got as far as progress, or returns why there can't be one.
func (g *hedger) decide(progress attemptProgress, now time.Time) (choice placement.Choice, obstacle string) {
	choice, obstacle = g.decideOther(progress, now)
	if obstacle == "" || g.givenUp == "" || g.current != nil || len(g.pending) > 0 || g.h.retryObstacle(g.call, progress, 0) != "" {
		return choice, obstacle
	}
	// That one has received the request already, and so does not count among the servers that it may be sent to.
	choice, ok, allowed := g.h.Scheduler.DecideReturn(g.h.schedulerRequest(g.call), g.givenUp, now)
	if !ok || !allowed {
		return choice, obstacle
	}
	g.givenUp = ""
	return choice, ""
}

// decideOther is decide for a server that was not tried yet.
func (g *hedger) decideOther(progress attemptProgress, now time.Time) (choice placement.Choice, obstacle string) {
	if g.unsent >= maxUnsentAttempts {
		return choice, "none: attempts without a connection are used up"
	}
	if obstacle := g.h.retryObstacle(g.call, progress, g.sentAttempts()); obstacle != "" {
		return choice, "none: " + obstacle
	}
	free := g.sentAttempts() < g.budgeted
	choice, ok, allowed := g.h.Scheduler.DecideRetry(g.h.schedulerRequest(g.call), g.tried, free, now)
	if !ok && len(g.slow) > 0 && !g.slowRetried {
		g.slowRetried = true
		maps.DeleteFunc(g.tried, func(id string, _ bool) bool { return g.slow[id] })
		choice, ok, allowed = g.h.Scheduler.DecideRetry(g.h.schedulerRequest(g.call), g.tried, free, now)
	}
	switch {
	case !ok:
		return choice, "none: no other server"
	case !allowed:
		return choice, "none: retry budget is used up"
	}
	if !free {
		g.budgeted++
	}
	return choice, ""
}

// awaitAnswer waits until the answer of an open attempt can replace that of another one: a stream has an event that the caller lacks, any
// other answer is complete. An error is returned for answers with a server error, and for those that can't go on with a stream.
func (h *Handler) awaitAnswer(ctx context.Context, c *call, e *hedge) error {
	response := e.response
	if response.StatusCode/100 == 2 && c.route.Kind == routing.Stream {
		return h.awaitEvent(e)
	}
	body, err := h.answerMemory.readAll(response.Body, maxBufferedAnswerBytes)
	if response.StatusCode >= http.StatusInternalServerError {
		if err != nil || endsWithConnection(response) {
			h.answerMemory.releaseBuffer(body)
			return errors.CombineErrors(err, errors.Newf("server failed with status %d", response.StatusCode))
		}
		e.answer = body
		return errors.Newf("server failed with status %d", response.StatusCode)
	}
	e.read = body
	if err == nil && e.events.Delivered() > 0 {
		err = errors.Newf("server did not resume the stream, status %d", response.StatusCode)
	}
	if err == nil && endsWithConnection(response) {
		checkedAt, evidence := time.Now(), liveness.Evidence{}
		if evidence, err = h.confirmProcess(ctx, e.attempt); err == nil {
			e.recordEnd(c, evidence, checkedAt)
		}
		h.recordListedProcess(e.attempt)
	}
	return errors.Wrap(err, "read answer")
}

// awaitEvent reads a stream until it has an event that the caller lacks.
func (h *Handler) awaitEvent(e *hedge) error {
	body := e.response.Body
	buffer := make([]byte, 0, answerBufferBytes)
	defer func() { e.read = buffer }()
	e.events.StartAnswer()
	for {
		if len(buffer) == cap(buffer) {
			var err error
			if buffer, err = h.answerMemory.grow(buffer); err != nil {
				return err
			}
		}
		n, err := body.Read(buffer[len(buffer):cap(buffer)])
		buffer = buffer[:len(buffer)+n]
		batch, eventErr := e.events.Accept(buffer)
		switch {
		case eventErr != nil:
			return eventErr
		case e.events.DeliveredOfAnswer() > 0:
			e.response.Body = io.NopCloser(io.MultiReader(bytes.NewReader(buffer), body))
			return nil
		case errors.Is(err, io.EOF):
			return e.events.EndAnswer(buffer[batch.Consumed:])
		case err != nil:
			return errors.Wrap(err, "read stream")
		}
		buffer = append(buffer[:0], buffer[batch.Consumed:]...)
		if len(buffer) > maxEventBytes {
			return errors.Newf("event is longer than %d bytes", maxEventBytes)
		}
	}
}

// notify wakes the goroutine of the call.
func (g *hedger) notify() {
	select {
	case g.wake <- struct{}{}:
	default:
	}
	if w := g.watch.Load(); w != nil {
		w.WakeNow()
	}
}

// collect ends the attempts beside the current one that have failed, and sets the winner if one was answered.
func (g *hedger) collect() {
	for _, e := range slices.Clone(g.pending) {
		select {
		case <-e.done:
		default:
			continue
		}
		g.pending = slices.DeleteFunc(g.pending, func(o *hedge) bool { return o == e })
		if e.err == nil {
			g.winner = e.attempt
			g.cancelPending()
			return
		}
		if e.answer != nil {
			g.h.storeFailure(g.call, e.response, e.answer)
		}
		g.end(e.attempt, e.progress, e.err)
		e.cancel()
		g.nextStart = time.Now()
	}
}

// cancel ends an attempt beside the current one.
func (g *hedger) cancel(e *hedge) {
	e.cancel()
	<-e.done
	if e.answer != nil {
		g.h.answerMemory.releaseBuffer(e.answer)
	}
	g.discard(e.attempt)
}

// cancelPending ends all attempts beside the current one.
func (g *hedger) cancelPending() {
	pending := g.pending
	g.pending = nil
	for _, e := range pending {
		g.cancel(e)
	}
}

// close ends all attempts, also the current one after a panic.
func (g *hedger) close() {
	g.cancelPending()
	if a := g.current; a != nil {
		g.stopWatch()
		g.current = nil
		g.end(a, maybeRun, errors.New("the daemon failed"))
	}
}

// next returns the attempt that follows one that has failed, nil if there is none.
func (g *hedger) next() *attempt {
	for g.winner == nil && len(g.pending) > 0 {
		next, err := g.poll()
		if err != nil || len(g.pending) == 0 {
			continue
		}
		if !g.sleep(next, nil) {
			break
		}
	}
	if a := g.winner; a != nil {
		g.winner = nil
		return a
	}
	if len(g.pending) > 0 { // the deadline has passed
		g.cancelPending()
		return nil
	}
	now := time.Now()
	choice, obstacle := g.decide(g.progress(), now)
	last := &g.call.attempts[len(g.call.attempts)-1]
	if last.alternative = obstacle; obstacle != "" {
		return nil
	}
	last.alternative = "chosen"
	return g.h.newAttempt(g.call, choice, now)
}

// sleep waits until the given time, the next notification or the end of another wait. It returns false if the deadline has passed.
func (g *hedger) sleep(until time.Time, ended <-chan struct{}) bool {
	timer := time.NewTimer(time.Until(until))
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-g.wake:
	case <-ended:
	case <-g.ctx.Done():
		return false
	}
	return true
}

// awaitEnd waits for the result of the check whether the server of the current attempt has ended. It returns errSuperseded if another
// attempt is answered before.
func (g *hedger) awaitEnd(check <-chan error) error {
	g.ending = true
	defer func() { g.ending = false }()
	ended, err := make(chan struct{}), error(nil)
	go func() {
		err = <-check
		close(ended)
	}()
	g.nextStart = time.Now().Add(endTimeout)
	for {
		next := time.Now().Add(time.Hour)
		if g.watch.Load() != nil {
			var pollErr error
			if next, pollErr = g.poll(); pollErr != nil {
				return pollErr
			}
		}
		g.sleep(next, ended)
		select {
		case <-ended:
			return err
		case <-g.ctx.Done():
			return g.ctx.Err()
		default:
		}
	}
}
