package admission

import "time"

// pacerBurst is the time whose credit an account keeps while it sends nothing. Requests arrive
// unevenly within a few hundred milliseconds.
const pacerBurst = 500 * time.Millisecond

// pacer limits the rate at which an account receives tokens from one daemon (token bucket). A request
// may exceed the credit, and the debt delays the next ones: otherwise either large requests would
// never be admitted, or each daemon would exceed its rate by one request.
type pacer struct {
	credit    float64 // tokens; negative for a debt
	updatedAt time.Time
}

// accrue adds the credit of the time since the last update, at the rate in tokens per second.
func (p *pacer) accrue(rate float64, now time.Time) {
	if elapsed := now.Sub(p.updatedAt); elapsed > 0 {
		p.credit += rate * elapsed.Seconds()
		p.updatedAt = now
	}
	p.credit = min(p.credit, rate*pacerBurst.Seconds())
}
