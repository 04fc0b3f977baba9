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
	stepBase   = 4.0  // ms a token of one stream
	stepPerRun = 0.05 // ms more for each request that runs
	// fetchSetup is the time that a fetch takes whatever its size.
	fetchSetup = 3 * time.Millisecond
)

// engine is one backend server: it runs so many requests at once, reads their prompts one
// after the other and keeps the parts, and generates the more slowly the more requests run.
// It forgets nothing for lack of memory.
type engine struct {
	EngineSpec
	free    time.Time // when what was sent before has been read
	link    time.Time // when what was fetched before has been moved
	running int
	waiting []func(now time.Time)
	dark    bool // takes requests and answers none
	kept    map[uint64]bool
}

// enter calls the function once there is a place for another request.
func (e *engine) enter(now time.Time, run func(now time.Time)) {
	if e.running >= e.Slots {
		e.waiting = append(e.waiting, run)
		return
	}
	e.running++
	run(now)
}

// leave gives the place of a request to the one that has waited longest.
func (e *engine) leave(now time.Time) {
	if len(e.waiting) == 0 {
		e.running--
		return
	}
	next := e.waiting[0]
	e.waiting = e.waiting[1:]
	next(now)
}

// fetch moves what the other engine keeps of the prompt beyond what this one keeps, one
// transfer after the other on both links, and returns when it is there.
func (e *engine) fetch(from *engine, r placement.Request, now time.Time) time.Time {
	tokens := 0
	for _, p := range r.Parts {
		if from.kept[p.ID] && !e.kept[p.ID] {
			e.kept[p.ID] = true
			tokens += p.Tokens
		}
	}
	if tokens == 0 || e.FetchTokensPerMs <= 0 {
		return now
	}
	for _, link := range []time.Time{e.link, from.link} {
		if link.After(now) {
			now = link
		}
	}
	now = now.Add(fetchSetup + milliseconds(float64(tokens)/e.FetchTokensPerMs))
	e.link, from.link = now, now
	return now
}

// read returns when the first event of the request comes, and the shared tokens that the
// engine has to read for it.
func (e *engine) read(r placement.Request, now time.Time) (first time.Time, shared int) {
	tokens := 0
	for i, p := range r.Parts {
		if e.kept[p.ID] {
			continue
		}
		e.kept[p.ID] = true
		tokens += p.Tokens
		if i < len(r.Parts)-1 {
			shared += p.Tokens
		}
	}
	start := now
	if e.free.After(start) {
		start = e.free
	}
	e.free = start.Add(milliseconds(float64(tokens) / e.PrefillTokensPerMs))
	return e.free.Add(e.FirstTokenDelay), shared
}

func (e *engine) stream(tokens int) time.Duration {
	return milliseconds(float64(tokens) * (stepBase + stepPerRun*float64(e.running)))
}

func milliseconds(n float64) time.Duration { return time.Duration(n * float64(time.Millisecond)) }
