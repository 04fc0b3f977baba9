package configsync_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/filbertrill/filbertrill/internal/configsync"
	"github.com/filbertrill/filbertrill/internal/logservice"
	"github.com/filbertrill/filbertrill/internal/member"
	"github.com/filbertrill/filbertrill/internal/peer/pb"
)

func TestPushReachesEveryMember(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var live []*pb.Member
		for i := range rapid.IntRange(1, 30).Draw(t, "members") {
			zone := fmt.Sprint("z", rapid.IntRange(0, 5).Draw(t, "zone"))
			live = append(live, &pb.Member{Id: fmt.Sprint("d", i), Zone: zone})
		}
		first := live[rapid.IntRange(0, len(live)-1).Draw(t, "first")]
		reached := map[string]bool{first.Id: true}
		sent := 0
		queue := configsync.PushTargets(first, live, false)
		for len(queue) > 0 {
			m := queue[0]
			queue = queue[1:]
			sent++
			if !reached[m.Id] {
				reached[m.Id] = true
				queue = append(queue, configsync.PushTargets(m, live, true)...)
			}
		}
		require.Len(t, reached, len(live))
		require.LessOrEqual(t, sent, 2*len(live)+6)
	})
}

func TestPollIntervalsAndProbeTargets(t *testing.T) {
	intervals := configsync.PollIntervals{Delegate: 1, Others: 8}
	require.EqualValues(t, 1, intervals.Next(true, 0, 100))
	require.EqualValues(t, 8, intervals.Next(false, 50, 100))
	require.EqualValues(t, 1, intervals.Next(false, 51, 100))

	live := []*pb.Member{{Id: "a", Zone: "z1"}, {Id: "b", Zone: "z1"}, {Id: "c", Zone: "z2"}}
	delegate := member.Delegate("z1", live)
	self := live[0]
	if delegate.Id == self.Id {
		self = live[1]
	}
	require.Empty(t, configsync.ProbeTargets(self, live, 25, 100))
	require.Equal(t, []*pb.Member{delegate}, configsync.ProbeTargets(self, live, 26, 100))
	require.Len(t, configsync.ProbeTargets(self, live, 51, 100), 2)
}

func status(id, address string, silence time.Duration, state pb.MemberState) member.Status {
	return member.Status{Member: &pb.Member{Id: id, PeerAddress: address, State: state}, LastSeen: epoch.Add(-silence)}
}

func TestRosterSize(t *testing.T) {
	const live, left = pb.MemberState_MEMBER_STATE_LIVE, pb.MemberState_MEMBER_STATE_LEFT
	hour := time.Hour
	tests := map[string]struct {
		view    []member.Status
		listing configsync.InstanceListing
		size    int
	}{
		"alone":                         {nil, configsync.InstanceListing{}, 1},
		"silent but listed":             {[]member.Status{status("b", "1", hour, live)}, configsync.InstanceListing{AsOf: epoch, Addresses: []string{"1"}}, 2},
		"silent and off the list":       {[]member.Status{status("b", "1", hour, live)}, configsync.InstanceListing{AsOf: epoch}, 1},
		"silent, no list":               {[]member.Status{status("b", "1", hour, live)}, configsync.InstanceListing{}, 2},
		"silent for days, no list":      {[]member.Status{status("b", "1", 48*hour, live)}, configsync.InstanceListing{}, 1},
		"just off the list":             {[]member.Status{status("b", "1", time.Second, live)}, configsync.InstanceListing{AsOf: epoch}, 2},
		"off a list from before":        {[]member.Status{status("b", "1", hour, live)}, configsync.InstanceListing{AsOf: epoch.Add(-2 * hour)}, 2},
		"silent for days, old list":     {[]member.Status{status("b", "1", 48*hour, live)}, configsync.InstanceListing{AsOf: epoch.Add(-72 * hour)}, 1},
		"left":                          {[]member.Status{status("b", "1", 0, left)}, configsync.InstanceListing{AsOf: epoch}, 1},
		"listed, never seen":            {nil, configsync.InstanceListing{AsOf: epoch, Addresses: []string{"1", "2", "1"}}, 3},
		"seeds until the list answers":  {nil, configsync.InstanceListing{Seeds: []string{"1", "2"}}, 3},
		"seeds after the list answered": {nil, configsync.InstanceListing{AsOf: epoch, Seeds: []string{"1", "2"}}, 1},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			r := configsync.NewRoster("a")
			r.Update(epoch, append(test.view, status("a", "0", 0, live)), test.listing)
			require.Equal(t, test.size, r.Size())
			require.Equal(t, test.size/2+1, r.Majority())
		})
	}
}

func TestRosterKeepsMembersMissingFromTheView(t *testing.T) {
	r := configsync.NewRoster("a")
	listing := configsync.InstanceListing{AsOf: epoch, Addresses: []string{"0", "1", "2"}}
	r.Update(epoch, []member.Status{status("a", "0", 0, 1), status("b", "1", 0, 1), status("c", "2", 0, 1)}, listing)
	r.Update(epoch.Add(time.Hour), []member.Status{status("a", "0", 0, 1)}, listing)
	require.Equal(t, 3, r.Size())

	// A member that restarts at another address does not count twice.
	r.Update(epoch.Add(time.Hour), []member.Status{status("b", "9", -time.Hour, 1)}, listing)
	require.Equal(t, 3, r.Size())
	require.Zero(t, r.MaybeStarting(epoch.Add(time.Hour)))
}

// truncatedLog is a log that keeps only the newest records.
type truncatedLog struct {
	maxRecords int64
	next       int64
	bases      map[int64]int64 // base of each state record, by its offset
}

func (l *truncatedLog) bounds() logservice.Bounds {
	return logservice.Bounds{First: max(0, l.next-l.maxRecords), Next: l.next}
}

// recoverable reports whether a daemon without state can restore it from the log.
func (l *truncatedLog) recoverable() bool {
	first := l.bounds().First
	if first == 0 {
		return true
	}
	for offset, base := range l.bases {
		if offset >= first && base+1 >= first {
			return true
		}
	}
	return false
}

// TestStateStaysRecoverableUnderRetention checks that the state can always be restored from a
// log that keeps a limited number of records, if at most a quarter of that number is appended
// between two checks whether a state record is due.
func TestStateStaysRecoverableUnderRetention(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		log := &truncatedLog{maxRecords: rapid.Int64Range(8, 200).Draw(t, "maxRecords"), bases: map[int64]int64{}}
		limits := configsync.StateRecordLimits{MaxInterval: 1 << 62, MaxRecords: 1 << 40}
		base, offset := int64(-1), int64(-1)
		records := int64(0)
		for range rapid.IntRange(1, 200).Draw(t, "checks") {
			tickets := rapid.Int64Range(0, log.maxRecords/4).Draw(t, "tickets")
			for range tickets {
				log.next++
				require.True(t, log.recoverable(), "at %+v", log.bounds())
			}
			input := configsync.StateRecordInput{Bounds: log.bounds(), Applied: log.next - 1, Base: base, Offset: offset, SeenAt: epoch}
			if configsync.StateRecordDue(epoch, input, limits) {
				base, offset = log.next-1, log.next
				log.bases[offset] = base
				log.next++
				records++
			}
		}
		// One for each doubling until the log is full, then four for each time that all its
		// records are replaced.
		require.LessOrEqual(t, records, 4*log.next/log.maxRecords+8)
	})
}

func TestStateRecordDue(t *testing.T) {
	limits := configsync.StateRecordLimits{MaxInterval: time.Hour, MaxRecords: 200}
	input := func(change func(f *configsync.StateRecordInput)) configsync.StateRecordInput {
		f := configsync.StateRecordInput{Bounds: logservice.Bounds{Next: 100}, Applied: 99, Base: 90, Offset: 91, SeenAt: epoch}
		change(&f)
		return f
	}
	tests := map[string]struct {
		input configsync.StateRecordInput
		due   bool
	}{
		"fresh":          {input(func(*configsync.StateRecordInput) {}), false},
		"old":            {input(func(f *configsync.StateRecordInput) { f.SeenAt = epoch.Add(-time.Hour) }), true},
		"many records":   {input(func(f *configsync.StateRecordInput) { f.Bounds.Next, f.Applied = 292, 291 }), true},
		"not up to date": {input(func(f *configsync.StateRecordInput) { f.Applied, f.SeenAt = 98, time.Time{} }), false},
		"no state":       {input(func(f *configsync.StateRecordInput) { f.Applied, f.Bounds.Next = -1, 0 }), false},
		"record deleted": {input(func(f *configsync.StateRecordInput) { f.Bounds.First = 92 }), true},
		"half deleted":   {input(func(f *configsync.StateRecordInput) { f.Bounds.First = 90 }), true},
	}
	for name, test := range tests {
		require.Equal(t, test.due, configsync.StateRecordDue(epoch, test.input, limits), name)
	}
}

func TestRecordCache(t *testing.T) {
	var r configsync.RecordCache
	_, ok := r.From(0, 100)
	require.False(t, ok)
	for offset := range int64(600) {
		r.Add(logservice.Record{Offset: offset, Value: make([]byte, 10)})
	}
	_, ok = r.From(600-513, 100)
	require.False(t, ok)
	records, ok := r.From(590, 35)
	require.True(t, ok)
	require.Len(t, records, 3)
	require.EqualValues(t, 590, records[0].Offset)
	_, ok = r.From(600, 100)
	require.False(t, ok)
	r.Add(logservice.Record{Offset: 700})
	_, ok = r.From(599, 100)
	require.False(t, ok, "a gap clears the cache")
}

func TestDigestHistory(t *testing.T) {
	d := configsync.NewDigestHistory()
	for offset := range int64(1100) {
		d.Add(offset, fmt.Sprintf("%064d", offset))
	}
	require.False(t, d.Differs(0, "x"), "dropped from the history")
	require.False(t, d.Differs(1099, fmt.Sprintf("%064d", 1099)))
	require.False(t, d.Differs(1099, "0000"))
	require.True(t, d.Differs(1099, "1"))
}
