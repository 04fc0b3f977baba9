package exchange

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"google.golang.org/protobuf/proto"

	"github.com/filbertrill/filbertrill/internal/exchange/pb"
)

// In a large zone, states from each daemon to each other one would cost every daemon more with each daemon that is added. A
// daemon of such a zone sends its state to two aggregators only, the first live daemons by ID, and the first one of them that
// answers sends the summary of the zone back. Being an aggregator is nothing that is agreed on: a daemon that receives states
// as an aggregator acts as one, and nothing is lost with it but what was sent in the last interval.
const (
	// maxDirectZone is the number of other daemons in a zone up to which they send each other their states. Reading that many each
	// maxSendInterval takes 1% of a core, at 62 us a state (BenchmarkState).
	maxDirectZone = 60
	// aggregators is the number of daemons of a large zone that receive the states of all others.
	aggregators = 2
	// maxAggregatorTargets bounds the daemons that are sent states while the aggregators are not known to answer.
	maxAggregatorTargets = 8
	// AggregateInterval is the time between two states of a daemon of a large zone, and the least time between two
	// summaries that an aggregator sends.
	AggregateInterval = 250 * time.Millisecond
	// MaxSummaryInterval bounds the time between two summaries, and with it the age of the shares and loads that daemons know.
	MaxSummaryInterval = 400 * time.Millisecond
	// summaryBytesPerSecond is the rate in bytes at which a daemon is sent summaries of its zone, as far as
	// MaxSummaryInterval allows.
	summaryBytesPerSecond = 48_000
	// ForwardInterval is the least time between two forwards of the summaries of other zones to the daemons of a large zone.
	// Requests stay in their zone while it has room.
	ForwardInterval = 2 * AggregateInterval
	// maxAggregatorSilence is the time without a datagram of an aggregator that was asked for a summary after which another
	// one is asked as well.
	maxAggregatorSilence = 900 * time.Millisecond
	// summaryTTL is the time for which a summary counts.
	summaryTTL = 1500 * time.Millisecond
	// aggregatorRetryInterval is the time after which a silent daemon is asked again, one of them at a time. It may have been
	// paused, and finds the others only through them.
	aggregatorRetryInterval = 2 * time.Second
	// sentViewCount is the number of the last sent views that are kept to be subtracted from summaries. They cover the time
	// that a summary may take to arrive.
	sentViewCount = 16
)

// sentView is a view that this daemon has sent.
type sentView struct {
	sequence uint64
	view     *pb.View
}

// memberHash identifies a daemon in Included.
func memberHash(id string) uint64 { return xxhash.Sum64String(id) }

// aggregated reports whether daemons of this one's zone send their states to aggregators. The caller holds the lock.
func (x *Exchange) aggregated(self *pb.Member) bool {
	if x.isMesh() {
		return false
	}
	others := 0
	for _, a := range x.addresses {
		if a.zone == self.Zone {
			others++
		}
	}
	return others > maxDirectZone
}

// zoneMembers returns the daemons of this one's zone that don't drain, this one included, sorted by ID: all that were ever
// listed and have not expired. The members in a summary alone are not enough: two groups of daemons with an aggregator each
// would never find each other. live are those of them that are known to live. The caller holds the lock.
func (x *Exchange) zoneMembers(self *pb.Member) (known []*pb.Member, live map[string]bool) {
	byID := map[string]*pb.Member{self.Id: self}
	for _, a := range x.addresses {
		if a.member != nil && a.zone == self.Zone {
			byID[a.member.Id] = a.member
		}
	}
	live = make(map[string]bool)
	for _, m := range x.members() {
		if m.Zone == self.Zone {
			byID[m.Id] = m
			live[m.Id] = true
		}
	}
	for _, m := range byID {
		if !m.Draining {
			known = append(known, m)
		}
	}
	sortMembers(known)
	return known, live
}

// aggregatorTarget is an address to which this daemon sends its state as to an aggregator.
type aggregatorTarget struct {
	*address
	wantsSummary bool
}

// aggregatorTargets returns the aggregators that this daemon sends its state to: the first ones by ID, itself not included, and
// further ones until one is known to answer. These are asked for the summary. The caller holds the lock.
func (x *Exchange) aggregatorTargets(self *pb.Member, now time.Time) []aggregatorTarget {
	var targets []aggregatorTarget
	rank, answered, retried := 0, false, false
	known, live := x.zoneMembers(self)
	for _, m := range known {
		if (answered && rank >= aggregators) || len(targets) == maxAggregatorTargets {
			break
		}
		a, ok := x.addresses[m.ControlAddress]
		if m.Id == self.Id || !ok {
			rank++
			continue
		}
		asked := !answered
		switch {
		case !asked && !live[m.Id]:
			continue
		case asked:
			answered = now.Sub(a.heardAt) < maxAggregatorSilence
			retry := !a.askedAt.IsZero() && now.Sub(a.askedAt) > aggregatorRetryInterval
			if answered || a.askedAt.IsZero() || (retry && !retried) {
				a.askedAt = now
			}
			retried = retried || retry
			if now.Sub(a.askedAt) > maxAggregatorSilence {
				continue // silent
			}
		}
		targets = append(targets, aggregatorTarget{a, asked})
		if answered || live[m.Id] { // a lost one that is asked again takes no other's turn
			rank++
		}
	}
	return targets
}

// isAggregator reports whether daemons of the zone send this one their states as to an aggregator. The caller holds the lock.
func (x *Exchange) isAggregator(now time.Time) bool {
	return now.Sub(x.askedAsAggregator) < maxFailureTimeout
}

// recordOwnView keeps a view that is sent. The caller holds the lock.
func (x *Exchange) recordOwnView(sequence uint64, view *pb.View) {
	x.sentViews = append(x.sentViews, sentView{sequence, view})
	if len(x.sentViews) > sentViewCount {
		x.sentViews = slices.Delete(x.sentViews, 0, 1)
	}
}

// ownZoneSummary returns the summary of this daemon's zone for the daemons of the zone, and the addresses of those that want
// it. It returns nil if it isn't due. withMembers is set once per memberListInterval. The caller holds the lock.
func (x *Exchange) ownZoneSummary(self *pb.Member, view *pb.View, now time.Time, withMembers bool) (summary *pb.Zone, to []address) {
	if !x.isAggregator(now) || now.Sub(x.lastSummary) < x.summaryInterval-AggregateInterval/2 {
		return nil, nil
	}
	for _, p := range x.peers {
		if a, ok := x.addresses[p.state.Member.ControlAddress]; ok && p.live && p.state.WantsSummary {
			to = append(to, *a)
		}
	}
	if len(to) == 0 {
		return nil, nil
	}
	x.lastSummary = now
	if members := x.members(); !slices.Equal(members, x.summarizedOwn) {
		x.summarizedOwn, withMembers = members, true
	}
	summary = x.summarizeZone(self, view, now)
	summary.View.Placements = x.ownPlacements.take()
	if !withMembers {
		summary = withoutMembers(summary)
	}
	for _, p := range x.peers {
		if p.live && p.state.Member.Zone == self.Zone {
			included := &pb.Included{Member: memberHash(p.state.Member.Id), Incarnation: p.state.Incarnation, Sequence: p.state.Sequence}
			if withMembers {
				included.Demands = p.state.View.Demands
			}
			summary.Included = append(summary.Included, included)
		}
	}
	own := &pb.Included{Member: memberHash(self.Id), Incarnation: x.incarnation, Sequence: x.sequence}
	if withMembers {
		own.Demands = view.Demands
	}
	summary.Included = append(summary.Included, own)
	if proto.Size(summary) > maxDatagramBytes {
		summary.View = withoutEvidence(summary.View)
	}
	bytesPerSummary := time.Duration(proto.Size(summary))
	x.summaryInterval = min(max(AggregateInterval, bytesPerSummary*time.Second/summaryBytesPerSecond), MaxSummaryInterval)
	return summary, to
}

// handleOwnZone stores a summary of this daemon's zone, and passes it on without the view of this daemon that it contains. An
// aggregator has the views of the zone's daemons themselves and takes only the members, unless only few daemons have asked it.
func (x *Exchange) handleOwnZone(z *pb.Zone, now time.Time) {
	self := x.options.Self()
	if z.Zone != self.Zone || z.Delegate.Id == self.Id {
		return
	}
	x.mu.Lock()
	if a := x.addAddress(z.Delegate.ControlAddress, z.Zone); a != nil {
		a.lastSeen, a.heardAt = now, now
	}
	known, ok := x.zones[z.Zone]
	if ok && known.Delegate.Id == z.Delegate.Id && !newer(z.Incarnation, z.Sequence, known.Incarnation, known.Sequence) {
		x.mu.Unlock()
		return
	}
	if ok && known.Delegate.Id != z.Delegate.Id && now.Sub(known.lastSeen) <= summaryTTL && includesFewer(len(z.Included), known.Zone) {
		x.mu.Unlock()
		return // few others have asked its sender as an aggregator
	}
	if ok && len(z.Members) == 0 {
		z.Members = known.Members
	}
	entries, replaced := x.retainedEntries(zoneEntries(z)), 0
	if ok {
		replaced = known.entries
	}
	if !x.mayRetain(entries, replaced) {
		x.mu.Unlock()
		x.options.Logger.Warn("Summary of the own zone ignored, there are too many.", "entries", entries)
		return
	}
	for _, m := range z.Members {
		if a := x.addAddress(m.ControlAddress, m.Zone); a != nil {
			a.lastSeen = now
			a.list(m)
		}
	}
	if !ok || !slices.EqualFunc(known.Members, z.Members, sameMember) {
		x.fleet.sizeChanged()
		x.fleet.membersChanged()
	}
	x.zones[z.Zone] = &zone{Zone: z, entries: entries, lastSeen: now, knowsMore: includesFewer(1+x.recentZonePeers(self, now), z)}
	direct := x.takesDirectViews(self, now)
	view := z.View
	for _, included := range z.Included {
		if included.Member != memberHash(self.Id) || included.Incarnation != x.incarnation {
			continue
		}
		for _, sent := range x.sentViews {
			if sent.sequence == included.Sequence {
				view = subtractView(view, sent.view)
			}
		}
	}
	x.mu.Unlock()
	if !direct {
		x.options.OnOwnZone(z.Delegate, view, z.Included, viewAge(z))
	}
}

// takesDirectViews reports whether the views in states of daemons of this one's zone are passed on. Otherwise they are part of
// the summaries that it receives. The caller holds the lock.
func (x *Exchange) takesDirectViews(self *pb.Member, now time.Time) bool {
	own, ok := x.zones[self.Zone]
	if !ok || now.Sub(own.lastSeen) > maxFailureTimeout {
		return true
	}
	return x.isAggregator(now) && (!own.knowsMore || now.Sub(own.lastSeen) > maxAggregatorSilence)
}

// recentZonePeers returns the number of other daemons of the zone whose last states count. The caller holds the lock.
func (x *Exchange) recentZonePeers(self *pb.Member, now time.Time) (n int) {
	for _, p := range x.peers {
		if p.live && p.state.Member.Zone == self.Zone && now.Sub(p.lastSeen) <= summaryTTL {
			n++
		}
	}
	return n
}

// includesFewer reports whether so many daemons are less than half of those that the summary includes. A daemon that misses its
// aggregator for a moment asks others, which then have the states of the few that do so.
func includesFewer(daemons int, z *pb.Zone) bool { return 2*daemons < len(z.Included) }

// subtractView returns a copy of the sum without the loads, usage and demand of the view that it contains. What is no sum is
// left as it is.
func subtractView(sum, part *pb.View) *pb.View {
	out := &pb.View{
		Placements: sum.Placements, Withdrawn: sum.Withdrawn, ConfigVersion: sum.ConfigVersion, ServerDigest: sum.ServerDigest,
		ConfigAgeMs: sum.ConfigAgeMs, ServerAgeMs: sum.ServerAgeMs, Models: sum.Models, Suspects: sum.Suspects, Limits: sum.Limits,
		StoreEra: sum.StoreEra, StoreReturnAgeMs: sum.StoreReturnAgeMs, Evacuations: sum.Evacuations, Refused: sum.Refused,
		Daemons: less(sum.Daemons, part.Daemons),
	}
	servers := make(map[uint64]*pb.ServerLoad, len(part.Servers))
	for _, l := range part.Servers {
		servers[l.Server] = l
	}
	for _, l := range sum.Servers {
		if own, ok := servers[l.Server]; ok {
			l = &pb.ServerLoad{
				Server: l.Server, Running: less(l.Running, own.Running),
				PendingTokens: less(l.PendingTokens, own.PendingTokens), MemoryTokens: less(l.MemoryTokens, own.MemoryTokens),
			}
		}
		out.Servers = append(out.Servers, l)
	}
	accounts := make(map[uint64]*pb.AccountUse, len(part.Accounts))
	for _, usage := range part.Accounts {
		accounts[usage.Account] = usage
	}
	for _, usage := range sum.Accounts {
		if own, ok := accounts[usage.Account]; ok {
			rest := &pb.AccountUse{
				Account: usage.Account, Asked: less(usage.Asked, own.Asked), Admitted: less(usage.Admitted, own.Admitted),
				Unmet: usage.Unmet, Quarters: slices.Clone(usage.Quarters),
			}
			for i := range min(len(rest.Quarters), len(own.Quarters)) {
				rest.Quarters[i] = less(rest.Quarters[i], own.Quarters[i])
			}
			usage = rest
		}
		out.Accounts = append(out.Accounts, usage)
	}
	for _, d := range sum.Demands {
		for _, own := range part.Demands {
			if own.Service == d.Service {
				d = &pb.ServiceDemand{Service: d.Service, PerSecond: max(0, d.PerSecond-own.PerSecond)}
			}
		}
		out.Demands = append(out.Demands, d)
	}
	return out
}

// less returns a-b, at least 0.
func less[T uint32 | uint64](a, b T) T {
	if b > a {
		return 0
	}
	return a - b
}
