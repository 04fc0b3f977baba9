package dispatch

import (
	"context"
	"math"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sync/errgroup"

	"github.com/filbertrill/filbertrill/internal/backend"
	core "github.com/filbertrill/filbertrill/internal/dispatch"
	"github.com/filbertrill/filbertrill/internal/ticket"
)

// maxConcurrentLoadCalls limits the servers polled at the same time.
const maxConcurrentLoadCalls = 16

// LoadFunc returns the number of requests at the backend server with the given address.
type LoadFunc func(ctx context.Context, address string) (int, error)

// pollLoads polls the load of the servers in the pools that this daemon owns, until ctx is
// done.
func (c *Controller) pollLoads(ctx context.Context) {
	ticker := time.NewTicker(core.LoadInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			c.pollOnce(ctx)
		}
	}
}

type loadTarget struct {
	key    poolKey
	server ticket.Server
}

func (c *Controller) pollOnce(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, core.LoadInterval)
	defer cancel()
	var calls errgroup.Group
	calls.SetLimit(maxConcurrentLoadCalls)
	for _, target := range c.loadTargets() {
		calls.Go(func() error {
			requests, err := c.opts.Load(ctx, target.server.Address)
			c.setLoad(target, requests, err)
			return nil
		})
	}
	_ = calls.Wait()
}

// loadTargets returns the engines to poll: the joined servers of model services in owned
// pools. In ScopeDaemon there are none, because a server's load includes the requests of
// other daemons, which a single daemon cannot tell from its own.
func (c *Controller) loadTargets() []loadTarget {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.config == nil || c.opts.Scope == ScopeDaemon {
		return nil
	}
	var targets []loadTarget
	t := c.topology(time.Now())
	for key := range c.dispatchers {
		service, ok := c.config.Service(key.service)
		if !ok || service.Kind != ticket.ServiceModel || !hasID(t.owner(key), c.opts.SelfID) {
			continue
		}
		for _, s := range c.config.ServersOf(key.service) {
			if s.State == ticket.ServerJoined && t.slots(s, key.pool) > 0 {
				targets = append(targets, loadTarget{key, s})
			}
		}
	}
	return targets
}

func (c *Controller) setLoad(target loadTarget, requests int, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	p, ok := c.dispatchers[target.key]
	if !ok {
		return
	}
	switch {
	case errors.Is(err, backend.ErrLoadNotReported):
	case err != nil:
		p.dispatcher.SetUnreachable(time.Now(), target.server.ID)
	default:
		p.dispatcher.SetLoad(time.Now(), target.server.ID, requests)
	}
}

// currentCost returns the cost last recorded by SetCost.
func (l *Lease) currentCost() core.Cost { return math.Float64frombits(l.cost.Load()) }
