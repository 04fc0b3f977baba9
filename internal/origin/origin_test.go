package origin

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/filbertrill/filbertrill/internal/routing"
)

var start = time.Unix(1000, 0)

func servers(versions ...string) (list []routing.Server) {
	for _, version := range versions {
		list = append(list, routing.Server{Service: "s", Version: version})
	}
	return list
}

func TestStreamIsForgottenAfterTTL(t *testing.T) {
	table := NewTable()
	table.Record(7, "v1", start)
	version, ok := table.Lookup(7, start.Add(TTL))
	assert.True(t, ok)
	assert.Equal(t, "v1", version)
	_, ok = table.Lookup(7, start.Add(TTL+1))
	assert.False(t, ok)
	_, ok = table.Lookup(8, start)
	assert.False(t, ok)
}

func TestUnrecordedStreamBeganAtTheOnlyVersion(t *testing.T) {
	v := NewVersions()
	_, ok := v.Unrecorded("s", start)
	assert.False(t, ok, "no server is known")
	v.Update(servers("v1"), start)
	v.SetComplete(start)
	version, ok := v.Unrecorded("s", start)
	assert.True(t, ok)
	assert.Equal(t, "v1", version)
	assert.False(t, v.Mixed("s", start))

	mixedAt := start.Add(time.Second)
	v.Update(servers("v1", "v2"), mixedAt)
	assert.True(t, v.Mixed("s", mixedAt))
	version, ok = v.Unrecorded("s", mixedAt.Add(TTL))
	assert.True(t, ok, "begun before")
	assert.Equal(t, "v1", version)
	v.Update(servers("v1", "v2"), mixedAt.Add(TTL))
	_, ok = v.Unrecorded("s", mixedAt.Add(TTL+1))
	assert.False(t, ok, "whatever began before has ended")

	v.Update(servers("v2"), mixedAt.Add(TTL+time.Second))
	assert.True(t, v.Mixed("s", mixedAt.Add(2*TTL)), "streams of v1 may go on")
	v.Update(servers("v2"), mixedAt.Add(3*TTL))
	version, ok = v.Unrecorded("s", mixedAt.Add(3*TTL))
	assert.True(t, ok)
	assert.Equal(t, "v2", version)
}

func TestDaemonThatStartsWhileVersionsAreMixedDoesNotGuess(t *testing.T) {
	v := NewVersions()
	v.Update(servers("v1", "v2"), start)
	v.SetComplete(start)
	_, ok := v.Unrecorded("s", start)
	assert.False(t, ok)
}

// Guards against a daemon that has just started and takes the first server that it learns of for the only version.
func TestSingleVersionOfIncompleteListIsNotTheOnlyOne(t *testing.T) {
	v := NewVersions()
	v.Update(servers("v1"), start)
	_, ok := v.Unrecorded("s", start)
	assert.False(t, ok, "the list is not complete")
	v.Update(servers("v1", "v2"), start)
	v.SetComplete(start)
	_, ok = v.Unrecorded("s", start)
	assert.False(t, ok, "versions have been mixed from the beginning")
}
