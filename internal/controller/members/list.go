package members

import (
	"context"
	"time"

	"github.com/filbertrill/filbertrill/internal/member"
)

// aloneInterval is the time between two looks at the list of a daemon that knows no other.
const noPeersListInterval = 250 * time.Millisecond

// followList asks the platform's list until the context ends. Its answers lag; they only
// tell where further daemons may be found.
func (c *Controller) pollList(ctx context.Context) {
	for {
		c.refreshList(ctx)
		c.requestFlush()
		if c.opts.InstanceList == nil || !sleep(ctx, c.nextListInterval()) {
			return
		}
	}
}

// listPause is shorter while this daemon knows no other.
func (c *Controller) nextListInterval() time.Duration {
	if len(c.All()) == 1 {
		return min(noPeersListInterval, c.opts.ListInterval)
	}
	return c.opts.ListInterval
}

func (c *Controller) refreshList(ctx context.Context) {
	listed, err := c.readList(ctx)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.logListResult(err)
	if err == nil {
		c.listedEndpoints = listed
		c.listAnswered = c.opts.InstanceList != nil
	}
	endpoints := append([]member.Endpoint{}, c.listedEndpoints...)
	for _, seed := range c.opts.Seeds {
		endpoints = append(endpoints, member.Endpoint{Address: seed})
	}
	c.view.SetEndpoints(endpoints)
}

// noteList logs the first failure and its end.
func (c *Controller) logListResult(err error) {
	if err != nil && c.listErr == nil {
		c.opts.Logger.Warn("Instance list does not answer, keeping the last one.", "error", err)
	}
	if err == nil && c.listErr != nil {
		c.opts.Logger.Info("Instance list answers again.")
	}
	c.listErr = err
}

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

// RefreshList asks the platform's list now.
func (c *Controller) RefreshList(ctx context.Context) { c.refreshList(ctx) }

// Listed returns the peer addresses of the instance list, and whether it has ever answered.
func (c *Controller) Listed() ([]string, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	addresses := make([]string, 0, len(c.listedEndpoints))
	for _, endpoint := range c.listedEndpoints {
		addresses = append(addresses, endpoint.Address)
	}
	return addresses, c.listAnswered
}
