package telemetry

import (
	"time"

	"github.com/uber-go/tally/v4"
)

// stateGauges holds the gauges that describe the daemon as a whole, and the scope of the gauges
// per service.
type stateGauges struct {
	scope         tally.Scope
	membersLive   tally.Gauge
	appliedOffset tally.Gauge
	logAge        tally.Gauge
	configAge     tally.Gauge
	cutOff        tally.Gauge
	reportAge     tally.Gauge
}

func newStateGauges(scope tally.Scope) stateGauges {
	return stateGauges{
		scope:         scope,
		membersLive:   scope.Gauge("members_live"),
		appliedOffset: scope.Gauge("applied_offset"),
		logAge:        scope.Gauge("log_age_seconds"),
		configAge:     scope.Gauge("config_known_age_seconds"),
		cutOff:        scope.Gauge("cut_off"),
		reportAge:     scope.Gauge("report_age_seconds"),
	}
}

// SetReportAge sets the age of the oldest usage of other daemons that the last admission decision was based on.
func (m *Metrics) SetReportAge(d time.Duration) { m.state.reportAge.Update(d.Seconds()) }

// SetRunning sets the number of running requests of a service that this daemon forwards.
func (m *Metrics) SetRunning(service string, n int) {
	m.setServiceGauge("running_requests", service, n)
}

// SetWaiting sets the number of requests of a service that are queued at this daemon.
func (m *Metrics) SetWaiting(service string, n int) {
	m.setServiceGauge("waiting_requests", service, n)
}

// SetMembersLive sets the number of members that this daemon considers live, including itself.
func (m *Metrics) SetMembersLive(n int) {
	m.state.membersLive.Update(float64(n))
}

// SetAppliedOffset sets the offset of the last record of the configuration log that was applied.
func (m *Metrics) SetAppliedOffset(offset int64) {
	m.state.appliedOffset.Update(float64(offset))
}

// SetLogAge sets the time since the last successful read of the configuration log.
func (m *Metrics) SetLogAge(d time.Duration) {
	m.state.logAge.Update(d.Seconds())
}

// SetConfigAge sets the age of the configuration: the time since the daemon was last certain to
// have every accepted ticket.
func (m *Metrics) SetConfigAge(d time.Duration) {
	m.state.configAge.Update(d.Seconds())
}

// SetCutOff sets whether the daemon is cut off, that is, its configuration is too old to start
// new requests. The gauge is 1 or 0.
func (m *Metrics) SetCutOff(cutOff bool) {
	value := 0.0
	if cutOff {
		value = 1
	}
	m.state.cutOff.Update(value)
}

// SetQuarantined sets whether a prompt part or request is held back. The gauge is 1 or 0.
func (m *Metrics) SetQuarantined(kind, id string, held bool) {
	value := 0.0
	if held {
		value = 1
	}
	m.state.scope.Tagged(map[string]string{"kind": kind, "id": id}).Gauge("quarantined").Update(value)
}

// SetServerNotices sets the number of servers that say something of the given kind of the requests that they take.
func (m *Metrics) SetServerNotices(kind string, n int) {
	m.state.scope.Tagged(map[string]string{"kind": kind}).Gauge("server_notices").Update(float64(n))
}

// SetEvacuatedRunning sets the number of requests of this daemon that still run at servers of evacuated zones.
func (m *Metrics) SetEvacuatedRunning(n int) {
	m.state.scope.Gauge("evacuated_running_requests").Update(float64(n))
}

// setServiceGauge sets a gauge of a service. It ignores services whose label value is Other,
// since one gauge can't hold the values of several services.
func (m *Metrics) setServiceGauge(name, service string, n int) {
	labelValue := m.services.seriesFor(service).labelValue
	if labelValue == Other {
		return
	}
	tags := map[string]string{"service": labelValue}
	m.state.scope.Tagged(tags).Gauge(name).Update(float64(n))
}
