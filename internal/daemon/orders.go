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

// followOrders hands the orders that each configuration calls for to their controller.
func (d *Daemon) followOrders(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-d.changed:
		}
		wanted, err := d.wantedOrders()
		if err != nil {
			d.logger.Error("Orders can't be read from the configuration.", "error", err)
			continue
		}
		d.orders.SetOrders(wanted, time.Now())
	}
}

func (d *Daemon) wantedOrders() ([]orders.DesiredOrder, error) {
	data, _, err := d.config.Snapshot()
	if err != nil {
		return nil, err
	}
	var snapshot ticket.Snapshot
	if err := json.Unmarshal(data, &snapshot); err != nil {
		return nil, errors.Wrap(err, "decode snapshot")
	}
	models := map[string]bool{}
	for _, s := range snapshot.Services {
		models[s.Value.ID] = s.Value.Kind == ticket.ServiceModel
	}
	var wanted []orders.DesiredOrder
	for _, s := range snapshot.Servers {
		kind, ok := orderOf(s.Value.State)
		if !ok || !models[s.Value.Service] {
			continue
		}
		wanted = append(wanted, orders.DesiredOrder{
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
	return wanted, nil
}

func orderOf(state ticket.ServerState) (order.Kind, bool) {
	switch state {
	case ticket.ServerJoined:
		return order.Load, true
	case ticket.ServerLeaving:
		return order.Drain, true
	}
	return "", false
}
