package dispatch

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	core "github.com/filbertrill/filbertrill/internal/dispatch"
	"github.com/filbertrill/filbertrill/internal/member"
	"github.com/filbertrill/filbertrill/internal/peer/pb"
	"github.com/filbertrill/filbertrill/internal/ticket"
)

// regionPool is the name of the only pool of a service in ScopeRegion. No zone has this
// name.
const regionPool = "*"

// engineRemoteStandby is the number of requests of other zones that may wait in an engine for
// a slot (core.Pool.RemoteStandby). Plain services get none, because not all of them queue
// requests.
const engineRemoteStandby = 1

// poolKey identifies a pool: the servers of a service that share one dispatcher.
type poolKey struct {
	service string
	pool    string
}

// topology assigns members and servers to pools, based on one snapshot of the live members.
type topology struct {
	scope Scope // ScopeZone defers to the scope of each service; other values override it
	self  string
	zone  string
	live  []*pb.Member
}

func (c *Controller) topology(now time.Time) topology {
	return topology{scope: c.opts.Scope, self: c.opts.SelfID, zone: c.opts.Zone, live: eligibleDispatchers(c.opts.Members.Live(now))}
}

// eligibleDispatchers returns the members that may be dispatchers: those that have left the
// starting state and so have a configuration, or all members when there are none.
func eligibleDispatchers(live []*pb.Member) []*pb.Member {
	var ready []*pb.Member
	for _, m := range live {
		if m.State != pb.MemberState_MEMBER_STATE_STARTING {
			ready = append(ready, m)
		}
	}
	if len(ready) == 0 {
		return live
	}
	return ready
}

// homePool returns the pool of the service that this daemon reports to.
func (t topology) homePool(config *ticket.Config, service string) string {
	if t.scope == ScopeDaemon {
		return t.self
	}
	s, ok := config.Service(service)
	if t.scope == ScopeRegion || (ok && s.Scope == ticket.ScopeRegion) {
		return regionPool
	}
	return t.zone
}

// scopeOf returns the scope of the pool with the given name.
func (t topology) scopeOf(pool string) Scope {
	switch {
	case t.scope == ScopeDaemon:
		return ScopeDaemon
	case pool == regionPool:
		return ScopeRegion
	}
	return ScopeZone
}

// owner returns the member that runs the pool's dispatcher, or nil when no member is live.
// The pool of a zone without live members is owned by a member of another zone.
func (t topology) owner(key poolKey) *pb.Member {
	if t.scope == ScopeDaemon {
		return member.Owner(key.pool, t.members(key.pool))
	}
	members := t.members(key.pool)
	if len(members) == 0 {
		members = t.live
	}
	return member.Owner(key.service+"/"+key.pool, members)
}

// members returns the daemons that report to the pool.
func (t topology) members(pool string) []*pb.Member {
	var members []*pb.Member
	scope := t.scopeOf(pool)
	for _, m := range t.live {
		inZone := scope == ScopeZone && m.Zone == pool
		isDaemon := scope == ScopeDaemon && m.Id == pool
		if scope == ScopeRegion || inZone || isDaemon {
			members = append(members, m)
		}
	}
	return members
}

// memberIDs returns the IDs of the daemons that report to the pool.
func (t topology) memberIDs(pool string) []string {
	var ids []string
	for _, m := range t.members(pool) {
		ids = append(ids, m.Id)
	}
	return ids
}

// pools returns the names of a service's pools in ascending order.
func (t topology) pools(config *ticket.Config, service string) []string {
	if home := t.homePool(config, service); t.scopeOf(home) != ScopeZone {
		return []string{home}
	}
	var zones []string
	for _, s := range config.ServersOf(service) {
		zones = append(zones, s.Zone)
	}
	for _, m := range t.live {
		zones = append(zones, m.Zone)
	}
	slices.Sort(zones)
	return slices.Compact(zones)
}

// pool returns the part of the configuration that the pool's dispatcher needs.
func (t topology) pool(config *ticket.Config, key poolKey) core.Pool {
	pool := core.Pool{Name: key.pool, Accounts: map[string]core.AccountSpec{}}
	if s, ok := config.Service(key.service); ok {
		pool.Standby = s.Standby
		if s.Kind == ticket.ServiceModel {
			pool.RemoteStandby = engineRemoteStandby
		}
	}
	for _, s := range config.ServersOf(key.service) {
		if slots := t.slots(s, key.pool); slots > 0 {
			spec := core.ServerSpec{ID: s.ID, Slots: slots, Schedulable: s.State == ticket.ServerJoined}
			pool.Servers = append(pool.Servers, spec)
		}
	}
	for _, a := range config.Accounts() {
		pool.Accounts[a.ID] = core.AccountSpec{Weight: a.Weight, MaxInFlight: a.MaxInFlight}
	}
	return pool
}

// slots returns the number of a server's slots that belong to the pool.
func (t topology) slots(s ticket.Server, pool string) int {
	switch t.scopeOf(pool) {
	case ScopeDaemon:
		return t.slotShare(s)
	case ScopeRegion:
		return s.Slots
	}
	if s.Zone != pool {
		return 0
	}
	return s.Slots
}

// slotShare returns this daemon's share of a server's slots in ScopeDaemon. The shares of
// all live daemons add up to the server's slots. The server's hash rotates the daemons that
// get the remainder, so that they differ between servers.
func (t topology) slotShare(s ticket.Server) int {
	n := len(t.live)
	index := slices.IndexFunc(t.live, func(m *pb.Member) bool { return m.Id == t.self })
	if index < 0 {
		return 0
	}
	rotated := (index + int(xxhash.Sum64String(s.ID)%uint64(n))) % n
	share := s.Slots / n
	if rotated < s.Slots%n {
		share++
	}
	return share
}
