package attempt

import (
	"sync"
	"time"

	"github.com/filbertrill/filbertrill/internal/controller/dispatch"
	"github.com/filbertrill/filbertrill/internal/health"
	"github.com/filbertrill/filbertrill/internal/retry"
	"github.com/filbertrill/filbertrill/internal/ticket"
)

// serverState holds this daemon's view of the backend servers: their health, the retry budgets of the
// services and the held leases. It is safe for concurrent use.
type serverState struct {
	mu         sync.Mutex
	tracker    *health.Tracker
	budgets    map[string]*retry.Budget // by service ID
	heldLeases map[string]int           // number of held leases, by server ID
}

func newServerState() *serverState {
	return &serverState{
		tracker:    health.NewTracker(),
		budgets:    map[string]*retry.Budget{},
		heldLeases: map[string]int{},
	}
}

// recordRequest credits a request to the retry budget of its service.
func (s *serverState) recordRequest(service string, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.budget(service, now).RecordRequest(now)
}

// takeRetry consumes one retry of the service's budget. It reports false if the budget is exhausted.
func (s *serverState) takeRetry(service string, now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.budget(service, now).Take(now)
}

func (s *serverState) budget(service string, now time.Time) *retry.Budget {
	b, ok := s.budgets[service]
	if !ok {
		b = retry.NewBudget(now)
		s.budgets[service] = b
	}
	return b
}

// admit reports whether an attempt on the server may start. The servers are all those of its service.
// It admits an ejected server if no joined server is healthy, because the ejections may be wrong.
func (s *serverState) admit(server ticket.Server, servers []ticket.Server, now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.tracker.Admit(now, server.ID) {
		return true
	}
	for _, other := range servers {
		if other.State == ticket.ServerJoined && s.tracker.State(now, other.ID) == health.Healthy {
			return false
		}
	}
	return true
}

// holdLease keeps a lease on an ejected server until the ejection ends, so that the dispatcher grants
// slots of other servers meanwhile. If the ejection is over or all slots of the server are held, it
// ends the lease at once and reports false.
func (s *serverState) holdLease(lease *dispatch.Lease, now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	id := lease.Server.ID
	remaining := s.tracker.EjectedUntil(id).Sub(now)
	if remaining <= 0 || s.heldLeases[id] >= lease.Server.Slots {
		lease.Release(0)
		return false
	}
	s.heldLeases[id]++
	time.AfterFunc(remaining, func() { s.releaseLease(lease) })
	return true
}

// releaseLease ends a held lease.
func (s *serverState) releaseLease(lease *dispatch.Lease) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.heldLeases[lease.Server.ID]--; s.heldLeases[lease.Server.ID] == 0 {
		delete(s.heldLeases, lease.Server.ID)
	}
	lease.Release(0)
}

func (s *serverState) recordSuccess(server string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.tracker.Succeeded(server)
}

// recordFailure records a failure of the server and reports whether the server was ejected for it.
func (s *serverState) recordFailure(server string, now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	stateBefore := s.tracker.State(now, server)
	s.tracker.Failed(now, server)
	return stateBefore != health.Ejected && s.tracker.State(now, server) == health.Ejected
}
