package topology

import (
	"context"
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
)

// Guards against daemons that call at the same moments in every outage but their first.
func TestServerThatLeftIsOutOfUseInTimeBehindALaterOutage(t *testing.T) {
	const contactWindow = 3 * time.Second
	for _, daemons := range []int{9, 30, 100, 195} {
		for _, outage := range []time.Duration{3500 * time.Millisecond, 7 * time.Second} {
			for _, hangs := range []bool{false, true} {
				t.Run(fmt.Sprintf("%d daemons, %v, hangs %v", daemons, outage, hangs), func(t *testing.T) {
					for seed := range uint64(3) {
						synctest.Test(t, func(t *testing.T) {
							late := simulateLaterOutage(t, daemons, outage, hangs, seed)
							t.Logf("seed %d: out of use after %v", seed, late)
							assert.LessOrEqual(t, late, contactWindow)
						})
					}
				})
			}
		}
	}
}

// simulateLaterOutage returns the time from the end of the second of two outages, 15 s after the first, until no daemon uses a server
// that left right before it.
func simulateLaterOutage(t *testing.T, daemons int, outage time.Duration, hangs bool, seed uint64) (late time.Duration) {
	store := &simulatedStore{hangs: hangs}
	fleet := &simulatedFleet{store: store, zones: min(3, daemons), loss: 0.02, random: rand.New(rand.NewPCG(seed, uint64(daemons)))}
	for _, id := range []string{"stays", "leaves"} {
		store.write(id, 1)
	}
	ctx, cancel := context.WithCancel(t.Context())
	running := fleet.run(ctx, daemons)
	for second := range 2 {
		time.Sleep(15*time.Second + time.Duration(fleet.chance()*float64(time.Second)))
		assert.Equal(t, daemons, fleet.holds("leaves"))
		if second == 1 {
			store.write("leaves", 0)
		}
		store.setDown(true)
		time.Sleep(outage)
		store.setDown(false)
	}
	for end := time.Now(); time.Since(end) < 15*time.Second; time.Sleep(10 * time.Millisecond) {
		if fleet.holds("leaves") > 0 {
			late = time.Since(end)
		}
	}
	cancel()
	running.Wait()
	time.Sleep(time.Second) // for datagrams
	return late
}
