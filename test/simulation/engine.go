// Package plays plays loads in virtual time on a model of engines, with the decision code of
// the product or with simpler ways beside it, and tells what callers get.
package simulation

import (
	"time"

	"github.com/filbertrill/filbertrill/internal/placement"
)

// Figures are those of an engine.
type EngineSpec struct {
	Slots              int           // requests that it runs at once
	PrefillTokensPerMs float64       // prompt tokens a ms
	FirstTokenDelay    time.Duration // from the last token read to the first event
	FetchTokensPerMs   float64       // tokens a ms that engines fetch from each other; 0 when they can't
}

// Roomy engines have more places than requests: reading is what is scarce.
func ManySlotEngine() EngineSpec {
	return EngineSpec{Slots: 64, PrefillTokensPerMs: 100, FirstTokenDelay: 50 * time.Millisecond}
}

// Users returns the figures of the users' engines, after 3,911 answers on their bench
// (mtesz-cert-grown trouble-1, tenth percentile by prompt tokens to read): 60 ms and 12 ms for
// each 1,000 tokens, whatever runs beside, up to 16 requests at once.
func BenchmarkedEngine() EngineSpec {
	return EngineSpec{Slots: 16, PrefillTokensPerMs: 81, FirstTokenDelay: 60 * time.Millisecond}
}

const (
	baseMsPerToken   = 4.0  // ms a token of one stream
	msPerTokenPerRun = 0.05 // ms more for each request that runs
	// fetchSetup is the time that a fetch takes whatever its size.
	fetchSetupTime = 3 * time.Millisecond
)

// engine is one backend server: it runs so many requests at once, reads their prompts one
// after the other and keeps the parts, and generates the more slowly the more requests run.
// It forgets nothing for lack of memory.
type engine struct {
	EngineSpec
	prefillFreeAt time.Time // when what was sent before has been read
	linkFreeAt    time.Time // when what was fetched before has been moved
	running       int
	queue         []func(now time.Time)
	unresponsive  bool // takes requests and answers none
	cached        map[uint64]bool
}

// enter calls the function once there is a place for another request.
func (e *engine) acquireSlot(now time.Time, run func(now time.Time)) {
	if e.running >= e.Slots {
		e.queue = append(e.queue, run)
		return
	}
	e.running++
	run(now)
}

// leave gives the place of a request to the one that has waited longest.
func (e *engine) releaseSlot(now time.Time) {
	if len(e.queue) == 0 {
		e.running--
		return
	}
	next := e.queue[0]
	e.queue = e.queue[1:]
	next(now)
}

// fetch moves what the other engine keeps of the prompt beyond what this one keeps, one
// transfer after the other on both links, and returns when it is there.
func (e *engine) fetchParts(source *engine, r placement.Request, now time.Time) time.Time {
	tokens := 0
	for _, p := range r.Parts {
		if source.cached[p.ID] && !e.cached[p.ID] {
			e.cached[p.ID] = true
			tokens += p.Tokens
		}
	}
	if tokens == 0 || e.FetchTokensPerMs <= 0 {
		return now
	}
	for _, freeAt := range []time.Time{e.linkFreeAt, source.linkFreeAt} {
		if freeAt.After(now) {
			now = freeAt
		}
	}
	now = now.Add(fetchSetupTime + milliseconds(float64(tokens)/e.FetchTokensPerMs))
	e.linkFreeAt, source.linkFreeAt = now, now
	return now
}

// read returns when the first event of the request comes, and the shared tokens that the
// engine has to read for it.
func (e *engine) prefill(r placement.Request, now time.Time) (firstEvent time.Time, sharedTokens int) {
	tokens := 0
	for i, p := range r.Parts {
		if e.cached[p.ID] {
			continue
		}
		e.cached[p.ID] = true
		tokens += p.Tokens
		if i < len(r.Parts)-1 {
			sharedTokens += p.Tokens
		}
	}
	start := now
	if e.prefillFreeAt.After(start) {
		start = e.prefillFreeAt
	}
	e.prefillFreeAt = start.Add(milliseconds(float64(tokens) / e.PrefillTokensPerMs))
	return e.prefillFreeAt.Add(e.FirstTokenDelay), sharedTokens
}

func (e *engine) streamTime(tokens int) time.Duration {
	return milliseconds(float64(tokens) * (baseMsPerToken + msPerTokenPerRun*float64(e.running)))
}

func milliseconds(n float64) time.Duration { return time.Duration(n * float64(time.Millisecond)) }
