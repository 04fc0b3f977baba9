package members

import (
	"context"
	"time"

	"github.com/filbertrill/filbertrill/internal/member"
)

// noPeersListInterval is the time between two reads of the instance list while this daemon
// knows no other member.
const noPeersListInterval = 250 * time.Millisecond

// pollList reads the platform's instance list until the context ends. The list may be
// outdated, so it only provides addresses at which to look for other daemons.
func (c *Controller) pollList(ctx context.Context) {
	for {
		c.refreshList(ctx)
		c.requestFlush()
		if c.opts.InstanceList == nil || !sleep(ctx, c.nextListInterval()) {
			return
		}
	}
}

// nextListInterval returns the time until the next read of the instance list.
func (c *Controller) nextListInterval() time.Duration {
	if len(c.All()) == 1 {
		return min(noPeersListInterval, c.opts.ListInterval)
	}
	return c.opts.ListInterval
}

// refreshList reads the instance list and sets the view's endpoints from it and the seeds. If
// the read fails, the last list stays in use.
func (c *Controller) refreshList(ctx context.Context) {
	started := time.Now()
	listed, err := c.readList(ctx)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.logListResult(err)
	if err == nil {
		c.listedEndpoints = listed
		if c.opts.InstanceList != nil {
			c.listedAsOf = started
		}
	}
	endpoints := append([]member.Endpoint{}, c.listedEndpoints...)
	for _, seed := range c.opts.Seeds {
		endpoints = append(endpoints, member.Endpoint{Address: seed})
	}
	c.view.SetEndpoints(endpoints)
}

// logListResult logs the first of a series of failed reads and the first success after it.
func (c *Controller) logListResult(err error) {
	if err != nil && c.listErr == nil {
		c.opts.Logger.Warn("Instance list is unavailable, using the last one.", "error", err)
	}
	if err == nil && c.listErr != nil {
		c.opts.Logger.Info("Instance list is available again.")
	}
	c.listErr = err
}

// readList returns the instances on the platform's list, or nil if no list is configured.
func (c *Controller) readList(ctx context.Context) ([]member.Endpoint, error) {
	if c.opts.InstanceList == nil {
		return nil, nil
	}
	ctx, cancel := context.WithTimeout(ctx, c.opts.ListInterval)
	defer cancel()
	instances, err := c.opts.InstanceList.Instances(ctx)
	if err != nil {
		return nil, err
	}
	endpoints := make([]member.Endpoint, 0, len(instances))
	for _, i := range instances {
		endpoints = append(endpoints, member.Endpoint{Address: i.PeerAddress, Zone: i.Zone})
	}
	return endpoints, nil
}

// RefreshList reads the platform's instance list without waiting for the next interval.
func (c *Controller) RefreshList(ctx context.Context) { c.refreshList(ctx) }

// Listed returns the peer addresses on the instance list, and the start of the last read that succeeded, zero for none.
func (c *Controller) Listed() ([]string, time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	addresses := make([]string, 0, len(c.listedEndpoints))
	for _, endpoint := range c.listedEndpoints {
		addresses = append(addresses, endpoint.Address)
	}
	return addresses, c.listedAsOf
}
