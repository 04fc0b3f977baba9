package engine

import (
	"encoding/json"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/google/uuid"

	"github.com/filbertrill/filbertrill/test/standin/faults"
)

// create runs a chat completion and responds with the answer.
func (e *Engine) create(w http.ResponseWriter, r *http.Request) {
	fault := e.faults.Next()
	var req chatRequest
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxRequestBytes)).Decode(&req); err != nil {
		writeError(w, http.StatusBadRequest, "body is not valid JSON")
		return
	}
	run, problem := e.newRun(r, req)
	if problem != "" {
		writeError(w, http.StatusBadRequest, problem)
		return
	}
	if !e.applyFaultBeforeRun(w, r, fault) {
		return
	}
	if e.orders.isDraining() {
		writeUnavailable(w, "draining")
		return
	}
	if !e.start(run) {
		writeUnavailable(w, "stopped")
		return
	}
	run.attach()
	defer run.detach()
	if req.Stream {
		e.streamAnswer(w, r, run, 0, fault)
		return
	}
	e.writeAnswer(w, r, run, fault)
}

// newRun returns the run of a request, or the error message if the request is invalid.
func (e *Engine) newRun(r *http.Request, req chatRequest) (*run, string) {
	if req.Model != e.opts.Model {
		return nil, "model is not known"
	}
	if len(req.Messages) == 0 {
		return nil, "messages are missing"
	}
	answerTokens, limitedByRequest := req.answerLimit()
	if !limitedByRequest {
		answerTokens = e.opts.DefaultTokens
	}
	if answerTokens < 1 || answerTokens > maxCompletionTokens {
		return nil, "number of answer tokens is out of range"
	}
	id := r.Header.Get("X-Request-Id")
	if id == "" {
		id = uuid.NewString()
	}
	prompt := req.promptTokens()
	if n, ok := promptAnswerLength(prompt); ok && n < answerTokens {
		answerTokens, limitedByRequest = n, false
	}
	return &run{
		id:               id,
		key:              r.Header.Get("Idempotency-Key"),
		path:             r.URL.Path,
		user:             req.User,
		model:            req.Model,
		created:          e.opts.Now(),
		prompt:           prompt,
		promptTokens:     len(prompt),
		answerTokens:     answerTokens,
		limitedByRequest: limitedByRequest,
		includeUsage:     req.StreamOptions.IncludeUsage,
		resumeWindow:     e.opts.ResumeWindow,
		changed:          make(chan struct{}),
	}, ""
}

// applyFaultBeforeRun applies the faults that take effect before a run or a resumed stream starts.
// It reports whether to continue.
func (e *Engine) applyFaultBeforeRun(w http.ResponseWriter, r *http.Request, fault faults.Fault) bool {
	switch fault.Mode {
	case faults.Refuse:
		writeUnavailable(w, "refused")
		return false
	case faults.HTTP500:
		writeError(w, http.StatusInternalServerError, "failed")
		return false
	case faults.CloseAfterRead:
		faults.Abort()
	case faults.Slow:
		select {
		case <-time.After(fault.Delay()):
		case <-r.Context().Done():
			return false
		case <-e.ctx.Done():
			return false
		}
	}
	return true
}

func writeUnavailable(w http.ResponseWriter, text string) {
	w.Header().Set("Retry-After", retryAfterSeconds)
	writeError(w, http.StatusServiceUnavailable, text)
}

// waitForToken blocks until the run has more than n tokens or has ended.
// It returns false if the client disconnected first.
func (e *Engine) waitForToken(r *http.Request, run *run, n int) (state, bool) {
	for {
		current := run.state()
		if current.generated > n || current.outcome != "" {
			return current, true
		}
		select {
		case <-current.changed:
		case <-r.Context().Done():
			return current, false
		}
	}
}

// writeAnswer waits for the end of the run and writes the non-streaming answer.
func (e *Engine) writeAnswer(w http.ResponseWriter, r *http.Request, run *run, fault faults.Fault) {
	e.blockIfSilent(r, fault)
	current, ok := e.waitForToken(r, run, run.answerTokens)
	if !ok {
		return
	}
	if current.generated < run.answerTokens || fault.Mode == faults.LoseAnswer {
		faults.Abort()
	}
	body, err := json.Marshal(run.fullAnswer())
	if err != nil {
		writeError(w, http.StatusInternalServerError, "answer is not encodable")
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	if fault.Mode == faults.CloseMidStream {
		_, _ = w.Write(body[:len(body)/2])
		_ = http.NewResponseController(w).Flush()
		faults.Abort()
	}
	_, _ = w.Write(body)
}

// blockIfSilent blocks until the client disconnects and aborts the request if the fault is Silent.
func (e *Engine) blockIfSilent(r *http.Request, fault faults.Fault) {
	if fault.Mode != faults.Silent {
		return
	}
	select {
	case <-r.Context().Done():
	case <-e.ctx.Done():
	}
	faults.Abort()
}

// resume continues the stream of the newest run of a request id after the last event that the
// client received.
func (e *Engine) resume(w http.ResponseWriter, r *http.Request) {
	id := r.PathValue("id")
	runs := e.findRuns(id)
	if len(runs) == 0 {
		writeError(w, http.StatusNotFound, "request is not known")
		return
	}
	from, ok := nextOffset(id, r.Header.Get("Last-Event-ID"))
	if !ok {
		writeError(w, http.StatusBadRequest, "Last-Event-ID is not one of this request")
		return
	}
	fault := e.faults.Next()
	if !e.applyFaultBeforeRun(w, r, fault) {
		return
	}
	run := runs[len(runs)-1]
	run.attach()
	defer run.detach()
	e.streamAnswer(w, r, run, from, fault)
}

// nextOffset returns the offset after that of the event id last, and 0 if last is empty.
// It returns false if last is not an event id of the request.
func nextOffset(id, last string) (int, bool) {
	if last == "" {
		return 0, true
	}
	raw, ok := strings.CutPrefix(last, id+":")
	if !ok {
		return 0, false
	}
	offset, err := strconv.Atoi(raw)
	if err != nil || offset < 0 {
		return 0, false
	}
	return offset + 1, true
}

// cancel stops the runs of a request id, which releases their slots.
func (e *Engine) cancel(w http.ResponseWriter, r *http.Request) {
	cancelled := 0
	for _, run := range e.findRuns(r.PathValue("id")) {
		if run.state().outcome == "" {
			run.stop(errCancelled)
			cancelled++
		}
	}
	if cancelled == 0 {
		writeError(w, http.StatusNotFound, "request is not running")
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

func (e *Engine) listModels(w http.ResponseWriter, _ *http.Request) {
	model := map[string]any{"id": e.opts.Model, "object": "model", "created": 0, "owned_by": "standin"}
	writeJSON(w, http.StatusOK, map[string]any{"object": "list", "data": []any{model}})
}

func (e *Engine) load(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, e.slots.laggedLoad())
}

func (e *Engine) events(w http.ResponseWriter, r *http.Request) {
	after := int64(0)
	if raw := r.FormValue("after"); raw != "" {
		n, err := strconv.ParseInt(raw, 10, 64)
		if err != nil {
			writeError(w, http.StatusBadRequest, "after is not a number")
			return
		}
		after = n
	}
	writeJSON(w, http.StatusOK, map[string]any{"events": e.cache.eventsAfter(after)})
}
