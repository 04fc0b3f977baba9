// Package routing holds the routing configuration: which service a request is sent to by its
// host and path, and which client account a key belongs to. A Config is immutable once built, so
// that readers need no lock.
package routing

import (
	"slices"
	"sort"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"
)

// Kind determines whether requests of a route may be retried.
type Kind int

// Kinds of routes.
const (
	Unrepeatable Kind = iota // run at most once for each attempt of a caller
	Idempotent               // may run more than once
	Stream                   // answered by a stream of events; retried only by resuming the stream
)

// Target is a service that receives a share of a route's requests.
type Target struct {
	Service string
	Weight  uint64 // relative to the other targets of the route
}

// Route configures how requests to Host whose path begins with Prefix are handled.
type Route struct {
	Name        string
	Host        string
	Prefix      string // begins and ends with a slash
	Kind        Kind
	Targets     []Target
	Timeout     time.Duration // until the answer is complete; 0 for none
	Objective   time.Duration // time to the answer, or to the first event of a stream
	MaxTokenGap time.Duration // longest time between two events that is still on time
	MaxAttempts int           // backend servers that may receive a request
	Priority    int           // 0 is the highest
	Public      bool          // requests need no key
	Engine      bool          // requests carry prompts for a model
	Resumable   bool          // a broken stream can be continued on another server
	Regions     []string      // in which requests may be processed; nil for all
}

// Repeatable reports whether a request that may already have run can be retried.
func (r *Route) Repeatable() bool {
	return r.Kind == Idempotent || (r.Kind == Stream && r.Resumable)
}

// Service is a group of interchangeable backend servers.
type Service struct {
	Name               string
	HealthPath         string
	MaxConnections     int // to one server, from all daemons together
	EngineSlots        int // concurrent requests of a model engine; 0 for plain services
	MemoryTokens       int64
	BytesPerToken      float64       // engine memory for each token; 0 when engines can't fetch from each other
	LinkBytesPerSecond float64       // bandwidth between engines
	ColdRate           float64       // requests per second that a cold server bears from all daemons together; 0 for no limit
	ColdStart          time.Duration // for which a server is cold after its start
	MaxTokenGap        time.Duration // the shortest of the routes to the service; 0 if none has one
}

// FetchRate returns the rate, in tokens per second, at which an engine fetches cached prompt
// parts from another engine; 0 when it can't.
func (s *Service) FetchRate() float64 {
	if s.BytesPerToken <= 0 || s.LinkBytesPerSecond <= 0 {
		return 0
	}
	return s.LinkBytesPerSecond / s.BytesPerToken
}

// Account is a client account.
type Account struct {
	Name     string
	Keys     []string
	Priority int
	Regions  []string // in which requests of the account may be processed; nil for all
}

// Limits are the limits on requests and the capacity of the engines.
type Limits struct {
	MaxBodyBytes    int64
	IdleTimeout     time.Duration
	TokensPerSecond float64 // capacity of all engines; generated tokens count twice
}

// Config is one version of the configuration.
type Config struct {
	Version  uint64
	Limits   Limits
	Routes   []Route
	Services []Service
	Accounts []Account

	routes   map[string][]*Route // by host, longest prefix first
	services map[string]*Service
	keys     map[string]*Account

	priorities priorities
}

// Build returns the configuration with its lookup indexes. It returns an error when a route has
// no target.
func Build(c Config) (*Config, error) {
	c.routes = make(map[string][]*Route)
	c.services = make(map[string]*Service, len(c.Services))
	c.keys = make(map[string]*Account)
	for i := range c.Services {
		c.services[c.Services[i].Name] = &c.Services[i]
	}
	for i := range c.Routes {
		r := &c.Routes[i]
		if len(r.Targets) == 0 {
			return nil, errors.Newf("route %q has no target service", r.Name)
		}
		c.setMaxTokenGap(r)
		host := strings.ToLower(r.Host)
		c.routes[host] = append(c.routes[host], r)
	}
	for _, routes := range c.routes {
		sort.SliceStable(routes, func(i, j int) bool { return len(routes[i].Prefix) > len(routes[j].Prefix) })
	}
	for i := range c.Accounts {
		for _, key := range c.Accounts[i].Keys {
			c.keys[key] = &c.Accounts[i]
		}
	}
	c.priorities = newPriorities(&c)
	return &c, nil
}

// setMaxTokenGap lowers the MaxTokenGap of the services of the route to its own.
func (c *Config) setMaxTokenGap(r *Route) {
	if r.MaxTokenGap <= 0 {
		return
	}
	for _, t := range r.Targets {
		if s := c.services[t.Service]; s != nil && (s.MaxTokenGap == 0 || r.MaxTokenGap < s.MaxTokenGap) {
			s.MaxTokenGap = r.MaxTokenGap
		}
	}
}

// Match returns the route of the host with the longest prefix of the path, or nil. The host is
// case-insensitive and may carry a port. The path is compared as sent, without decoding.
func (c *Config) Match(host, path string) *Route {
	host = strings.ToLower(host)
	routes, ok := c.routes[host]
	if !ok {
		if i := strings.LastIndexByte(host, ':'); i >= 0 {
			routes = c.routes[host[:i]]
		}
	}
	for _, r := range routes {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}

// Service returns the service with the name, or nil.
func (c *Config) Service(name string) *Service { return c.services[name] }

// AccountByKey returns the account that holds the key, or nil.
func (c *Config) AccountByKey(key string) *Account { return c.keys[key] }

// HasAccounts reports whether requests need a key.
func (c *Config) HasAccounts() bool { return len(c.Accounts) > 0 }

// AllowedRegions returns the regions in which requests of the account on the route may be processed: those that both
// allow. all is true if there is no restriction; otherwise an empty result means that no region is left. The account may be
// nil.
func AllowedRegions(route *Route, account *Account) (regions []string, all bool) {
	switch {
	case account == nil || len(account.Regions) == 0:
		return route.Regions, len(route.Regions) == 0
	case len(route.Regions) == 0:
		return account.Regions, false
	}
	for _, region := range route.Regions {
		if slices.Contains(account.Regions, region) {
			regions = append(regions, region)
		}
	}
	return regions, false
}

// HostRegions returns the regions that all restricted routes of the host allow, nil if no route of it is restricted. Callers are
// directed there.
func (c *Config) HostRegions(host string) []string {
	var regions []string
	restricted := false
	for _, r := range c.routes[strings.ToLower(host)] {
		switch {
		case len(r.Regions) == 0:
		case !restricted:
			restricted, regions = true, slices.Clone(r.Regions)
		default:
			regions = slices.DeleteFunc(regions, func(region string) bool { return !slices.Contains(r.Regions, region) })
		}
	}
	return regions
}

// ChooseService returns the target service for a request id, with a probability proportional to
// the target's weight. The choice depends only on the id and the targets, so that a request sent
// again through any daemon goes to the same service.
func (r *Route) ChooseService(id string) string {
	if len(r.Targets) == 1 {
		return r.Targets[0].Service
	}
	var total uint64
	for _, t := range r.Targets {
		total += t.Weight
	}
	if total == 0 {
		return r.Targets[0].Service
	}
	point := xxhash.Sum64String(id) % total
	for _, t := range r.Targets {
		if point < t.Weight {
			return t.Service
		}
		point -= t.Weight
	}
	return r.Targets[len(r.Targets)-1].Service
}
