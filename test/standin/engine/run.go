package engine

import (
	"context"
	"strconv"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"

	"github.com/filbertrill/filbertrill/test/standin/runs"
)

// vocabularySize is the number of different answer tokens.
const vocabularySize = 100

var (
	errCancelled = errors.New("cancelled")
	errAbandoned = errors.New("no reader within the resume window")
)

// run is one execution of a chat completion.
type run struct {
	id               string
	key              string
	path             string
	user             string
	model            string
	created          time.Time
	prompt           []string // prompt tokens; only generate reads them
	promptTokens     int
	answerTokens     int  // length of the complete answer
	limitedByRequest bool // answerTokens is the request's limit
	includeUsage     bool // the last stream event has the token usage
	recorderIndex    int  // index in Engine.recorder
	resumeWindow     time.Duration

	ctx  context.Context
	stop context.CancelCauseFunc

	mu           sync.Mutex
	generated    int
	outcome      string        // empty while running
	changed      chan struct{} // closed and replaced on each change
	readers      int
	abandonTimer *time.Timer // ends the run if it has no reader
}

// state is a snapshot of a run's progress.
type state struct {
	generated int
	outcome   string
	changed   <-chan struct{}
}

func (r *run) state() state {
	r.mu.Lock()
	defer r.mu.Unlock()
	return state{generated: r.generated, outcome: r.outcome, changed: r.changed}
}

// notify wakes up all readers. r.mu must be held.
func (r *run) notify() {
	close(r.changed)
	r.changed = make(chan struct{})
}

func (r *run) addToken() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.generated++
	r.notify()
}

func (r *run) finish(outcome string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.outcome = outcome
	if r.abandonTimer != nil {
		r.abandonTimer.Stop()
	}
	r.notify()
	r.stop(nil)
}

// attach adds a reader and stops the timer that would abandon the run.
func (r *run) attach() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.readers++
	if r.abandonTimer != nil {
		r.abandonTimer.Stop()
		r.abandonTimer = nil
	}
}

// detach removes a reader. A run without readers is abandoned after the resume window.
func (r *run) detach() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.readers--
	if r.readers > 0 || r.outcome != "" {
		return
	}
	r.abandonTimer = time.AfterFunc(r.resumeWindow, r.abandon)
}

// abandon ends the run unless a reader has attached again.
func (r *run) abandon() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.readers == 0 {
		r.stop(errAbandoned)
	}
}

// token returns the answer token at the offset.
func (r *run) token(offset int) string { return Token(r.id, offset) }

// Token returns the answer token of a request id at the offset. It depends only on these two.
func Token(id string, offset int) string {
	hash := xxhash.Sum64String(id + ":" + strconv.Itoa(offset))
	return "w" + strconv.FormatUint(hash%vocabularySize, 10) + " "
}

func (r *run) finishReason() string {
	if r.limitedByRequest {
		return "length"
	}
	return "stop"
}

// stopOutcome returns the outcome of a run whose context was cancelled.
func stopOutcome(ctx context.Context) string {
	switch {
	case errors.Is(context.Cause(ctx), errCancelled):
		return runs.Cancelled
	case errors.Is(context.Cause(ctx), errAbandoned):
		return runs.Abandoned
	default:
		return runs.Stopped
	}
}
