package quarantine

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

var testStart = time.Unix(1000, 0)

// endUnder records the ends of the servers under requests with the parts, 100 ms apart, and returns the time after them.
func endUnder(r *Registry, begun bool, now time.Time, servers []uint64, parts ...uint64) time.Time {
	for _, server := range servers {
		now = now.Add(100 * time.Millisecond)
		r.RecordEnd(Parts(parts), End{Server: server, At: now, Begun: begun}, now)
	}
	return now
}

// isHeld reports whether a request with the parts is held, unless it is sent as a trial.
func isHeld(r *Registry, now time.Time, parts ...uint64) bool {
	_, held := r.Held(Parts(parts))
	return held && !r.StartTrial(Parts(parts), now)
}

func neverTry(uint64, int) bool { return false }

func TestBegunAnswersAreStrongerEvidence(t *testing.T) {
	for begun, needed := range map[bool]int{true: 3, false: 5} {
		r := New(neverTry)
		servers := []uint64{1, 2, 3, 4, 5}
		now := endUnder(r, begun, testStart, servers[:needed-1], 7)
		assert.False(t, isHeld(r, now, 7), "begun %v", begun)
		now = endUnder(r, begun, now, servers[needed-2:needed-1], 7)
		assert.False(t, isHeld(r, now, 7), "one server counts once")
		now = endUnder(r, begun, now, servers[needed-1:needed], 7)
		assert.True(t, isHeld(r, now, 7), "begun %v", begun)
	}
}

func TestPartsThatAreSuspectedTogetherAreHeldTogether(t *testing.T) {
	r := New(neverTry)
	now := endUnder(r, true, testStart, []uint64{1, 2, 3}, 7, 8)
	assert.True(t, isHeld(r, now, 7, 8))
	assert.False(t, isHeld(r, now, 7, 9), "8 explains the evidence against 7")
	now = now.Add(time.Second)
	r.RecordSound(Parts([]uint64{7, 9}), now)
	assert.False(t, isHeld(r, now, 7))
	assert.True(t, isHeld(r, now, 8, 9), "7 is sound, so 8 is the cause")
}

func TestAnswerOfReportedServerDisprovesItsEnd(t *testing.T) {
	r := New(neverTry)
	now := endUnder(r, true, testStart, []uint64{1, 2, 3}, 7)
	r.RecordAlive(2, testStart, now.Add(aliveMargin/2))
	assert.True(t, isHeld(r, now, 7), "the answer may have been on its way")
	r.RecordAlive(2, testStart.Add(time.Minute), now.Add(time.Minute))
	assert.True(t, isHeld(r, now, 7), "the request was sent after the end")
	r.RecordAlive(2, testStart, now.Add(time.Second))
	assert.False(t, isHeld(r, now, 7))
}

func TestSuspectedPartIsTriedAtGrowingIntervals(t *testing.T) {
	r := New(func(uint64, int) bool { return true })
	now := endUnder(r, true, testStart, []uint64{1, 2, 3}, 7)
	trials := 0
	for ; now.Before(testStart.Add(15 * time.Minute)); now = now.Add(100 * time.Millisecond) {
		if !isHeld(r, now, 7) {
			trials++
			now = endUnder(r, true, now, []uint64{uint64(100 + trials)}, 7)
		}
	}
	assert.Equal(t, 2, trials, "the part is held although requests with it still come")
}

func TestEndsOfSoundPartsAreNotReported(t *testing.T) {
	r := New(neverTry)
	r.RecordSound(Parts([]uint64{7}), testStart)
	now := endUnder(r, true, testStart, []uint64{1, 2, 3}, 7, 8)
	reports := r.Reports(now)
	assert.Len(t, reports, 1)
	assert.EqualValues(t, 8, reports[0].ID)
	assert.True(t, isHeld(r, now, 7, 8))
}

func TestReportsCarryEvidenceAndItsEnd(t *testing.T) {
	a, b := New(neverTry), New(neverTry)
	now := endUnder(a, true, testStart, []uint64{1, 2}, 7)
	now = endUnder(b, true, now, []uint64{3}, 7)
	b.Merge(a.Reports(now), now)
	assert.True(t, isHeld(b, now, 7), "the evidence of both daemons")
	late := New(neverTry)
	now = now.Add(time.Minute)
	late.Merge(b.Reports(now), now)
	assert.True(t, isHeld(late, now, 7), "a daemon that starts later learns of it")
	assert.True(t, late.Lift(7, now))
	b.Merge(late.Reports(now), now)
	assert.False(t, isHeld(b, now, 7), "lifted in the fleet")
	late.Merge(a.Reports(now), now)
	assert.False(t, isHeld(late, now, 7), "evidence from before the lift doesn't count")
}

func TestEvidenceIsBoundedAndExpires(t *testing.T) {
	r := New(neverTry)
	now := endUnder(r, true, testStart, []uint64{1, 2, 3}, 7)
	maxParts := rules[PromptPart].maxSubjects
	for part := range uint64(2 * maxParts) {
		endUnder(r, true, now, []uint64{4}, 1000+part)
	}
	assert.LessOrEqual(t, len(r.evidence), maxParts)
	assert.True(t, isHeld(r, now, 7), "suspected parts are kept longer")
	servers := make([]uint64, 3*maxEnds)
	for i := range servers {
		servers[i] = uint64(100 + i)
	}
	now = endUnder(r, true, now, servers, 7)
	assert.LessOrEqual(t, len(r.evidence[Subject{PromptPart, 7}].ends), maxEnds)
	assert.Empty(t, r.List(now.Add(2*evidenceTTL)))
	assert.Empty(t, r.evidence)
}
