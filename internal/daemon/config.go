package daemon

import (
	"github.com/filbertrill/filbertrill/internal/configsync"
	"github.com/filbertrill/filbertrill/internal/controller/config"
	"github.com/filbertrill/filbertrill/internal/logging"
	"github.com/filbertrill/filbertrill/internal/ticket"
)

func (d *Daemon) newConfig() *config.Controller {
	return config.NewController(config.Options{
		SelfID:               d.settings.ID,
		Seeds:                d.settings.Seeds,
		Members:              d.members,
		Sender:               d.mesh,
		Log:                  d.log,
		DelegatePollInterval: d.settings.ConfigPoll,
		OthersPollInterval:   d.settings.ConfigPollOthers,
		ReadTimeout:          d.settings.LogTimeout,
		StaleAfter:           d.settings.StaleAfter,
		StateRecords: configsync.StateRecordLimits{
			MaxInterval: d.settings.StateRecordInterval,
			MaxRecords:  d.settings.StateRecordEvery,
		},
		Logger:    logging.For(logging.Config),
		OnChange:  d.onConfigChange,
		OnApplied: d.members.RequestUpdate,
	})
}

// onConfigChange passes a new configuration to the components that depend on it.
func (d *Daemon) onConfigChange(c *ticket.Config) {
	var accounts, services []string
	for _, a := range c.Accounts() {
		accounts = append(accounts, a.ID)
	}
	for _, s := range c.Services() {
		services = append(services, s.ID)
	}
	d.metrics.SetConfigured(accounts, services)
	d.dispatch.SetConfig(c)
	d.members.RequestUpdate()
	select {
	case d.configChanges <- struct{}{}:
	default:
	}
}
