package gateway

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

func neverSample() float64 { return 1 }

// Callers spread over daemons as these have processor time.
func TestSelectAddressesWeightsByCPU(t *testing.T) {
	daemons := []entry{
		{address: "large", zone: "a", cpuCores: 0.8},
		{address: "small", zone: "a", cpuCores: 0.2},
	}
	selections := map[string]int{}
	for i := range 1000 {
		for _, address := range selectAddresses(daemons, "a", "r", func() float64 { return float64(i) / 1000 }) {
			selections[address]++
		}
	}
	assert.Equal(t, map[string]int{"large": 1000, "small": 250}, selections)
}

func TestOverloadDetectorFollowsSustainedLag(t *testing.T) {
	var s overloadDetector
	s.observe(200 * time.Millisecond) // one pause of the collector is no strain
	assert.False(t, s.overloaded.Load())
	for range 50 {
		s.observe(40 * time.Millisecond)
	}
	assert.True(t, s.overloaded.Load())
	for range 100 {
		s.observe(time.Millisecond)
	}
	assert.False(t, s.overloaded.Load())
}

// mtesz-cert mix --seed 471901917037: callers of a zone went to a slow daemon, which refused
// nearly all of them.
func TestSelectAddressesSkipsOverloadedDaemons(t *testing.T) {
	daemons := []entry{
		{address: "a1", zone: "a", region: "r"},
		{address: "a2", zone: "a", region: "r", overloaded: true},
		{address: "b1", zone: "b", region: "r"},
		{address: "b2", zone: "b", region: "r"},
		{address: "c1", zone: "c", region: "s"},
	}
	assert.Equal(t, []string{"a1", "b1", "b2"}, selectAddresses(daemons, "a", "r", neverSample))
	assert.Equal(t, []string{"b1", "b2"}, selectAddresses(daemons, "b", "r", neverSample))
	assert.Equal(t, []string{"a1", "b1", "b2", "c1"}, selectAddresses(daemons, "c", "s", neverSample))
	overloaded := []entry{{address: "a1", zone: "a", region: "r", overloaded: true}}
	assert.Equal(t, []string{"a1"}, selectAddresses(overloaded, "a", "r", neverSample))
	assert.Empty(t, selectAddresses(nil, "a", "r", neverSample))
}
