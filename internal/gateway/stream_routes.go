package gateway

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/filbertrill/filbertrill/internal/forward"
	"github.com/filbertrill/filbertrill/internal/routing"
)

// routesService stands for a service whose versions are the digests of the routes in force. A stream may have begun at another
// service than that to which its route leads now.
const routesService = ""

// setConfig records the configuration in force and returns the entry that stands for its routes. ok is false if there is none. The
// caller holds the lock.
func (o *streamOrigins) setConfig(config *routing.Config, now time.Time) (routes routing.Server, ok bool) {
	if config == nil || !slices.ContainsFunc(config.Routes, isStreamRoute) {
		return routing.Server{}, false
	}
	if config != o.config {
		o.config, o.routes, o.splits = config, digestRoutes(config), splitsStreams(config)
		inUse := make(map[string]*routing.Config)
		uses, _ := o.versions.All(now)
		for _, use := range uses {
			if known := o.configs[use.Version]; use.Service == routesService && known != nil {
				inUse[use.Version] = known
			}
		}
		inUse[o.routes] = config
		o.configs = inUse
	}
	return routing.Server{Service: routesService, Version: o.routes, State: routing.Ready}, true
}

// digestRoutes returns a hash of the services to which the routes of streams lead, whether streams may be resumed or not: that may
// change while a stream is broken.
func digestRoutes(c *routing.Config) string {
	hash := sha256.New()
	for i := range c.Routes {
		route := &c.Routes[i]
		if !isStreamRoute(*route) {
			continue
		}
		services := make([]string, 0, len(route.Targets))
		for _, target := range route.Targets {
			services = append(services, target.Service)
		}
		slices.Sort(services)
		fmt.Fprintf(hash, "%q %q %q\n", strings.ToLower(route.Host), route.Prefix, services)
	}
	return hex.EncodeToString(hash.Sum(nil)[:16])
}

// services returns the services at which a stream of the host and path may have begun. ok is false if this daemon doesn't know all
// routes that were in force within origin.TTL. The caller holds the lock.
func (o *streamOrigins) services(t forward.TakeUp, now time.Time) (services map[string]bool, ok bool) {
	services = make(map[string]bool)
	for _, target := range t.Route.Targets {
		services[target.Service] = true
	}
	uses, complete := o.versions.All(now)
	for _, use := range uses {
		if use.Service != routesService {
			continue
		}
		config := o.configs[use.Version]
		if config == nil {
			return nil, false
		}
		if route := config.Match(t.Host, t.Path); route != nil && isStreamRoute(*route) {
			for _, target := range route.Targets {
				services[target.Service] = true
			}
		}
	}
	return services, complete
}

// splitsStreams reports whether a route of streams leads to several services.
func splitsStreams(c *routing.Config) bool {
	return slices.ContainsFunc(c.Routes, func(r routing.Route) bool { return resumable(&r) && len(r.Targets) > 1 })
}

func isStreamRoute(r routing.Route) bool { return r.Kind == routing.Stream }
