// Package daemon assembles the components of filbertrilld and runs them.
package daemon

import (
	"crypto/tls"
	"maps"
	"net"
	"net/netip"
	"net/url"
	"slices"
	"strconv"
	"time"

	"github.com/filbertrill/filbertrill/internal/peer"
	"github.com/filbertrill/filbertrill/internal/result"
)

// Settings holds the flags and environment variables of filbertrilld.
type Settings struct {
	ID     string `help:"Name of this instance, unique in the fleet." env:"FILBERTRILL_ID" required:""`
	Zone   string `help:"Data centre of this instance." env:"FILBERTRILL_ZONE" required:""`
	Region string `help:"Region of the data centre." env:"FILBERTRILL_REGION" required:""`

	Listen        string            `help:"Listen address for callers, ip:port; port 0 selects a free port." env:"FILBERTRILL_LISTEN" required:""`
	Peer          string            `help:"Listen address for other daemons and operators, ip:port; port 0 selects a free port." env:"FILBERTRILL_PEER" required:""`
	Advertise     string            `help:"Address advertised to callers, ip:port; that of --listen if empty." env:"FILBERTRILL_ADVERTISE"`
	AdvertisePeer string            `help:"Address advertised to other daemons, ip:port; that of --peer if empty." env:"FILBERTRILL_ADVERTISE_PEER"`
	PeerRoutes    map[string]string `name:"peer-route" help:"Address to dial instead of an advertised one, ADVERTISED=DIALED, for networks with address translation." env:"FILBERTRILL_PEER_ROUTES"`
	Seeds         []string          `help:"Peer addresses of other daemons, ip:port." env:"FILBERTRILL_SEEDS"`
	Secret        string            `help:"Secret shared by daemons and operators, at least 16 bytes." env:"FILBERTRILL_SECRET" required:""`

	TLSCert string `name:"tls-cert" help:"File of the certificate chain for callers, PEM; callers are served without TLS if empty." env:"FILBERTRILL_TLS_CERT"`
	TLSKey  string `name:"tls-key" help:"File of the certificate's private key, PEM." env:"FILBERTRILL_TLS_KEY"`

	Log        string        `help:"URL of the platform's log." env:"FILBERTRILL_LOG" required:""`
	LogTimeout time.Duration `help:"Timeout of one call to the log." env:"FILBERTRILL_LOG_TIMEOUT" default:"2s"`
	Instances  string        `help:"URL of the platform's instance list; only the seeds are used if empty." env:"FILBERTRILL_INSTANCES"`

	ClaimTimeout time.Duration `help:"How long an unrepeatable request waits for its claim to be written to the log." env:"FILBERTRILL_CLAIM_TIMEOUT" default:"2s"`
	ClaimWindow  time.Duration `help:"Age from which an idempotency key is no longer accepted. The log must retain records for two minutes longer." env:"FILBERTRILL_CLAIM_WINDOW" default:"10m"`

	ConfigPoll          time.Duration `help:"Interval between reads of the log by the daemon that reads it for its data centre." env:"FILBERTRILL_CONFIG_POLL" default:"250ms"`
	ConfigPollOthers    time.Duration `help:"Interval between reads of the log by the other daemons." env:"FILBERTRILL_CONFIG_POLL_OTHERS" default:"2s"`
	StaleAfter          time.Duration `help:"Maximum time since the daemon last had every accepted ticket; above it, the daemon starts no new work." env:"FILBERTRILL_STALE_AFTER" default:"2500ms"`
	StateRecordInterval time.Duration `help:"Maximum time between two records of the whole state in the log; at most a quarter of the retention time of the log." env:"FILBERTRILL_STATE_RECORD_INTERVAL" default:"1h"`
	StateRecordEvery    int64         `help:"Maximum number of records in the log after the last record of the whole state." env:"FILBERTRILL_STATE_RECORD_EVERY" default:"200"`

	MaxBody int64 `help:"Maximum size of a request body, in bytes." env:"FILBERTRILL_MAX_BODY" default:"33554432"`
	MaxHeld int64 `help:"Maximum total size of the request bodies held at once, in bytes." env:"FILBERTRILL_MAX_HELD" default:"268435456"`

	DispatchScope string `help:"What one dispatcher serves. zone: as each service is configured. region: all zones, for every service. daemon: one daemon, with its share of the slots. region and daemon are baselines for comparison, on which all daemons must agree." env:"FILBERTRILL_DISPATCH_SCOPE" default:"zone" enum:"zone,region,daemon"`
	DispatchOrder string `help:"Order of grants: fair between accounts, or fifo by arrival, a baseline for comparison." env:"FILBERTRILL_DISPATCH_ORDER" default:"fair" enum:"fair,fifo"`

	WriteLimit time.Duration `help:"How long a caller may leave its answer unread before the answer is cancelled." env:"FILBERTRILL_WRITE_LIMIT" default:"30s"`

	EntriesLifetime time.Duration `help:"How long callers may cache a response of /v1/entries." env:"FILBERTRILL_ENTRIES_LIFETIME" default:"10s"`
	DrainMargin     time.Duration `help:"Time added to the lifetime of entries before a draining daemon closes its listener, so that other daemons are informed of the drain." env:"FILBERTRILL_DRAIN_MARGIN" default:"7s"`

	LogLevel string `help:"Minimum level of log lines: debug, info, warn or error." env:"FILBERTRILL_LOG_LEVEL" default:"info" enum:"debug,info,warn,error"`
	LogJSON  bool   `help:"Write log lines as JSON." env:"FILBERTRILL_LOG_JSON"`
}

// minStaleAfter is twice the interval between the pings of a link.
const minStaleAfter = 2 * peer.DefaultPingInterval

// minSecretBytes is the minimum length of the shared secret, in bytes.
const minSecretBytes = 16

// Check returns a result error for the first setting that is invalid.
func (s *Settings) Check() error {
	if err := s.checkAddresses(); err != nil {
		return err
	}
	if err := s.checkTLS(); err != nil {
		return err
	}
	if len(s.Secret) < minSecretBytes {
		return result.New(result.SettingInvalid, "--secret must have at least %d bytes", minSecretBytes)
	}
	if err := checkURL("log", s.Log); err != nil {
		return err
	}
	if s.Instances != "" {
		if err := checkURL("instances", s.Instances); err != nil {
			return err
		}
	}
	return s.checkRanges()
}

// addressSetting is the name and the value of a setting that holds an address.
type addressSetting struct{ name, value string }

func (s *Settings) checkAddresses() error {
	addresses := []addressSetting{{"listen", s.Listen}, {"peer", s.Peer}}
	if s.Advertise != "" {
		addresses = append(addresses, addressSetting{"advertise", s.Advertise})
	}
	if s.AdvertisePeer != "" {
		addresses = append(addresses, addressSetting{"advertise-peer", s.AdvertisePeer})
	}
	for _, seed := range s.Seeds {
		addresses = append(addresses, addressSetting{"seeds", seed})
	}
	for _, advertised := range slices.Sorted(maps.Keys(s.PeerRoutes)) {
		addresses = append(addresses, addressSetting{"peer-route", advertised}, addressSetting{"peer-route", s.PeerRoutes[advertised]})
	}
	for _, a := range addresses {
		if err := checkAddress(a.name, a.value); err != nil {
			return err
		}
	}
	return nil
}

// checkTLS loads the certificate and its key, so that an invalid pair fails at startup.
func (s *Settings) checkTLS() error {
	if (s.TLSCert == "") != (s.TLSKey == "") {
		return result.New(result.SettingContradictory, "--tls-cert and --tls-key must be set together")
	}
	if s.TLSCert == "" {
		return nil
	}
	if _, err := tls.LoadX509KeyPair(s.TLSCert, s.TLSKey); err != nil {
		return result.Wrap(err, result.SettingInvalid, "--tls-cert and --tls-key: %v", err)
	}
	return nil
}

func (s *Settings) checkRanges() error {
	if s.MaxBody <= 0 || s.MaxHeld <= 0 || s.LogTimeout <= 0 || s.WriteLimit <= 0 {
		return result.New(result.SettingInvalid, "--max-body, --max-held, --log-timeout and --write-limit must be positive")
	}
	if s.EntriesLifetime < time.Millisecond || s.DrainMargin < 0 {
		return result.New(result.SettingInvalid, "--entries-lifetime must be at least 1ms, and --drain-margin must not be negative")
	}
	if s.ClaimTimeout <= 0 || s.ClaimWindow <= 0 {
		return result.New(result.SettingInvalid, "--claim-timeout and --claim-window must be positive")
	}
	if s.ConfigPoll <= 0 || s.ConfigPollOthers <= 0 || s.StateRecordInterval <= 0 || s.StateRecordEvery <= 0 {
		return result.New(result.SettingInvalid, "--config-poll, --config-poll-others and the --state-record settings must be positive")
	}
	if s.StaleAfter < minStaleAfter {
		return result.New(result.SettingInvalid, "--stale-after must be at least %s, two ping intervals", minStaleAfter)
	}
	if s.MaxHeld < s.MaxBody {
		return result.New(result.SettingContradictory, "--max-held must not be less than --max-body")
	}
	_, port, _ := net.SplitHostPort(s.Listen)
	if s.Listen == s.Peer && port != "0" {
		return result.New(result.SettingContradictory, "--listen and --peer must be different addresses")
	}
	return nil
}

func checkAddress(name, address string) error {
	if _, err := netip.ParseAddrPort(address); err != nil {
		return result.Wrap(err, result.SettingInvalid, "--%s %q is not ip:port", name, address)
	}
	return nil
}

func checkURL(name, raw string) error {
	u, err := url.Parse(raw)
	if err != nil || u.Host == "" || (u.Scheme != "http" && u.Scheme != "https") {
		return result.New(result.SettingInvalid, "--%s %q is not an http or https URL", name, raw)
	}
	return nil
}

// splitHostPort splits an address that Check has validated into host and port.
func splitHostPort(address string) (string, int) {
	host, port, _ := net.SplitHostPort(address)
	n, _ := strconv.Atoi(port)
	return host, n
}
