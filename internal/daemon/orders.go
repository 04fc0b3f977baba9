package daemon

import (
	"context"
	"encoding/json"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/filbertrill/filbertrill/internal/controller/orders"
	"github.com/filbertrill/filbertrill/internal/order"
	"github.com/filbertrill/filbertrill/internal/ticket"
)

// updateOrders passes the orders that the configuration requires to the order controller,
// whenever the configuration changes, until the context ends.
func (d *Daemon) updateOrders(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-d.configChanges:
		}
		desired, err := d.desiredOrders()
		if err != nil {
			d.logger.Error("Cannot derive orders from the configuration.", "error", err)
			continue
		}
		d.orders.SetOrders(desired, time.Now())
	}
}

// desiredOrders returns the orders that the configuration requires for servers of models.
func (d *Daemon) desiredOrders() ([]orders.DesiredOrder, error) {
	data, _, err := d.config.Snapshot()
	if err != nil {
		return nil, err
	}
	var snapshot ticket.Snapshot
	if err := json.Unmarshal(data, &snapshot); err != nil {
		return nil, errors.Wrap(err, "decode snapshot")
	}
	isModel := map[string]bool{}
	for _, s := range snapshot.Services {
		isModel[s.Value.ID] = s.Value.Kind == ticket.ServiceModel
	}
	var desired []orders.DesiredOrder
	for _, s := range snapshot.Servers {
		kind, ok := orderKind(s.Value.State)
		if !ok || !isModel[s.Value.Service] {
			continue
		}
		desired = append(desired, orders.DesiredOrder{
			Zone: s.Value.Zone,
			Order: order.Order{
				Server:      s.Value.ID,
				Address:     s.Value.Address,
				Kind:        kind,
				Model:       s.Value.Service,
				Fence:       s.Number,
				ChecksFence: s.Value.ChecksOrders,
			},
		})
	}
	return desired, nil
}

// orderKind returns the order that a server in the state requires, or false if it requires none.
func orderKind(state ticket.ServerState) (order.Kind, bool) {
	switch state {
	case ticket.ServerJoined:
		return order.Load, true
	case ticket.ServerLeaving:
		return order.Drain, true
	}
	return "", false
}
