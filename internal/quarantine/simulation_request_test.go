package quarantine

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// recurringRequests is the ID under which sound requests that come again and again are counted together, oneTimeRequests
// that of all others.
const (
	recurringRequests = 1
	oneTimeRequests   = 2
)

// countedAs returns the subject under which a sound request is counted.
func (r *simulatedRequest) countedAs() Subject {
	switch {
	case r.subjects[0].Kind == PromptPart:
		return r.subjects[0]
	case r.recurs:
		return Subject{WholeRequest, recurringRequests}
	default:
		return Subject{WholeRequest, oneTimeRequests}
	}
}

// newPlainSimulation schedules requests of a plain service with few servers, and faults, that are drawn from the seed. Some
// requests come again and again; up to the given number of these end each server that runs them.
func newPlainSimulation(seed uint64, crashing int) *fleetSimulation {
	f := newDaemons(seed, WholeRequest)
	f.restartTime = time.Duration(500+f.rng.IntN(3500)) * time.Millisecond
	for range 3 + f.rng.IntN(4) {
		f.servers = append(f.servers, f.newServer())
	}
	nextID := uint64(1000)
	newRequest := func() simulatedRequest {
		nextID++
		return simulatedRequest{subjects: []Subject{{WholeRequest, nextID}}, retries: f.rng.IntN(3)}
	}
	arrive := func(r simulatedRequest, now time.Time) {
		r.daemon = f.rng.IntN(simulatedDaemons)
		f.send(&r, now)
	}
	poisson := func(rate float64, from time.Time, next func(now time.Time)) {
		interval := time.Duration(float64(time.Second) / rate)
		for t := from.Add(f.duration(interval)); t.Before(f.start.Add(simulatedLength)); t = t.Add(f.duration(interval)) {
			f.at(t, next)
		}
	}
	poisson(10+40*f.rng.Float64(), f.start, func(now time.Time) { arrive(newRequest(), now) })
	for range f.rng.IntN(12) {
		r := newRequest()
		r.recurs = true
		poisson(0.2+4*f.rng.Float64(), f.start, func(now time.Time) { arrive(r, now) })
	}
	for range min(crashing, 1+f.rng.IntN(3)) {
		r := newRequest()
		r.crashing = &r.subjects[0]
		poisson(0.2+5*f.rng.Float64(), f.start.Add(f.duration(5*time.Second)), func(now time.Time) { arrive(r, now) })
	}
	f.scheduleFaults()
	return f
}

func TestCrashingRequestsAreHeldBackAndOthersAreNot(t *testing.T) {
	worstLate, ended, recurring, once := 0, 0, soundCount{}, soundCount{}
	for seed := range seeds(t) {
		f := newPlainSimulation(seed, 3)
		f.run()
		worstLate = max(worstLate, f.sentLate())
		ended += f.ended()
		assert.LessOrEqual(t, f.sentLate(), maxSent, "seed %d, %d servers ended", seed, f.ended())
		for subject, count := range f.sound {
			sum := &once
			if subject.ID == recurringRequests {
				sum = &recurring
			}
			sum.sent += count.sent
			sum.held += count.held
		}
	}
	t.Logf("%d seeds: %.1f servers ended per seed, at most %d requests late, held %d of %d recurring and %d of %d other sound requests",
		seeds(t), float64(ended)/float64(seeds(t)), worstLate, recurring.held, recurring.sent, once.held, once.sent)
	assert.LessOrEqual(t, recurring.held*100, recurring.sent)
	assert.LessOrEqual(t, once.held*100, once.sent)
}

func TestRequestsAreNotHeldForFaultsOfServersAndConnections(t *testing.T) {
	sent, held := 0, 0
	for seed := range seeds(t) {
		f := newPlainSimulation(seed, 0)
		f.run()
		for _, count := range f.sound {
			sent += count.sent
			held += count.held
		}
	}
	t.Logf("%d seeds: %d of %d requests held", seeds(t), held, sent)
	assert.LessOrEqual(t, held*1000, sent)
}
