package members

import (
	"encoding/json"
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/filbertrill/filbertrill/internal/ticket"
	"github.com/filbertrill/filbertrill/test/cluster"
	"github.com/filbertrill/filbertrill/test/standin/engine"
)

// listOrders returns the orders that a stand-in server has accepted.
func listOrders(t *testing.T, server *cluster.Process) []engine.Order {
	resp, err := http.Get("http://" + server.Address + "/admin/orders")
	require.NoError(t, err)
	defer func() { _ = resp.Body.Close() }()
	var list []engine.Order
	require.NoError(t, json.NewDecoder(resp.Body).Decode(&list))
	return list
}

// waitForOrder waits until the last order that the server received is the wanted one.
func waitForOrder(t *testing.T, server *cluster.Process, order string, fence uint64) {
	t.Helper()
	require.Eventually(t, func() bool {
		list := listOrders(t, server)
		if len(list) == 0 {
			return false
		}
		last := list[len(list)-1]
		return last.Order == order && last.Fence == int64(fence)
	}, cluster.WaitTimeout, pollInterval, "want %s with fence %d", order, fence)
}

// TestOrdersFollowTickets checks that servers receive load and drain orders whose fence is the number
// of the ticket that changed their state, whether or not they check the fence. No order may arrive
// after a newer one when its sender is paused while a ticket is submitted.
func TestOrdersFollowTickets(t *testing.T) {
	t.Parallel()
	f := startFleet(t, cluster.Options{Daemons: 4, Zones: []string{"z1", "z2"}})
	checking := f.AddEngine("z2", 4, "--checks-orders")
	f.NextTicket.Servers[1].ChecksOrders = true
	ignoring := f.AddEngine("z2", 4)
	f.SubmitNext()
	waitForOrder(t, checking, "load", f.NextTicket.Number-1)
	waitForOrder(t, ignoring, "load", f.NextTicket.Number-1)

	// One of the two daemons of z2 sends the orders to each server.
	for _, paused := range []int{1, 3} {
		for _, state := range []ticket.ServerState{ticket.ServerLeaving, ticket.ServerJoined} {
			f.Daemons[paused].Pause()
			f.NextTicket.Servers[1].State = state
			f.NextTicket.Servers[2].State = state
			number := f.NextTicket.Number
			submitted := make(chan error, 1)
			go func() {
				_, err := (&cluster.Cluster{Daemons: f.Daemons[:1]}).UseBinDirOf(f.Cluster).Submit(f.NextTicket)
				submitted <- err
			}()
			want := map[ticket.ServerState]string{ticket.ServerLeaving: "drain", ticket.ServerJoined: "load"}[state]
			waitForOrder(t, checking, want, number)
			waitForOrder(t, ignoring, want, number)
			f.Daemons[paused].Resume()
			require.NoError(t, <-submitted)
			f.NextTicket.Number++
		}
	}
	for _, server := range []*cluster.Process{checking, ignoring} {
		highest := int64(0)
		for _, o := range listOrders(t, server) {
			require.GreaterOrEqual(t, o.Fence, highest, "received an older order after a newer one")
			highest = o.Fence
		}
	}
}
