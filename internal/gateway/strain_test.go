package gateway

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

func never() float64 { return 1 }

// Callers spread over daemons as these have processor time.
func TestCallersSpreadByProcessor(t *testing.T) {
	daemons := []entry{
		{address: "large", zone: "a", processor: 0.8},
		{address: "small", zone: "a", processor: 0.2},
	}
	named := map[string]int{}
	for i := range 1000 {
		for _, address := range choose(daemons, "a", "r", func() float64 { return float64(i) / 1000 }) {
			named[address]++
		}
	}
	assert.Equal(t, map[string]int{"large": 1000, "small": 250}, named)
}

func TestStrainFollowsLastingLag(t *testing.T) {
	var s strain
	s.observe(200 * time.Millisecond) // one pause of the collector is no strain
	assert.False(t, s.strained.Load())
	for range 50 {
		s.observe(40 * time.Millisecond)
	}
	assert.True(t, s.strained.Load())
	for range 100 {
		s.observe(time.Millisecond)
	}
	assert.False(t, s.strained.Load())
}

// mtesz-cert mix --seed 471901917037: callers of a zone went to a slow daemon, which refused
// nearly all of them.
func TestCallersGoToUnstrainedDaemons(t *testing.T) {
	daemons := []entry{
		{address: "a1", zone: "a", region: "r"},
		{address: "a2", zone: "a", region: "r", strained: true},
		{address: "b1", zone: "b", region: "r"},
		{address: "b2", zone: "b", region: "r"},
		{address: "c1", zone: "c", region: "s"},
	}
	assert.Equal(t, []string{"a1", "b1", "b2"}, choose(daemons, "a", "r", never))
	assert.Equal(t, []string{"b1", "b2"}, choose(daemons, "b", "r", never))
	assert.Equal(t, []string{"a1", "b1", "b2", "c1"}, choose(daemons, "c", "s", never))
	strained := []entry{{address: "a1", zone: "a", region: "r", strained: true}}
	assert.Equal(t, []string{"a1"}, choose(strained, "a", "r", never))
	assert.Empty(t, choose(nil, "a", "r", never))
}
