// Package routing holds the configuration of routed traffic: which service a request
// goes to by its host and path, and which client account a key belongs to. Values are
// immutable once built, so that readers need no lock.
package routing

import (
	"sort"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"
)

// Kind tells what may be repeated.
type Kind int

// The kinds of routes.
const (
	Unrepeatable Kind = iota // runs at most once for each attempt of a caller
	Idempotent               // may run more than once
	Stream                   // answered by events; repeatable only by resumption
)

// Target is a service that receives a share of the requests of a route.
type Target struct {
	Service string
	Weight  uint64 // relative to the other targets of the route
}

// Route says how requests whose path begins with Prefix are handled.
type Route struct {
	Name        string
	Host        string
	Prefix      string // begins and ends with a slash
	Kind        Kind
	Targets     []Target
	Timeout     time.Duration // longest time until the final answer; 0 for no bound
	Objective   time.Duration // time to the answer, or to the first event of a stream
	MaxTokenGap time.Duration // longest pause between two events that is still on time
	MaxAttempts int           // backend servers that one request may be sent to
	Priority    int           // 0 is the highest
	Public      bool          // needs no key
	Engine      bool          // requests carry prompts of a model
	Resumable   bool          // a stream may go on elsewhere after its last event
}

// Repeatable reports whether a request that may have run can be sent again.
func (r *Route) Repeatable() bool {
	return r.Kind == Idempotent || (r.Kind == Stream && r.Resumable)
}

// Service is a group of backend servers that run the same requests.
type Service struct {
	Name               string
	HealthPath         string
	MaxConnections     int // of all callers together to one server
	EngineSlots        int // requests that a model engine runs at once; 0 for plain services
	MemoryTokens       int64
	BytesPerToken      float64 // of engine memory for each token; 0 when engines fetch nothing from each other
	LinkBytesPerSecond float64 // a second, between engines
}

// FetchRate returns the tokens a second that an engine fetches from another one's memory; 0
// when it can't.
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
}

// Limits bound what callers may send.
type Limits struct {
	MaxBodyBytes    int64
	IdleTimeout     time.Duration
	TokensPerSecond float64 // of all engines together: prompt tokens once, generated tokens twice
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
}

// Build returns the configuration with its indexes. It refuses routes without a target.
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
			return nil, errors.Newf("route %q names no service", r.Name)
		}
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
	return &c, nil
}

// Match returns the route of the host with the longest prefix that begins the path,
// or nil. The path is compared as sent, without decoding.
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

// Service returns a service by name, or nil.
func (c *Config) Service(name string) *Service { return c.services[name] }

// AccountOf returns the account that holds the key, or nil.
func (c *Config) AccountByKey(key string) *Account { return c.keys[key] }

// HasAccounts reports whether requests need a key.
func (c *Config) HasAccounts() bool { return len(c.Accounts) > 0 }

// Choose returns the target of a request with the id. All daemons choose alike, so that a
// request that is sent again keeps its service.
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
