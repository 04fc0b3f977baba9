package engine

import (
	"encoding/json"
	"net/http"
	"sync"
)

// Order is an administrative command to the engine. The fence is a fencing token: with
// Options.ChecksOrders, an order with a lower fence than an earlier one is rejected.
type Order struct {
	Fence int64  `json:"fence"`
	Order string `json:"order"` // load, drain or role
	Model string `json:"model,omitempty"`
	Role  string `json:"role,omitempty"`
}

// orders holds the accepted orders.
type orders struct {
	checksOrders bool

	mu           sync.Mutex
	highestFence int64
	draining     bool
	accepted     []Order
}

func (o *orders) post(w http.ResponseWriter, r *http.Request) {
	var order Order
	if err := json.NewDecoder(r.Body).Decode(&order); err != nil {
		writeError(w, http.StatusBadRequest, "order is not valid JSON")
		return
	}
	if order.Order != "load" && order.Order != "drain" && order.Order != "role" {
		writeError(w, http.StatusBadRequest, "order is not known")
		return
	}
	highestFence, ok := o.accept(order)
	if !ok {
		writeError(w, http.StatusConflict, "fence is below the highest seen")
		return
	}
	writeJSON(w, http.StatusOK, map[string]int64{"fence": highestFence})
}

// accept applies the order. It returns the highest fence seen and whether the order was accepted.
func (o *orders) accept(order Order) (int64, bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.checksOrders && order.Fence < o.highestFence {
		return o.highestFence, false
	}
	o.highestFence = max(o.highestFence, order.Fence)
	o.accepted = append(o.accepted, order)
	switch order.Order {
	case "drain":
		o.draining = true
	case "load":
		o.draining = false
	}
	return o.highestFence, true
}

func (o *orders) isDraining() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.draining
}

func (o *orders) list() []Order {
	o.mu.Lock()
	defer o.mu.Unlock()
	return append([]Order{}, o.accepted...)
}

func (o *orders) get(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, o.list())
}
