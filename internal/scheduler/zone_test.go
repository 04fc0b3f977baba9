package scheduler_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/filbertrill/filbertrill/test/simulation"
)

// zonedResults are the results of several simulations of three zones.
type zonedResults struct {
	simulation.Results
	crossZoneTokens, recomputedTokens int
}

func (r zonedResults) onTime() float64    { return ratio(r.OnTime, r.Requests) }
func (r zonedResults) crossZone() float64 { return ratio(r.crossZoneTokens, r.Tokens) }

// simulateZones runs the load on three zones with three daemons and three engines each, with ten seeds. Engines can fetch
// cached prompt parts from each other. Views are as old as those of other zones.
func simulateZones(bodyBytesPerToken int, load func(*simulation.Simulation)) zonedResults {
	var total zonedResults
	for seed := range uint64(10) {
		s := simulation.New(simulation.Options{
			Daemons: 9, Engines: 9, Zones: 3, BodyBytesPerToken: bodyBytesPerToken, Seed: seed, Policy: simulation.Product,
			EngineSpec: simulation.EngineSpec{Slots: 64, PrefillTokensPerMs: 82, FetchTokensPerMs: 3700}, ViewInterval: 150 * time.Millisecond,
		})
		load(s)
		s.Run(simulationLength)
		total.Add(s.Total())
		total.crossZoneTokens += s.CrossZoneTokens
		total.recomputedTokens += s.RecomputedTokens
	}
	return total
}

// maxServedLoss is the share of requests by which results may differ without a cause, between two placements of one load.
const maxServedLoss = 0.003

// Links between zones cost more than others. Large requests stay in the zone of their daemon while its engines are not busier
// than others, and no caller pays for it.
func TestLargeRequestsStayInTheirZone(t *testing.T) {
	load := func(s *simulation.Simulation) {
		for i := range 8 {
			s.Poisson(fmt.Sprint("account", i), 8, 9, simulation.Start, simulationLength)
		}
	}
	free, priced := simulateZones(0, load), simulateZones(2, load)
	t.Logf("bytes without cost %+v; with cost %+v", free, priced)
	assert.LessOrEqual(t, priced.crossZone(), free.crossZone()/2)
	assert.GreaterOrEqual(t, priced.onTime(), free.onTime()-maxServedLoss)
	assert.GreaterOrEqual(t, priced.onTime(), 0.99)
}

// Two thirds of the load arrive in one zone, more than its engines can serve. The others take what it can't.
func TestOtherZonesServeWhatOneCannot(t *testing.T) {
	load := func(s *simulation.Simulation) {
		for i := range 8 {
			s.Poisson(fmt.Sprint("spread", i), 3, 9, simulation.Start, simulationLength)
			s.Poisson(fmt.Sprint("pinned", i), 16, 1, simulation.Start, simulationLength) // to the first daemon
		}
	}
	free, priced := simulateZones(0, load), simulateZones(2, load)
	t.Logf("bytes without cost %+v; with cost %+v", free, priced)
	assert.Less(t, priced.crossZone(), free.crossZone())
	assert.GreaterOrEqual(t, priced.onTime(), free.onTime()-maxServedLoss)
}
