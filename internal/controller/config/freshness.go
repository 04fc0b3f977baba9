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
const retryElsewhere = time.Second

// Knowledge tells how old the daemon's knowledge of the accepted tickets is.
type Freshness struct {
	Established bool // false: the daemon has never known every accepted ticket
	Age         time.Duration
	Source      configsync.Source
	CutOff      bool // too old to start new work
}

// Knowledge returns the age of the daemon's knowledge.
func (c *Controller) Freshness(now time.Time) Freshness {
	known := c.known.Load()
	if known.at.IsZero() {
		return Freshness{CutOff: true}
	}
	age := configsync.Age(known.at, now)
	return Freshness{Established: true, Age: age, Source: known.source, CutOff: age > c.opts.StaleAfter}
}

// CheckFresh returns a result error when the daemon may not start new work of the service,
// because a ticket may have been accepted that it does not know.
func (c *Controller) CheckFresh(service ticket.Service, now time.Time) error {
	k := c.Freshness(now)
	if !k.CutOff {
		return nil
	}
	if k.Established && service.CutOff == ticket.CutOffServe && service.Repeatable {
		return nil
	}
	return result.New(result.CutOff, "the daemon hears neither the log nor a majority of the members").After(retryElsewhere)
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
		return result.New(result.NoServerJoined, "backend server %s left", serverID).After(retryElsewhere)
	}
	return nil
}

// tick brings the roster and the freshness up to date, and asks peers when they are due.
func (c *Controller) tick(now time.Time) {
	self := c.opts.Members.Self()
	view := c.opts.Members.All()
	addresses, answered := c.opts.Members.Listed()
	listing := configsync.InstanceListing{Answered: answered, Addresses: addresses, Seeds: c.opts.Seeds}
	mates := map[string]bool{}
	for _, s := range view {
		mates[s.Member.Id] = s.Member.Zone == self.Zone
	}
	c.mu.Lock()
	c.zoneMates = mates
	c.roster.Update(now, view, listing)
	c.evaluate(now)
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
	knowledge := c.Freshness(now)
	if !knowledge.Established {
		return c.opts.StaleAfter + 1
	}
	return knowledge.Age
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
		return digest[:min(digestSent, len(digest))]
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.fresh.DigestOf(id)
}

// digestSent is the length of a digest in a Pong.
const digestSent = 16

// Attest fills in the answer to a peer's ping.
func (c *Controller) FillPong(pong *pb.Pong) {
	c.mu.Lock()
	defer c.mu.Unlock()
	applied := c.applied.Load()
	pong.AppliedOffset, pong.ConfigDigest = applied.offset, applied.digest[:min(digestSent, len(applied.digest))]
	known, _ := c.fresh.AsOf()
	if known.IsZero() {
		return
	}
	now := time.Now()
	pong.Ready = true
	pong.KnownAgeMs = roundUp(configsync.Age(known, now))
	for _, a := range c.fresh.RelayableReports(now, c.opts.StaleAfter/2, c.zoneMates) {
		pong.Witnesses = append(pong.Witnesses, &pb.Witness{
			Member:        a.Member,
			AppliedOffset: a.Applied,
			AgeMs:         roundUp(configsync.Age(a.SentAt, now)),
		})
	}
}

// roundUp returns whole milliseconds: a peer must not take knowledge for newer than it is.
func roundUp(d time.Duration) int64 { return d.Milliseconds() + 1 }

// Pong takes in a peer's answer to the ping that was sent at the given time.
func (c *Controller) HandlePong(sent time.Time, pong *pb.Pong) {
	c.mu.Lock()
	c.compare(pong.Member, pong.AppliedOffset, pong.ConfigDigest)
	c.fresh.RecordReport(configsync.PeerReport{
		Member:  pong.Member,
		SentAt:  sent,
		Applied: pong.AppliedOffset,
		Ready:   pong.Ready,
		Digest:  pong.ConfigDigest,
		Age:     time.Duration(pong.KnownAgeMs) * time.Millisecond,
	})
	for _, w := range pong.Witnesses {
		c.fresh.RecordReport(configsync.PeerReport{
			Member:  w.Member,
			SentAt:  sent.Add(-time.Duration(w.AgeMs) * time.Millisecond),
			Applied: w.AppliedOffset,
			Ready:   true,
			Relayed: true,
		})
	}
	c.evaluate(time.Now())
	c.mu.Unlock()
	c.requestIfBehind(pong.Member, pong.AppliedOffset)
}
