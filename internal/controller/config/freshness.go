package config

import (
	"time"

	"github.com/filbertrill/filbertrill/internal/configsync"
	"github.com/filbertrill/filbertrill/internal/member"
	"github.com/filbertrill/filbertrill/internal/peer/pb"
	"github.com/filbertrill/filbertrill/internal/result"
	"github.com/filbertrill/filbertrill/internal/ticket"
)

// refusalRetryAfter is the Retry-After of requests refused by this daemon or for lack of the
// chosen backend server.
const refusalRetryAfter = time.Second

// Freshness is the freshness of a daemon's configuration. Its age is the time since the daemon
// last was certain to have every accepted ticket.
type Freshness struct {
	Ready  bool // the daemon has every ticket accepted before it started; Age is valid
	Age    time.Duration
	Source configsync.Source
	CutOff bool // the configuration is too old to start new work
}

// Freshness returns the freshness of the daemon's configuration at the given time.
func (c *Controller) Freshness(now time.Time) Freshness {
	published := c.published.Load()
	if published.asOf.IsZero() {
		return Freshness{CutOff: true}
	}
	age := configsync.Age(published.asOf, now)
	return Freshness{Ready: true, Age: age, Source: published.source, CutOff: age > c.opts.StaleAfter}
}

// CheckFresh returns a result error if the daemon must not start new work of the service,
// because tickets may have been accepted that the daemon has not received. A repeatable
// service with the cut-off policy "serve" may go on with a stale configuration, if the daemon
// has had one that was complete.
func (c *Controller) CheckFresh(service ticket.Service, now time.Time) error {
	freshness := c.Freshness(now)
	if !freshness.CutOff {
		return nil
	}
	if freshness.Ready && service.CutOff == ticket.CutOffServe && service.Repeatable {
		return nil
	}
	return result.New(result.CutOff, "configuration is stale: the daemon reaches neither the log nor a majority of the members").WithRetryAfter(refusalRetryAfter)
}

// CheckStart returns a result error if new work of the service must not start on the backend
// server: no configuration, a service or server that is gone, or a stale configuration.
func (c *Controller) CheckStart(serviceID, serverID string, now time.Time) error {
	config := c.Current()
	if config == nil {
		return result.New(result.NoConfiguration, "no configuration yet")
	}
	service, ok := config.Service(serviceID)
	if !ok {
		return result.New(result.ServiceUnknown, "service %q is not in the configuration", serviceID)
	}
	if err := c.CheckFresh(service, now); err != nil {
		return err
	}
	server, ok := config.Server(serverID)
	if !ok || server.State != ticket.ServerJoined {
		return result.New(result.NoServerJoined, "backend server %s is not in the configuration or not joined", serverID).WithRetryAfter(refusalRetryAfter)
	}
	return nil
}

// tick updates the roster and the freshness, and pings peers if the configuration is aging.
func (c *Controller) tick(now time.Time) {
	self := c.opts.Members.Self()
	view := c.opts.Members.All()
	addresses, asOf := c.opts.Members.Listed()
	listing := configsync.InstanceListing{AsOf: asOf, Addresses: addresses, Seeds: c.opts.Seeds}
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

// probe pings the peers that configsync.ProbeTargets selects for the current age.
func (c *Controller) probe(now time.Time, self *pb.Member) {
	live := c.opts.Members.Live(now)
	for _, m := range configsync.ProbeTargets(self, live, c.age(now), c.opts.StaleAfter) {
		c.opts.Sender.Ping(m.PeerAddress)
	}
}

// age returns the age of the configuration, and a value above StaleAfter while it is not
// established.
func (c *Controller) age(now time.Time) time.Duration {
	freshness := c.Freshness(now)
	if !freshness.Ready {
		return c.opts.StaleAfter + 1
	}
	return freshness.Age
}

// Roster is the set of members over which a majority is counted.
type Roster struct {
	Members       []member.Status
	Size          int // including listed instances that were never seen
	MaybeStarting int // listed instances that were never seen and may still be starting
}

// RefreshRoster updates the roster from the current members and the instance list.
func (c *Controller) RefreshRoster(now time.Time) { c.tick(now) }

// Roster returns the roster as of the last update.
func (c *Controller) Roster(now time.Time) Roster {
	c.mu.Lock()
	defer c.mu.Unlock()
	return Roster{Members: c.roster.Members(), Size: c.roster.Size(), MaybeStarting: c.roster.MaybeStarting(now)}
}

// DigestOf returns the digest prefix that the member last reported, or that of the daemon's
// own state for its own id. It returns an empty string for members that have not answered a
// ping.
func (c *Controller) DigestOf(id string) string {
	if id == c.opts.SelfID {
		_, digest := c.Applied()
		return digest[:min(pongDigestLength, len(digest))]
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.freshness.DigestOf(id)
}

// pongDigestLength is the length of the digest prefix in a Pong, in hex digits.
const pongDigestLength = 16

// FillPong fills in the answer to a peer's ping.
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

// roundUpMillis returns d in milliseconds, rounded up: a peer must not treat a configuration
// as newer than it is.
func roundUpMillis(d time.Duration) int64 { return d.Milliseconds() + 1 }

// HandlePong processes a peer's answer to the ping that was sent at the given time.
func (c *Controller) HandlePong(sentAt time.Time, pong *pb.Pong) {
	c.mu.Lock()
	c.warnIfDiverged(pong.Member, pong.AppliedOffset, pong.ConfigDigest)
	c.freshness.RecordReport(configsync.PeerReport{
		Member:  pong.Member,
		SentAt:  sentAt,
		Applied: pong.AppliedOffset,
		Ready:   pong.Ready,
		Digest:  pong.ConfigDigest,
		Age:     time.Duration(pong.KnownAgeMs) * time.Millisecond,
	})
	for _, w := range pong.Witnesses {
		c.freshness.RecordReport(configsync.PeerReport{
			Member:  w.Member,
			SentAt:  sentAt.Add(-time.Duration(w.AgeMs) * time.Millisecond),
			Applied: w.AppliedOffset,
			Ready:   true,
			Relayed: true,
		})
	}
	c.updateFreshness(time.Now())
	c.mu.Unlock()
	c.requestIfBehind(pong.Member, pong.AppliedOffset)
}
