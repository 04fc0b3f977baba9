package attempt

import (
	"time"

	"github.com/filbertrill/filbertrill/internal/backend"
	"github.com/filbertrill/filbertrill/internal/cost"
	"github.com/filbertrill/filbertrill/internal/filter"
)

// progressInterval is the minimum time between two reports of the cost of an attempt.
const progressInterval = 50 * time.Millisecond

// meter measures the cost and the timing of an answer while it is streamed.
type meter struct {
	request         *filter.Request
	metrics         Metrics
	reportProgress  func(cost float64) // nil if the attempt has no lease
	promptTokens    int                // estimate
	generatedTokens int
	lastToken       time.Time
	lastReport      time.Time
	interruptedAt   time.Time // zero if the stream is not interrupted
}

// recordEvent records an event that is forwarded to the caller. An event without usage counts as one
// token.
func (m *meter) recordEvent(data string) {
	now := time.Now()
	m.recordResumption(now)
	if usage, _, found := backend.ParseUsage(data); found {
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

// recordInterruption records that the connection to the engine broke or was idle for too long.
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
