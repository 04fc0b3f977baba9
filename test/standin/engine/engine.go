// Package engine is a stand-in for an inference engine with an OpenAI-compatible API.
// It models continuous batching: a fixed number of requests run at once, and the
// rest wait in the order of their arrival.
package engine

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/filbertrill/filbertrill/test/standin/faults"
	"github.com/filbertrill/filbertrill/test/standin/runs"
)

const (
	defaultModel         = "standin"
	defaultSlots         = 8
	defaultTokens        = 16
	defaultResumeWindow  = 30 * time.Second
	defaultCacheBlocks   = 1024
	maxCompletionTokens  = 1 << 20
	maxRequestBytes      = 64 << 20
	retryAfterSeconds    = "1"
	promptTokensPerBlock = 16
)

// Options configures an Engine. Zero values are replaced by defaults.
type Options struct {
	Model         string           // name of the only model
	Slots         int              // maximum number of requests that run at once
	TokenInterval time.Duration    // time between two answer tokens of a request
	Prefill       time.Duration    // time per prompt token that is not cached
	CacheBlocks   int              // blocks of prompt tokens in the prefix cache
	DefaultTokens int              // answer tokens if the request sets no limit
	ResumeWindow  time.Duration    // time that a run continues without a reader
	LoadLag       time.Duration    // delay of the reported load
	EventLag      time.Duration    // delay of the reported cache events
	EventGapEvery int              // every Nth cache event is dropped; 0 drops none
	ChecksOrders  bool             // reject an order with a fence below the highest seen
	Now           func() time.Time // clock; time.Now if nil
}

func (o *Options) setDefaults() {
	if o.Model == "" {
		o.Model = defaultModel
	}
	if o.Slots <= 0 {
		o.Slots = defaultSlots
	}
	if o.CacheBlocks <= 0 {
		o.CacheBlocks = defaultCacheBlocks
	}
	if o.DefaultTokens <= 0 {
		o.DefaultTokens = defaultTokens
	}
	if o.ResumeWindow <= 0 {
		o.ResumeWindow = defaultResumeWindow
	}
	if o.Now == nil {
		o.Now = time.Now
	}
}

// Engine is a simulated inference engine. It is an http.Handler and safe for concurrent use.
type Engine struct {
	opts     Options
	mux      *http.ServeMux
	faults   faults.Injector
	recorder runs.Recorder
	slots    *slots
	cache    *cache
	orders   orders

	ctx  context.Context
	stop context.CancelFunc
	wg   sync.WaitGroup

	mu     sync.Mutex
	closed bool
	runs   map[string][]*run // by request id, in start order
}

// New returns an idle engine. Callers must call Close to stop its goroutines.
func New(opts Options) *Engine {
	opts.setDefaults()
	ctx, stop := context.WithCancel(context.Background())
	e := &Engine{
		opts:   opts,
		mux:    http.NewServeMux(),
		slots:  newSlots(opts.Slots, opts.LoadLag, opts.Now),
		cache:  newCache(opts),
		orders: orders{checksOrders: opts.ChecksOrders},
		ctx:    ctx,
		stop:   stop,
		runs:   map[string][]*run{},
	}
	e.mux.HandleFunc("POST /v1/chat/completions", e.create)
	e.mux.HandleFunc("GET /v1/chat/completions/{id}", e.resume)
	e.mux.HandleFunc("DELETE /v1/chat/completions/{id}", e.cancel)
	e.mux.HandleFunc("GET /v1/models", e.listModels)
	e.mux.HandleFunc("GET /load", e.load)
	e.mux.HandleFunc("GET /events", e.events)
	e.mux.HandleFunc("POST /admin/order", e.orders.post)
	e.mux.HandleFunc("GET /admin/orders", e.orders.get)
	e.mux.Handle("GET /admin/runs", &e.recorder)
	e.mux.Handle("POST /admin/faults", &e.faults)
	return e
}

// ServeHTTP implements http.Handler.
func (e *Engine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	e.mux.ServeHTTP(w, r)
}

// SetFault sets the active fault.
func (e *Engine) SetFault(f faults.Fault) {
	e.faults.Set(f)
}

// Runs returns the recorded runs in the order of their start.
func (e *Engine) Runs() []runs.Run {
	return e.recorder.Runs()
}

// Load returns the current load, without Options.LoadLag.
func (e *Engine) Load() Load {
	return e.slots.currentLoad()
}

// Orders returns the orders accepted so far.
func (e *Engine) Orders() []Order {
	return e.orders.list()
}

// Close stops all runs and waits until they have ended.
func (e *Engine) Close() {
	e.mu.Lock()
	e.closed = true
	e.mu.Unlock()
	e.stop()
	e.wg.Wait()
}

// start records a run and starts it. It returns false if the engine is closed.
func (e *Engine) start(r *run) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.closed {
		return false
	}
	r.ctx, r.stop = context.WithCancelCause(e.ctx)
	r.recorderIndex = e.recorder.Start(runs.Run{RequestID: r.id, Key: r.key, Path: r.path, User: r.user, Started: e.opts.Now()})
	e.runs[r.id] = append(e.runs[r.id], r)
	e.wg.Add(1)
	go e.execute(r, e.slots.enqueue())
	return true
}

// execute runs the request from queueing to its outcome and records the end.
func (e *Engine) execute(r *run, request *slotRequest) {
	defer e.wg.Done()
	outcome := e.generate(r, request)
	e.slots.release(request)
	e.recorder.End(r.recorderIndex, e.opts.Now(), outcome)
	r.finish(outcome)
	e.expireLater(r)
}

// generate waits for a slot, processes the prompt, generates the answer tokens and returns the
// outcome of the run.
func (e *Engine) generate(r *run, request *slotRequest) string {
	select {
	case <-request.ready:
	case <-r.ctx.Done():
		return stopOutcome(r.ctx)
	}
	cached := e.cache.storePrompt(r.prompt)
	r.prompt = nil
	prefill := e.opts.Prefill * time.Duration(r.promptTokens-cached)
	if !sleep(r.ctx, prefill) {
		return stopOutcome(r.ctx)
	}
	for range r.answerTokens {
		if !sleep(r.ctx, e.opts.TokenInterval) {
			return stopOutcome(r.ctx)
		}
		r.addToken()
	}
	return runs.Finished
}

// expireLater removes an ended run after the resume window.
func (e *Engine) expireLater(r *run) {
	e.wg.Add(1)
	go func() {
		defer e.wg.Done()
		sleep(e.ctx, e.opts.ResumeWindow)
		e.removeRun(r)
	}()
}

func (e *Engine) removeRun(r *run) {
	e.mu.Lock()
	defer e.mu.Unlock()
	var remaining []*run
	for _, other := range e.runs[r.id] {
		if other != r {
			remaining = append(remaining, other)
		}
	}
	if len(remaining) == 0 {
		delete(e.runs, r.id)
		return
	}
	e.runs[r.id] = remaining
}

// findRuns returns the runs of the request id in start order.
func (e *Engine) findRuns(id string) []*run {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]*run(nil), e.runs[id]...)
}

// sleep waits for d or until the context is done. It reports whether d passed.
func sleep(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return ctx.Err() == nil
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
