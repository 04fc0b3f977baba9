package claims

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/filbertrill/filbertrill/internal/claim"
	"github.com/filbertrill/filbertrill/internal/logservice"
)

// findStart returns the offset from which to read the log. Keys older than the window are
// rejected, so records that were created before the window are not needed.
func (c *Controller) findStart(ctx context.Context) claim.Event {
	bounds, err := c.opts.Log.Bounds(ctx, c.opts.Topic)
	if err != nil {
		return claim.ReadFailed{}
	}
	if bounds.First == 0 && bounds.Next <= maxReadRecords {
		return claim.StartFound{}
	}
	cutoff := time.Now().Add(-c.opts.Table.Window - 6*c.opts.Table.MaxClockSkew)
	start, err := c.searchStart(ctx, bounds, cutoff)
	if err != nil {
		return claim.ReadFailed{}
	}
	return start
}

// searchStart finds by binary search the offset of a record that is older than the cutoff, at most
// maxReadRecords before a record that is not. It returns the start of the log if the first record
// is not older. Records are only nearly ordered by time, because appends can be delayed.
func (c *Controller) searchStart(ctx context.Context, bounds logservice.Bounds, cutoff time.Time) (claim.StartFound, error) {
	older, err := c.isOlder(ctx, bounds.First, cutoff)
	if err != nil || !older {
		return claim.StartFound{Offset: bounds.First}, err
	}
	low, high := bounds.First, bounds.Next
	for high-low > maxReadRecords {
		middle := low + (high-low)/2
		older, err := c.isOlder(ctx, middle, cutoff)
		if err != nil {
			return claim.StartFound{}, err
		}
		if older {
			low = middle
		} else {
			high = middle
		}
	}
	return claim.StartFound{Offset: low, CompleteSince: cutoff}, nil
}

// isOlder reports whether the record at the offset was created before the cutoff. The next readable record decides for one
// that can't be decoded. Without any it counts as not older, so that no claims are skipped.
func (c *Controller) isOlder(ctx context.Context, offset int64, cutoff time.Time) (bool, error) {
	for _, limit := range []int{1, maxReadRecords} {
		records, err := c.opts.Log.Read(ctx, c.opts.Topic, offset, limit)
		if err != nil && !errors.Is(err, logservice.ErrMoreRecords) {
			return false, err
		}
		for _, r := range records {
			if batch, err := claim.Decode(r.Value); err == nil {
				return batch.CreatedAt.Before(cutoff), nil
			}
		}
	}
	return false, nil
}
