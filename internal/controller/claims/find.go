package claims

import (
	"context"
	"time"

	"github.com/filbertrill/filbertrill/internal/claim"
	"github.com/filbertrill/filbertrill/internal/platform"
)

// findFirst returns the offset from which on the records matter: keys older than the window
// are not taken, so that what is older needs no reading.
func (c *Controller) findFirst(ctx context.Context) claim.Event {
	bounds, err := c.opts.Log.Bounds(ctx, c.opts.Topic)
	if err != nil {
		return claim.ReadFailed{}
	}
	cutoff := time.Now().Add(-c.opts.Book.Window - 6*c.opts.Book.Skew)
	first, err := c.search(ctx, bounds, cutoff)
	if err != nil {
		return claim.ReadFailed{}
	}
	return claim.Positioned{First: first}
}

// search returns an offset below which all records are older than the cutoff. Records are
// nearly in the order of their times.
func (c *Controller) search(ctx context.Context, bounds platform.Bounds, cutoff time.Time) (int64, error) {
	low, high := bounds.First, bounds.Next
	for high-low > readLimit {
		middle := low + (high-low)/2
		records, err := c.opts.Log.Read(ctx, c.opts.Topic, middle, 1)
		if err != nil {
			return 0, err
		}
		if len(records) == 1 && c.decode(records[0]).At.Before(cutoff) {
			low = middle
			continue
		}
		high = middle
	}
	return low, nil
}
