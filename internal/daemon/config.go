package daemon

import (
	"time"

	"github.com/filbertrill/filbertrill/internal/configsync"
	"github.com/filbertrill/filbertrill/internal/controller/config"
	"github.com/filbertrill/filbertrill/internal/logging"
	"github.com/filbertrill/filbertrill/internal/peer/pb"
	"github.com/filbertrill/filbertrill/internal/ticket"
)

func (d *Daemon) newConfig() *config.Controller {
	return config.NewController(config.Options{
		SelfID:       d.settings.ID,
		Seeds:        d.settings.Seeds,
		Members:      d.members,
		Sender:       d.mesh,
		Log:          d.log,
		PollInterval: d.settings.ConfigPoll,
		PollOthers:   d.settings.ConfigPollOthers,
		ReadTimeout:  d.settings.LogTimeout,
		StaleAfter:   d.settings.StaleAfter,
		StateRecords: configsync.StateRecordLimits{
			Interval: d.settings.StateRecordInterval,
			Every:    d.settings.StateRecordEvery,
		},
		Logger:    logging.For(logging.Config),
		OnChange:  d.configChanged,
		OnApplied: func() { d.members.Refresh() },
	})
}

// refresh fills in the daemon's own record before each heartbeat.
func (d *Daemon) refresh(self *pb.Member) {
	self.AppliedOffset, self.ConfigDigest = d.config.Applied()
	known := d.config.Knowledge(time.Now())
	d.metrics.SetAppliedOffset(self.AppliedOffset)
	d.metrics.SetCutOff(known.CutOff)
	if known.Ever {
		d.metrics.SetKnownAge(known.Age)
	}
}

func (d *Daemon) configChanged(c *ticket.Config) {
	var accounts, services []string
	for _, a := range c.Accounts() {
		accounts = append(accounts, a.ID)
	}
	for _, s := range c.Services() {
		services = append(services, s.ID)
	}
	d.metrics.SetKnown(accounts, services)
	d.dispatch.SetConfig(c)
}
