package attempt

import (
	"sync"
	"time"

	"github.com/filbertrill/filbertrill/internal/controller/dispatch"
	"github.com/filbertrill/filbertrill/internal/health"
	"github.com/filbertrill/filbertrill/internal/retry"
	"github.com/filbertrill/filbertrill/internal/ticket"
)

// servers keeps what this daemon learns of the backend servers. It is safe for concurrent use.
type serverState struct {
	mu         sync.Mutex
	tracker    *health.Tracker
	budgets    map[string]*retry.Budget // by service
	heldLeases map[string]int           // leases on closed servers, by server
}

func newServerState() *serverState {
	return &serverState{
		tracker:    health.NewTracker(),
		budgets:    map[string]*retry.Budget{},
		heldLeases: map[string]int{},
	}
}

// request counts a request towards the budget of its service.
func (s *serverState) recordRequest(service string, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.budget(service, now).RecordRequest(now)
}

// mayRetry takes a retry out of the budget of the service.
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

// admit reports whether an attempt on the server may start. When every other server of the
// service is closed too, it may: the closures could be wrong.
func (s *serverState) admit(server ticket.Server, others []ticket.Server, now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.tracker.Admit(now, server.ID) {
		return true
	}
	for _, other := range others {
		if other.State == ticket.ServerJoined && s.tracker.State(now, other.ID) == health.Healthy {
			return false
		}
	}
	return true
}

// park holds a lease on a closed server until the closure ends, so that the dispatcher
// grants other servers meanwhile. It ends the lease and reports false when as many
// leases as the server has slots are held.
func (s *serverState) holdLease(lease *dispatch.Lease, now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	id := lease.Server.ID
	remaining := s.tracker.EjectedUntil(id).Sub(now)
	if remaining <= 0 || s.heldLeases[id] >= lease.Server.Slots {
		lease.End(0)
		return false
	}
	s.heldLeases[id]++
	time.AfterFunc(remaining, func() { s.releaseLease(lease) })
	return true
}

func (s *serverState) releaseLease(lease *dispatch.Lease) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.heldLeases[lease.Server.ID]--; s.heldLeases[lease.Server.ID] == 0 {
		delete(s.heldLeases, lease.Server.ID)
	}
	lease.End(0)
}

func (s *serverState) recordSuccess(server string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.tracker.Succeeded(server)
}

// failed records a failure, and reports whether it closed the server.
func (s *serverState) recordFailure(server string, now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	stateBefore := s.tracker.State(now, server)
	s.tracker.Failed(now, server)
	return stateBefore != health.Ejected && s.tracker.State(now, server) == health.Ejected
}
