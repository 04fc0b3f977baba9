package members

import (
	"time"
)

// health is what the log last told of a member.
type health struct {
	incarnation uint64
	suspected   bool
	state       string
}

// logChanges tells operators of members that came, fell silent, returned or were forgotten.
func (c *Controller) logChanges(now time.Time) {
	present := map[string]bool{}
	self := c.opts.Self.Id
	for _, s := range c.view.All() {
		m := s.Member
		present[m.Id] = true
		if m.Id == self {
			continue
		}
		was, known := c.health[m.Id]
		is := health{incarnation: m.Incarnation, suspected: c.view.Suspected(&s, now), state: m.State.String()}
		c.health[m.Id] = is
		switch {
		case !known || was.incarnation != is.incarnation:
			c.opts.Logger.Info("Found a member.", "member", m.Id, "zone", m.Zone, "incarnation", m.Incarnation)
		case is.suspected && !was.suspected:
			c.opts.Logger.Warn("Suspected a member.", "member", m.Id, "reason", c.view.SuspicionReason(&s, now), "age", now.Sub(s.LastSeen))
		case was.suspected && !is.suspected:
			c.opts.Logger.Info("Heard a suspected member again.", "member", m.Id)
		case was.state != is.state:
			c.opts.Logger.Info("Member changed its state.", "member", m.Id, "state", is.state)
		}
	}
	for id := range c.health {
		if !present[id] {
			delete(c.health, id)
			c.opts.Logger.Info("Forgot a member.", "member", id)
		}
	}
}
