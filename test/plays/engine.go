// Package plays plays loads in virtual time on a model of engines, with the decision code of
// the product or with simpler ways beside it, and tells what callers get.
package plays

import (
	"time"

	"github.com/filbertrill/filbertrill/internal/placement"
)

// Figures of the model, near those of the users' engines.
const (
	readRate   = 100.0 // prompt tokens a ms
	stepBase   = 4.0   // ms a token of one stream
	stepPerRun = 0.05  // ms more for each request that runs
	firstDelay = 50 * time.Millisecond
	// placeDelay is the wait for each request beyond the places of an engine.
	placeDelay = 30 * time.Millisecond
	modelSlots = 64
)

// engine is one backend server: it reads prompts one after the other, keeps their parts, and
// generates the more slowly the more requests it runs. It forgets nothing for lack of memory.
type engine struct {
	free    time.Time // when what was sent before has been read
	running int
	dark    bool // takes requests and answers none
	kept    map[uint64]bool
}

// arrive returns when the first event of the request comes, and the shared tokens that are
// read though another engine, or this one before a crash, had read them.
func (e *engine) arrive(r placement.Request, now time.Time) (first time.Time, shared int) {
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
	if wait := e.running - modelSlots; wait > 0 {
		start = start.Add(time.Duration(wait) * placeDelay)
	}
	e.free = start.Add(milliseconds(float64(tokens) / readRate))
	e.running++
	return e.free.Add(firstDelay), shared
}

func (e *engine) stream(tokens int) time.Duration {
	return milliseconds(float64(tokens) * (stepBase + stepPerRun*float64(e.running)))
}

func milliseconds(n float64) time.Duration { return time.Duration(n * float64(time.Millisecond)) }
