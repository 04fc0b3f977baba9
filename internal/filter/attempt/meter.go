package attempt

import (
	"time"

	"github.com/filbertrill/filbertrill/internal/backend"
	"github.com/filbertrill/filbertrill/internal/cost"
	"github.com/filbertrill/filbertrill/internal/filter"
)

// progressInterval is the time between two reports of a run's cost.
const progressInterval = 50 * time.Millisecond

// meter measures an answer while it runs.
type meter struct {
	r        *filter.Request
	metrics  Metrics
	progress func(cost float64) // nil when no slot is charged
	prompt   int                // estimated tokens
	tokens   int
	last     time.Time
	reported time.Time
	paused   time.Time // when the stream broke; zero while it runs
}

// event takes in a forwarded event.
func (m *meter) event(data string) {
	now := time.Now()
	m.resumed(now)
	if usage, _, found := backend.UsageOf(data); found {
		m.r.Cost = cost.Tokens(usage.PromptTokens, usage.CompletionTokens)
		return
	}
	if m.tokens == 0 {
		m.r.FirstToken = now
	} else {
		m.metrics.ObserveTokenGap(m.r.Account.ID, m.r.Service.ID, now.Sub(m.last))
	}
	m.last = now
	m.tokens++
	m.r.Cost = cost.Tokens(m.prompt, m.tokens)
	if m.progress != nil && now.Sub(m.reported) >= progressInterval {
		m.reported = now
		m.progress(m.r.Cost)
	}
}

// interrupted notes that the stream broke or fell silent.
func (m *meter) interrupted() {
	if m.paused.IsZero() {
		m.paused = time.Now()
	}
}

func (m *meter) resumed(now time.Time) {
	if m.paused.IsZero() {
		return
	}
	m.metrics.ObserveResumePause(m.r.Service.ID, now.Sub(m.paused))
	m.paused = time.Time{}
}
