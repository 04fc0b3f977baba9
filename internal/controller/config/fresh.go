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
type Knowledge struct {
	Ever   bool // false: the daemon has never known every accepted ticket
	Age    time.Duration
	Source configsync.Source
	CutOff bool // too old to start new work
}

// Knowledge returns the age of the daemon's knowledge.
func (c *Controller) Knowledge(now time.Time) Knowledge {
	known := c.known.Load()
	if known.at.IsZero() {
		return Knowledge{CutOff: true}
	}
	age := configsync.Age(known.at, now)
	return Knowledge{Ever: true, Age: age, Source: known.source, CutOff: age > c.opts.StaleAfter}
}

// CheckFresh returns a result error when the daemon may not start new work of the service,
// because a ticket may have been accepted that it does not know.
func (c *Controller) CheckFresh(service ticket.Service, now time.Time) error {
	k := c.Knowledge(now)
	if !k.CutOff {
		return nil
	}
	if k.Ever && service.CutOff == ticket.CutOffServe && service.Repeatable {
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

// tick brings the roster and the freshness up to date.
func (c *Controller) tick(now time.Time) {
	view := c.opts.Members.All()
	addresses, answered := c.opts.Members.Listed()
	listing := configsync.Listing{Answered: answered, Addresses: addresses, Seeds: c.opts.Seeds}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.roster.Update(now, view, listing)
	c.evaluate(now)
}

// Roster returns the members that a majority is counted of, and the number of those that
// are listed but were never heard.
func (c *Controller) Roster(now time.Time) (members []member.Status, unheard int) {
	c.tick(now)
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.roster.Members(), len(c.roster.Unheard())
}

// Attest fills in the answer to a peer's ping.
func (c *Controller) Attest(pong *pb.Pong) {
	c.mu.Lock()
	defer c.mu.Unlock()
	pong.AppliedOffset = c.state.Applied()
	known, _ := c.fresh.Known()
	if known.IsZero() {
		return
	}
	pong.Ready = true
	// Rounded up: the peer must not take the knowledge for newer than it is.
	pong.KnownAgeMs = configsync.Age(known, time.Now()).Milliseconds() + 1
}

// Pong takes in a peer's answer to the ping that was sent at the given time.
func (c *Controller) Pong(sent time.Time, pong *pb.Pong) {
	c.mu.Lock()
	c.fresh.Attest(configsync.Attestation{
		Member:   pong.Member,
		Sent:     sent,
		Applied:  pong.AppliedOffset,
		Ready:    pong.Ready,
		KnownAge: time.Duration(pong.KnownAgeMs) * time.Millisecond,
	})
	c.evaluate(time.Now())
	c.mu.Unlock()
	c.requestIfBehind(pong.Member, pong.AppliedOffset)
}
