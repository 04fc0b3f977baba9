package config

import (
	"time"

	"github.com/filbertrill/filbertrill/internal/configsync"
	"github.com/filbertrill/filbertrill/internal/member"
	"github.com/filbertrill/filbertrill/internal/peer/pb"
	"github.com/filbertrill/filbertrill/internal/result"
	"github.com/filbertrill/filbertrill/internal/ticket"
)

// retryElsewhere is when a refused caller may ask again.
const refusalRetryAfter = time.Second

// Knowledge tells how old the daemon's knowledge of the accepted tickets is.
type Freshness struct {
	Established bool // false: the daemon has never known every accepted ticket
	Age         time.Duration
	Source      configsync.Source
	CutOff      bool // too old to start new work
}

// Knowledge returns the age of the daemon's knowledge.
func (c *Controller) Freshness(now time.Time) Freshness {
	published := c.published.Load()
	if published.asOf.IsZero() {
		return Freshness{CutOff: true}
	}
	age := configsync.Age(published.asOf, now)
	return Freshness{Established: true, Age: age, Source: published.source, CutOff: age > c.opts.StaleAfter}
}

// CheckFresh returns a result error when the daemon may not start new work of the service,
// because a ticket may have been accepted that it does not know.
func (c *Controller) CheckFresh(service ticket.Service, now time.Time) error {
	freshness := c.Freshness(now)
	if !freshness.CutOff {
		return nil
	}
	if freshness.Established && service.CutOff == ticket.CutOffServe && service.Repeatable {
		return nil
	}
	return result.New(result.CutOff, "the daemon hears neither the log nor a majority of the members").After(refusalRetryAfter)
}

// CheckStart returns a result error when new work of the service may not start on the server now.
func (c *Controller) CheckStart(serviceID, serverID string, now time.Time) error {
	config := c.Current()
	if config == nil {
		return result.New(result.NoConfiguration, "no configuration yet")
	}
	service, ok := config.Service(serviceID)
	if !ok {
		return result.New(result.ServiceUnknown, "there is no service %q any more", serviceID)
	}
	if err := c.CheckFresh(service, now); err != nil {
		return err
	}
	server, ok := config.Server(serverID)
	if !ok || server.State != ticket.ServerJoined {
		return result.New(result.NoServerJoined, "backend server %s left", serverID).After(refusalRetryAfter)
	}
	return nil
}

// tick brings the roster and the freshness up to date, and asks peers when they are due.
func (c *Controller) tick(now time.Time) {
	self := c.opts.Members.Self()
	view := c.opts.Members.All()
	addresses, answered := c.opts.Members.Listed()
	listing := configsync.InstanceListing{Answered: answered, Addresses: addresses, Seeds: c.opts.Seeds}
	zonePeers := map[string]bool{}
	for _, s := range view {
		zonePeers[s.Member.Id] = s.Member.Zone == self.Zone
	}
	c.mu.Lock()
	c.zonePeers = zonePeers
	c.roster.Update(now, view, listing)
	c.updateFreshness(now)
	c.mu.Unlock()
	c.probe(now, self)
}

// probe asks peers for what they know while the own knowledge ages.
func (c *Controller) probe(now time.Time, self *pb.Member) {
	live := c.opts.Members.Live(now)
	for _, m := range configsync.ProbeTargets(self, live, c.age(now), c.opts.StaleAfter) {
		c.opts.Sender.Ping(m.PeerAddress)
	}
}

// age is the age of the knowledge, and above the limit when there is none.
func (c *Controller) age(now time.Time) time.Duration {
	freshness := c.Freshness(now)
	if !freshness.Established {
		return c.opts.StaleAfter + 1
	}
	return freshness.Age
}

// Roster is what a majority is counted of.
type Roster struct {
	Members       []member.Status
	Size          int // with the instances that are listed but were never heard
	MaybeStarting int // of those, the ones that may still be starting
}

// RefreshRoster takes in the members that are known now.
func (c *Controller) RefreshRoster(now time.Time) { c.tick(now) }

// Roster returns the known members.
func (c *Controller) Roster(now time.Time) Roster {
	c.mu.Lock()
	defer c.mu.Unlock()
	return Roster{Members: c.roster.Members(), Size: c.roster.Size(), MaybeStarting: c.roster.MaybeStarting(now)}
}

// DigestOf returns the leading part of the digest of a member's state as the member last
// answered, and that of the own one; empty when the member was not asked.
func (c *Controller) DigestOf(id string) string {
	if id == c.opts.SelfID {
		_, digest := c.Applied()
		return digest[:min(pongDigestLength, len(digest))]
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.freshness.DigestOf(id)
}

// digestSent is the length of a digest in a Pong.
const pongDigestLength = 16

// Attest fills in the answer to a peer's ping.
func (c *Controller) FillPong(pong *pb.Pong) {
	c.mu.Lock()
	defer c.mu.Unlock()
	applied := c.applied.Load()
	pong.AppliedOffset, pong.ConfigDigest = applied.offset, applied.digest[:min(pongDigestLength, len(applied.digest))]
	asOf, _ := c.freshness.AsOf()
	if asOf.IsZero() {
		return
	}
	now := time.Now()
	pong.Ready = true
	pong.KnownAgeMs = roundUpMillis(configsync.Age(asOf, now))
	for _, report := range c.freshness.RelayableReports(now, c.opts.StaleAfter/2, c.zonePeers) {
		pong.Witnesses = append(pong.Witnesses, &pb.Witness{
			Member:        report.Member,
			AppliedOffset: report.Applied,
			AgeMs:         roundUpMillis(configsync.Age(report.SentAt, now)),
		})
	}
}

// roundUp returns whole milliseconds: a peer must not take knowledge for newer than it is.
func roundUpMillis(d time.Duration) int64 { return d.Milliseconds() + 1 }

// Pong takes in a peer's answer to the ping that was sent at the given time.
func (c *Controller) HandlePong(sent time.Time, pong *pb.Pong) {
	c.mu.Lock()
	c.warnIfDiverged(pong.Member, pong.AppliedOffset, pong.ConfigDigest)
	c.freshness.RecordReport(configsync.PeerReport{
		Member:  pong.Member,
		SentAt:  sent,
		Applied: pong.AppliedOffset,
		Ready:   pong.Ready,
		Digest:  pong.ConfigDigest,
		Age:     time.Duration(pong.KnownAgeMs) * time.Millisecond,
	})
	for _, w := range pong.Witnesses {
		c.freshness.RecordReport(configsync.PeerReport{
			Member:  w.Member,
			SentAt:  sent.Add(-time.Duration(w.AgeMs) * time.Millisecond),
			Applied: w.AppliedOffset,
			Ready:   true,
			Relayed: true,
		})
	}
	c.updateFreshness(time.Now())
	c.mu.Unlock()
	c.requestIfBehind(pong.Member, pong.AppliedOffset)
}
