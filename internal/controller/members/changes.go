package members

import (
	"time"
)

// loggedStatus is the status of a member that was last logged.
type loggedStatus struct {
	incarnation uint64
	suspected   bool
	state       string
}

// logChanges logs members that were discovered, suspected, recovered or removed, and changes
// of their state.
func (c *Controller) logChanges(now time.Time) {
	present := map[string]bool{}
	self := c.opts.Self.Id
	for _, s := range c.view.All() {
		m := s.Member
		present[m.Id] = true
		if m.Id == self {
			continue
		}
		previous, known := c.loggedStatus[m.Id]
		current := loggedStatus{incarnation: m.Incarnation, suspected: c.view.Suspected(&s, now), state: m.State.String()}
		c.loggedStatus[m.Id] = current
		switch {
		case !known || previous.incarnation != current.incarnation:
			c.opts.Logger.Info("Discovered a member.", "member", m.Id, "zone", m.Zone, "incarnation", m.Incarnation)
		case current.suspected && !previous.suspected:
			c.opts.Logger.Warn("Suspected a member.", "member", m.Id, "reason", c.view.SuspicionReason(&s, now), "age", now.Sub(s.LastSeen))
		case previous.suspected && !current.suspected:
			c.opts.Logger.Info("Suspected member recovered.", "member", m.Id)
		case previous.state != current.state:
			c.opts.Logger.Info("Member changed its state.", "member", m.Id, "state", current.state)
		}
	}
	for id := range c.loggedStatus {
		if !present[id] {
			delete(c.loggedStatus, id)
			c.opts.Logger.Info("Removed a member.", "member", id)
		}
	}
}
