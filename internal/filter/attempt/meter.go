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
	request         *filter.Request
	metrics         Metrics
	reportProgress  func(cost float64) // nil when no slot is charged
	promptTokens    int                // estimated tokens
	generatedTokens int
	lastToken       time.Time
	lastReport      time.Time
	interruptedAt   time.Time // when the stream broke; zero while it runs
}

// event takes in a forwarded event.
func (m *meter) recordEvent(data string) {
	now := time.Now()
	m.recordResumption(now)
	if usage, _, found := backend.UsageOf(data); found {
		m.request.Cost = cost.Tokens(usage.PromptTokens, usage.CompletionTokens)
		return
	}
	if m.generatedTokens == 0 {
		m.request.FirstToken = now
	} else {
		m.metrics.ObserveTokenGap(m.request.Account.ID, m.request.Service.ID, now.Sub(m.lastToken))
	}
	m.lastToken = now
	m.generatedTokens++
	m.request.Cost = cost.Tokens(m.promptTokens, m.generatedTokens)
	if m.reportProgress != nil && now.Sub(m.lastReport) >= progressInterval {
		m.lastReport = now
		m.reportProgress(m.request.Cost)
	}
}

// interrupted notes that the stream broke or fell silent.
func (m *meter) recordInterruption() {
	if m.interruptedAt.IsZero() {
		m.interruptedAt = time.Now()
	}
}

func (m *meter) recordResumption(now time.Time) {
	if m.interruptedAt.IsZero() {
		return
	}
	m.metrics.ObserveResumePause(m.request.Service.ID, now.Sub(m.interruptedAt))
	m.interruptedAt = time.Time{}
}
