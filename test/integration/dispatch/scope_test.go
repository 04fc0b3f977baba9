package dispatch

import (
	"testing"

	"github.com/filbertrill/filbertrill/internal/ticket"
)

// TestScopeChangesUnderLoad changes the scope of a service by tickets while callers in both
// zones use it, and requires that no call fails.
func TestScopeChangesUnderLoad(t *testing.T) {
	f, _ := startTwoZones(t, nil)
	service := f.NextTicket.Services[0]
	small := startCallers(f, t, "small", 0, 6)
	large := startCallers(f, t, "large", 1, 20)
	small.waitForAnswers(t, 20)
	for _, scope := range []ticket.Scope{ticket.ScopeRegion, ticket.ScopeZone} {
		service.Scope = scope
		f.NextTicket = ticket.Ticket{
			Number: f.NextTicket.Number, Author: "test", Reason: "scope", Services: []ticket.Service{service},
		}
		f.SubmitNext()
		small.waitForAnswers(t, 40)
		large.waitForAnswers(t, 40)
	}
	small.requireNoFailures(t)
	large.requireNoFailures(t)
}
