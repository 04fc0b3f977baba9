package dispatch

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against a new account starting at a virtual time that contains wrong charges: an
// account with cost hints ten times too high starts first and is charged by them until its
// runs end. The account that arrives next must get its fair share at once.
func TestOverestimatesDoNotDelayNewAccounts(t *testing.T) {
	const slots, trueCost = 12, 1000
	now := time.Unix(1, 0)
	d := NewDispatcher(now, 1, Pool{
		Name:     "z1",
		Servers:  []ServerSpec{{ID: "s1", Slots: slots, Schedulable: true}},
		Accounts: map[string]AccountSpec{"over": {Weight: 1}, "exact": {Weight: 1}},
	}, []string{"d1"})
	q := NewQueue(QueueOptions{Incarnation: 1, Order: OrderFair})
	accounts := map[RequestID]string{}
	var running []RequestID
	var nextID RequestID
	enqueue := func(id string, limit Cost) {
		nextID++
		accounts[nextID] = id
		q.Enqueue(Request{ID: nextID, Account: id, Arrived: now, CostHint: CostHint{Default: limit, Max: limit}})
	}
	report := func() {
		now = now.Add(time.Millisecond)
		for _, send := range d.HandleReport(now, "d1", q.FullReport(now)) {
			for _, s := range q.HandleBatch(now, send.Batch) {
				running = append(running, s.Request)
			}
		}
	}
	report()
	for range 10 * slots {
		enqueue("over", 10*trueCost)
	}
	report()
	require.Len(t, running, slots)
	for range 10 * slots {
		enqueue("exact", trueCost)
	}
	report()

	starts := map[string]int{}
	for range 4 * slots {
		q.End(now, running[0], trueCost, false)
		running = running[1:]
		before := len(running)
		report()
		for _, id := range running[before:] {
			starts[accounts[id]]++
		}
	}
	require.InDelta(t, starts["over"], starts["exact"], 2*slots, "%v", starts)
}
