package gateway

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

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
	assert.Equal(t, []string{"a1", "b1", "b2"}, choose(daemons, "a", "r"))
	assert.Equal(t, []string{"b1", "b2"}, choose(daemons, "b", "r"))
	assert.Equal(t, []string{"a1", "b1", "b2", "c1"}, choose(daemons, "c", "s"))
	strained := []entry{{address: "a1", zone: "a", region: "r", strained: true}}
	assert.Equal(t, []string{"a1"}, choose(strained, "a", "r"))
	assert.Empty(t, choose(nil, "a", "r"))
}
