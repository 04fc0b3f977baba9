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
	table.Record(7, Key{"s", "v1"}, start)
	key, known, _ := table.Lookup(7, start.Add(TTL))
	assert.True(t, known)
	assert.Equal(t, Key{"s", "v1"}, key)
	_, known, _ = table.Lookup(7, start.Add(TTL+1))
	assert.False(t, known)
	_, known, _ = table.Lookup(8, start)
	assert.False(t, known)
}

// Guards against a stream that goes on at one of two versions, or services, which daemons have recorded for the same ID.
func TestStreamOfTwoRecordedVersionsHasNone(t *testing.T) {
	first := Key{"s", "v1"}
	for _, other := range []Key{{"s", "v2"}, {"other", "v1"}} {
		table := NewTable()
		table.RecordOwn(7, first, start)
		table.Record(7, first, start)
		key, known, conflicting := table.Lookup(7, start)
		assert.Equal(t, first, key)
		assert.True(t, known)
		assert.False(t, conflicting)
		table.Record(7, other, start)
		table.Record(7, first, start)
		key, known, conflicting = table.Lookup(7, start)
		assert.Empty(t, key)
		assert.True(t, known)
		assert.True(t, conflicting)
		assert.Empty(t, table.Own("s", start))
	}
}

func TestOwnStreams(t *testing.T) {
	table := NewTable()
	table.RecordOwn(1, Key{"s", "v1"}, start)
	table.RecordOwn(2, Key{"other", "v1"}, start)
	table.Record(3, Key{"s", "v1"}, start)
	table.RecordOwn(4, Key{"s", "v2"}, start.Add(time.Second))
	assert.Equal(t, map[uint64]Key{1: {"s", "v1"}, 4: {"s", "v2"}}, table.Own("s", start.Add(TTL)))
	assert.Len(t, table.Own("", start.Add(TTL)), 3)
	assert.Equal(t, map[uint64]Key{4: {"s", "v2"}}, table.Own("s", start.Add(TTL+1)))
}

// newCompleteVersions returns Versions of a daemon that knows all that is saved, and has a list of servers of now.
func newCompleteVersions(saved ...Use) *Versions {
	v := NewVersions()
	v.SetListAge(start)
	v.Merge(saved, true, start)
	return v
}

// keepListed records a complete list of the versions every second up to the end.
func keepListed(v *Versions, from, end time.Time, versions ...string) {
	for now := from; !now.After(end); now = now.Add(time.Second) {
		v.SetListAge(now)
		v.Update(servers(versions...), now)
	}
}

func TestOnlyVersion(t *testing.T) {
	v := newCompleteVersions()
	_, ok := v.Only("s", start)
	assert.False(t, ok, "no server is known")
	v.Update(servers("v1"), start)
	version, ok := v.Only("s", start.Add(MaxListAge))
	assert.True(t, ok)
	assert.Equal(t, "v1", version)

	mixed := v.Update(servers("v1", "v2"), start.Add(time.Second))
	assert.Equal(t, []string{"s"}, mixed)
	_, ok = v.Only("s", start.Add(time.Second))
	assert.False(t, ok, "two versions are in use")
	end := start.Add(time.Second + TTL)
	keepListed(v, start.Add(2*time.Second), end, "v2")
	_, ok = v.Only("s", end)
	assert.False(t, ok, "streams of v1 may go on")
	keepListed(v, end, end.Add(2*time.Second), "v2")
	version, ok = v.Only("s", end.Add(2*time.Second))
	assert.True(t, ok)
	assert.Equal(t, "v2", version)
}

// Guards against a daemon that has just started and takes the list of now for all that was in use.
func TestStartedDaemonDoesNotKnowTheOnlyVersion(t *testing.T) {
	v := NewVersions()
	v.SetListAge(start)
	v.Update(servers("v1"), start)
	_, ok := v.Only("s", start)
	assert.False(t, ok, "what is saved is not known")
	v.Merge([]Use{{Service: "s", Version: "v1", FirstSeen: start, LastSeen: start}}, false, start)
	_, ok = v.Only("s", start)
	assert.False(t, ok, "the peer does not know either")
	v.Merge([]Use{{Service: "s", Version: "v2", FirstSeen: start, LastSeen: start, Saved: true}}, true, start)
	_, ok = v.Only("s", start)
	assert.False(t, ok, "streams may have begun at v2")
}

// Guards against a daemon that was cut off and misses versions that came and left meanwhile.
func TestDaemonWithoutListDoesNotKnowTheOnlyVersion(t *testing.T) {
	v := newCompleteVersions()
	v.Update(servers("v1"), start)
	_, ok := v.Only("s", start.Add(MaxListAge+1))
	assert.False(t, ok, "the list is too old")
	v.SetListAge(start.Add(MaxListAge))
	_, ok = v.Only("s", start.Add(MaxListAge))
	assert.True(t, ok, "nothing can have begun in the gap")
	later := start.Add(2*MaxListAge + 1)
	v.SetListAge(later)
	v.Update(servers("v1"), later)
	_, ok = v.Only("s", later)
	assert.False(t, ok, "the gap is too long")
	v.Merge(nil, true, later)
	_, ok = v.Only("s", later)
	assert.True(t, ok)
}

// Guards against streams that begin at a version which other daemons don't know yet.
func TestNoStreamBeginsAtNewVersionBeforeItIsKnown(t *testing.T) {
	v := newCompleteVersions()
	v.Update(servers("v1"), start)
	assert.Empty(t, v.Excluded("s", start), "the only version may be used at once")
	v.SetSaved("s", "v1", true)
	mixedAt := start.Add(10 * time.Second)
	v.Update(servers("v1", "v2"), mixedAt)
	assert.Equal(t, []string{"v2"}, v.Excluded("s", mixedAt))
	assert.Equal(t, []string{"v2"}, v.Excluded("s", mixedAt.Add(BeginDelay)), "it is not saved")
	unsaved, waiting := v.Unsaved(map[string]bool{"s": true}, mixedAt)
	assert.True(t, waiting)
	assert.Len(t, unsaved, 1)
	v.SetSaved("s", "v2", true)
	assert.Equal(t, []string{"v2"}, v.Excluded("s", mixedAt.Add(BeginDelay-1)), "others may not know it")
	assert.Empty(t, v.Excluded("s", mixedAt.Add(BeginDelay)))

	assert.Equal(t, []string{"v2"}, func() []string {
		returning := newCompleteVersions(Use{Service: "s", Version: "v2", LastSeen: start, Saved: true})
		returning.Update(servers("v1", "v2"), start)
		returning.SetSaved("s", "v1", true)
		returning.Update(servers("v1"), start.Add(time.Second))
		returning.Update(servers("v1", "v2"), mixedAt)
		return returning.Excluded("s", mixedAt)
	}(), "others may not have seen it before")

	v.Update(servers("v2", "v3"), mixedAt.Add(BeginDelay))
	assert.Equal(t, []string{"v3"}, v.Excluded("s", mixedAt.Add(2*BeginDelay)))
	v.Update(servers("v3"), mixedAt.Add(2*BeginDelay))
	assert.Empty(t, v.Excluded("s", mixedAt.Add(2*BeginDelay)), "no other version has servers")
}

func TestSavedVersionsExpire(t *testing.T) {
	key := Key{"s", "v1"}
	saved := Saved{key: start}
	assert.Empty(t, saved.Expired([]Use{{Service: "s", Version: "v1", LastSeen: start.Add(time.Second)}}, start.Add(savedTTL+time.Second)))
	assert.Equal(t, []Key{key}, saved.Expired(nil, start.Add(savedTTL+time.Second+1)))
}

// Guards against a daemon that has just started and begins streams at a version that it takes for the only one.
func TestIncompleteDaemonBeginsNoStreams(t *testing.T) {
	v := NewVersions()
	v.SetListAge(start)
	v.Update(servers("v2"), start)
	assert.Equal(t, []string{"v2"}, v.Excluded("s", start))
	assert.True(t, v.AllExcluded("s", start))
	assert.Empty(t, v.Excluded("s", start.Add(BeginDelay)), "others have a list with it")
	v.Merge(nil, true, start)
	assert.Empty(t, v.Excluded("s", start))
	v.Update(servers("v2", "v3"), start.Add(time.Second))
	v.SetSaved("s", "v2", true)
	assert.Equal(t, []string{"v3"}, v.Excluded("s", start.Add(time.Second)), "streams have begun at v2 before")
}

// Guards against conclusions from a version that left and returned, which another daemon has never seen.
func TestReturningVersionIsDelayedAgain(t *testing.T) {
	p, d := newCompleteVersions(), newCompleteVersions()
	at := func(s float64) time.Time { return start.Add(time.Duration(s * float64(time.Second))) }
	p.Update(servers("v1"), at(0))
	d.Update(servers("v1"), at(0))
	p.SetSaved("s", "v1", true)
	p.Update(servers("v1", "v2"), at(0.1))
	p.SetSaved("s", "v2", true)
	p.Update(servers("v1"), at(1.1))
	d.SetListAge(at(2.2))
	d.Update(servers("v1"), at(2.2))
	p.Update(servers("v1", "v2"), at(2.3))
	for now := 2.3; now < 12; now += 0.1 {
		_, ok := d.Only("s", at(now))
		assert.False(t, ok && len(p.Excluded("s", at(now))) == 0, "after %v s", now)
	}
}

// Guards against a daemon that stood still and takes a message of before for one of now.
func TestMessageOfBeforeDoesNotMakeTheListFresh(t *testing.T) {
	at := func(s float64) time.Time { return start.Add(time.Duration(s * float64(time.Second))) }
	for stop := 0.5; stop < 12; stop += 0.1 {
		for age := 0.0; age < MaxListAge.Seconds(); age += 0.1 {
			p, d := newCompleteVersions(), newCompleteVersions()
			p.Update(servers("v1"), at(0))
			p.SetSaved("s", "v1", true)
			d.Update(servers("v1"), at(0))
			p.Update(servers("v1", "v2"), at(0.01))
			p.SetSaved("s", "v2", true)
			d.SetListAge(at(stop - age)) // of a message that came at 0
			_, ok := d.Only("s", at(stop))
			assert.False(t, ok && len(p.Excluded("s", at(stop))) == 0, "stop of %v s, age of %v s", stop, age)
		}
	}
}

// Guards against a peer without a list for long that says that it knows all versions.
func TestDaemonWithOldListDoesNotKnowAllVersions(t *testing.T) {
	v := newCompleteVersions()
	_, complete := v.All(start.Add(MaxListAge))
	assert.True(t, complete)
	_, complete = v.All(start.Add(MaxListAge + 1))
	assert.False(t, complete)
}

// Guards against a daemon that asks its peers for minutes whether a version without servers is saved.
func TestNoStreamWaitsForVersionWithoutServers(t *testing.T) {
	v := newCompleteVersions(Use{Service: "s", Version: "v0", FirstSeen: start, LastSeen: start})
	v.Update(servers("v1"), start)
	services := map[string]bool{"s": true}
	unsaved, waiting := v.Unsaved(services, start)
	assert.Len(t, unsaved, 2)
	assert.True(t, waiting, "v1 has to be saved")
	v.SetSaved("s", "v1", true)
	unsaved, waiting = v.Unsaved(services, start)
	assert.Len(t, unsaved, 1)
	assert.False(t, waiting)
}
