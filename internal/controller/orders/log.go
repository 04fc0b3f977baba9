package orders

import (
	"context"

	"github.com/cockroachdb/errors"

	"github.com/filbertrill/filbertrill/internal/logservice"
	"github.com/filbertrill/filbertrill/internal/order"
)

// read takes in the topic of orders to its end.
func (c *Controller) readLog(ctx context.Context) error {
	c.registryMu.Lock()
	defer c.registryMu.Unlock()
	for {
		records, err := c.opts.Log.Read(ctx, c.opts.Topic, c.registry.NextOffset(), maxReadRecords)
		if errors.Is(err, logservice.ErrForgotten) {
			if err := c.skipExpired(ctx); err != nil {
				return err
			}
			continue
		}
		if err != nil {
			return err
		}
		for _, r := range records {
			c.registry.Apply(r.Offset, r.Value)
		}
		if len(records) < maxReadRecords {
			return nil
		}
	}
}

// skip goes on at the oldest record that the log keeps. The claims before it are older
// than any permission.
func (c *Controller) skipExpired(ctx context.Context) error {
	bounds, err := c.opts.Log.Bounds(ctx, c.opts.Topic)
	if err != nil {
		return err
	}
	if bounds.First <= c.registry.NextOffset() {
		return errors.New("the log forgets faster than it is read")
	}
	c.registry.SkipTo(bounds.First)
	return nil
}

// append writes a record. An append whose answer was lost is harmless: the next read
// shows whether it took effect, and a repeat changes nothing.
func (c *Controller) appendRecord(ctx context.Context, s *serverOrder, kind order.RecordKind) error {
	c.opts.OnStep("append " + string(kind))
	record := order.Record{Kind: kind, Server: s.order.Server, Fence: s.order.Fence, Sender: c.opts.Self}
	_, err := c.opts.Log.Append(ctx, c.opts.Topic, [][]byte{record.Encode()})
	return errors.Wrapf(err, "append %s", string(kind))
}
