package orders

import (
	"context"

	"github.com/cockroachdb/errors"

	"github.com/filbertrill/filbertrill/internal/logservice"
	"github.com/filbertrill/filbertrill/internal/order"
)

// readLog reads the orders topic to its end and applies the records.
func (c *Controller) readLog(ctx context.Context) error {
	c.registryMu.Lock()
	defer c.registryMu.Unlock()
	for {
		records, err := c.opts.Log.Read(ctx, c.opts.Topic, c.registry.NextOffset(), maxReadRecords)
		if errors.Is(err, logservice.ErrOffsetExpired) {
			if err := c.skipExpired(ctx); err != nil {
				return err
			}
			continue
		}
		more := errors.Is(err, logservice.ErrMoreRecords)
		if err != nil && !more {
			return err
		}
		for _, r := range records {
			c.registry.Apply(r.Offset, r.Value)
		}
		if !more && len(records) < maxReadRecords {
			return nil
		}
	}
}

// skipExpired continues at the oldest record in the log. Skipping is safe, because the expired
// claims are older than any lease.
func (c *Controller) skipExpired(ctx context.Context) error {
	bounds, err := c.opts.Log.Bounds(ctx, c.opts.Topic)
	if err != nil {
		return err
	}
	if bounds.First <= c.registry.NextOffset() {
		return errors.New("log records expire before they are read")
	}
	c.registry.SkipTo(bounds.First)
	return nil
}

// appendRecord appends a record for the order of the server. If the response is lost, the next
// read shows whether the append took effect; appending the record again changes nothing.
func (c *Controller) appendRecord(ctx context.Context, s *serverOrder, kind order.RecordKind) error {
	c.opts.OnStep("append " + string(kind))
	record := order.Record{Kind: kind, Server: s.order.Server, Fence: s.order.Fence, Sender: c.opts.Self}
	_, err := c.opts.Log.Append(ctx, c.opts.Topic, [][]byte{record.Encode()})
	return errors.Wrapf(err, "append %s", string(kind))
}
