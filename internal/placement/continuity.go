package placement

import (
	"slices"
	"time"

	"github.com/filbertrill/filbertrill/internal/routing"
)

// SetRegistrationLag sets the time within which a list of servers tells that a process has ended: a process that answers at the
// address of another one has registered by then, and otherwise the registration has expired.
func (b *Balancer) SetRegistrationLag(lag time.Duration) { b.lag = lag }

// SetListAsOf sets the time as of which the list of servers was last known to be complete.
func (b *Balancer) SetListAsOf(asOf time.Time) { b.listAsOf = asOf }

// RecordInterrupted records that the registered process of the server may have ended at the given time, and that another one may
// answer since.
func (b *Balancer) RecordInterrupted(registered routing.Server, at time.Time) {
	if s, ok := b.process(registered); ok && at.After(s.interruptedAt) {
		s.interruptedAt = at
	}
}

// RecordRefused records that the server refused a connection of this daemon at the given time: the registered process has ended.
func (b *Balancer) RecordRefused(registered routing.Server, at time.Time) {
	b.RecordInterrupted(registered, at)
	if s, ok := b.process(registered); ok && at.After(s.refusedAt) {
		s.refusedAt = at
	}
}

// Refusal names a process that refused a connection.
type Refusal struct {
	Server, Process uint64 // hash of the ID, and ServerIdentity
	At              time.Time
}

// Refusals returns the registered processes that refused a connection of this daemon, as long as others may answer for them.
func (b *Balancer) Refusals() (refusals []Refusal) {
	for _, s := range b.servers {
		if !s.refusedAt.IsZero() && !b.listAsOf.After(s.refusedAt.Add(b.lag)) {
			refusals = append(refusals, Refusal{s.hash, s.identity, s.refusedAt})
		}
	}
	return refusals
}

// Registered returns the server if the process of the refusal is still the registered one.
func (b *Balancer) Registered(r Refusal) (routing.Server, bool) {
	if s, ok := b.byHash[r.Server]; ok && s.identity == r.Process {
		return s.Server, true
	}
	return routing.Server{}, false
}

// MayHaveChanged reports whether another process than the registered one may answer at the server: its version isn't known.
func (b *Balancer) MayHaveChanged(registered routing.Server) bool {
	s, ok := b.process(registered)
	return !ok || b.mayHaveChanged(s)
}

func (b *Balancer) mayHaveChanged(s *server) bool {
	return !s.interruptedAt.IsZero() && !b.listAsOf.After(s.interruptedAt.Add(b.lag))
}

// anyCertain reports whether the version of a ready server that the request may be sent to is known.
func (b *Balancer) anyCertain(r Request) bool {
	return slices.ContainsFunc(b.ready[r.Service], func(s *server) bool { return r.allows(s) && !b.mayHaveChanged(s) })
}

// process returns the server if it is still registered with this process.
func (b *Balancer) process(registered routing.Server) (*server, bool) {
	s, ok := b.servers[registered.ID]
	return s, ok && s.Incarnation == registered.Incarnation && s.Address == registered.Address
}
