package origin

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/filbertrill/filbertrill/internal/routing"
)

// Guards against streams that begin at a second version before any version is saved. A fleet that is started again then knows of one
// at most.
func TestNoStreamBeginsAtUnsavedVersionBesideUnsavedOne(t *testing.T) {
	start := time.Unix(1000, 0)
	at := func(version string) routing.Server {
		return routing.Server{ID: version, Service: "s", Version: version, State: routing.Ready}
	}
	v := NewVersions()
	v.SetListAge(start)
	v.Merge(nil, true, start) // nothing is saved
	v.Update([]routing.Server{at("v1")}, start)
	assert.Empty(t, v.Excluded("s", start))
	now := start.Add(time.Second)
	for ; now.Before(start.Add(10 * time.Second)); now = now.Add(time.Second) { // the store takes no writes
		v.SetListAge(now)
		v.Update([]routing.Server{at("v1"), at("v2")}, now)
	}
	assert.Contains(t, v.Excluded("s", now), "v2")
	assert.NotContains(t, v.Excluded("s", now), "v1")
	v.SetListAge(now)
	v.Update([]routing.Server{at("v2")}, now)
	assert.NotContains(t, v.Excluded("s", now), "v2", "no other one has servers")
}
