package gateway

import (
	"fmt"
	"log/slog"
	"math/rand/v2"
	"os"
	"slices"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/filbertrill/filbertrill/internal/exchange/pb"
	"github.com/filbertrill/filbertrill/internal/forward"
	"github.com/filbertrill/filbertrill/internal/origin"
	"github.com/filbertrill/filbertrill/internal/routing"
)

const (
	originDaemons  = 7
	originStreams  = 400 // of each seed
	maxOriginDelay = 10 * time.Millisecond
	// minGoOnShare is the least share of the streams that go on after their daemon was killed.
	minGoOnShare = 0.5
)

// originFleet runs the stream origins of daemons that lose datagrams and are killed.
type originFleet struct {
	mu      sync.Mutex
	rng     *rand.Rand // of deliver, under mu: repeats come from timers
	loss    float64
	servers []routing.Server
	saved   []origin.Use
	daemons map[string]*streamOrigins // by control address
	alive   map[string]bool
}

func (f *originFleet) start(address string) *streamOrigins {
	o := newStreamOrigins(originOptions{
		members:  func() []*pb.Member { return f.membersWithout(address) },
		listAsOf: func(now time.Time) time.Time { return now },
		send:     func(m *pb.Origins, to ...string) { f.deliver(address, m, to) },
		logger:   slog.New(slog.DiscardHandler),
	})
	o.setServers(f.servers, nil, time.Now())
	o.mergeVersions(f.saved, true, time.Now())
	f.mu.Lock()
	defer f.mu.Unlock()
	f.daemons[address], f.alive[address] = o, true
	return o
}

func (f *originFleet) membersWithout(address string) []*pb.Member {
	f.mu.Lock()
	defer f.mu.Unlock()
	var members []*pb.Member
	for i := range originDaemons {
		if other := fmt.Sprint("d", i); other != address {
			members = append(members, &pb.Member{Id: other, ControlAddress: other}) // killed ones too, until that is noticed
		}
	}
	return members
}

func (f *originFleet) deliver(from string, m *pb.Origins, to []string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	m.From = from
	for _, address := range to {
		if f.rng.Float64() < f.loss {
			continue
		}
		time.AfterFunc(time.Duration(f.rng.Int64N(int64(maxOriginDelay))), func() {
			f.mu.Lock()
			o, alive := f.daemons[address], f.alive[address]
			f.mu.Unlock()
			if alive {
				o.handle(m)
			}
		})
	}
}

// takeUp returns a request that continues the stream of the attempt, on a route to the service s.
func takeUp(attempt string) forward.TakeUp {
	return forward.TakeUp{
		Host: "h", Path: "/p", Attempt: attempt,
		Route: &routing.Route{Kind: routing.Stream, Resumable: true, Host: "h", Prefix: "/", Targets: []routing.Target{{Service: "s", Weight: 1}}},
	}
}

// originSeeds returns the seeds of TestOriginsAreKnownAfterTheirDaemonIsKilled: ORIGIN_SEEDS of them, or 10.
func originSeeds(t *testing.T) uint64 {
	text := os.Getenv("ORIGIN_SEEDS")
	if text == "" {
		return 10
	}
	n, err := strconv.ParseUint(text, 10, 64)
	require.NoError(t, err)
	return n
}

// simulateOrigins begins streams at daemons, some before versions are mixed, kills up to six daemons, of which some start
// again, and takes all streams up elsewhere. It returns how many streams would go on at a wrong version, and how many are refused.
func simulateOrigins(t *testing.T, seed uint64) (wrong, refused int) {
	rng := rand.New(rand.NewPCG(seed, 1))
	f := &originFleet{
		rng: rand.New(rand.NewPCG(seed, 2)), loss: 0.2 * rng.Float64(), servers: []routing.Server{{ID: "a", Service: "s", Version: "v1"}},
		daemons: map[string]*streamOrigins{}, alive: map[string]bool{},
	}
	for i := range originDaemons {
		f.start(fmt.Sprint("d", i))
	}
	type begun struct{ daemon, attempt, version string }
	var streams []begun
	mixedAt := rng.IntN(originStreams / 2)
	for i := range originStreams {
		version := "v1"
		if i == mixedAt { // daemons learn of the new version one after the other
			f.servers = append(f.servers, routing.Server{ID: "b", Service: "s", Version: "v2"})
			now := time.Now()
			f.saved = []origin.Use{{Service: "s", Version: "v1", FirstSeen: now, LastSeen: now, Saved: true}, {Service: "s", Version: "v2", FirstSeen: now, LastSeen: now, Saved: true}}
			for _, o := range f.daemons {
				o.setServers(f.servers, nil, now)
			}
		}
		if i >= mixedAt && rng.IntN(2) == 0 {
			version = "v2"
		}
		s := begun{fmt.Sprint("d", rng.IntN(originDaemons)), fmt.Sprint("attempt", seed, "-", i), version}
		f.daemons[s.daemon].Record("s", s.attempt, version)
		streams = append(streams, s)
	}
	time.Sleep(originRepeatDelay + 2*maxOriginDelay)
	f.mu.Lock()
	killed := rng.Perm(originDaemons)[:1+rng.IntN(originDaemons-1)]
	for _, i := range killed {
		f.alive[fmt.Sprint("d", i)] = false
	}
	f.mu.Unlock()
	if rng.IntN(2) == 0 { // they start again at once, except for the first one
		for _, i := range killed[1:] {
			f.start(fmt.Sprint("d", i))
		}
	}
	var mu sync.Mutex
	var callers sync.WaitGroup
	for i, s := range streams {
		taker := fmt.Sprint("d", (killed[0]+1+i)%originDaemons)
		if !f.alive[taker] || slices.Contains(killed, (killed[0]+1+i)%originDaemons) {
			continue
		}
		callers.Go(func() {
			_, version, basis := f.daemons[taker].Find(t.Context(), takeUp(s.attempt))
			mu.Lock()
			defer mu.Unlock()
			switch {
			case basis == forward.OriginUnknown:
				refused++
			case version != s.version:
				wrong++
			}
		})
	}
	callers.Wait()
	return wrong, refused
}

func TestOriginsAreKnownAfterTheirDaemonIsKilled(t *testing.T) {
	worst, refusedSum := 0, 0
	for seed := range originSeeds(t) {
		wrong, refused := simulateOrigins(t, seed)
		worst, refusedSum = max(worst, wrong), refusedSum+refused
		assert.Zero(t, wrong, "seed %d", seed)
		assert.LessOrEqual(t, float64(refused), (1-minGoOnShare)*originStreams, "seed %d", seed)
	}
	t.Logf("%d seeds of %d streams: at most %d at a wrong version, %d refused in all", originSeeds(t), originStreams, worst, refusedSum)
}

// newLonelyOrigins returns the origins of a daemon without peers. listAge is the age of its list of servers, negative for none.
func newLonelyOrigins(listAge *time.Duration) *streamOrigins {
	return newStreamOrigins(originOptions{
		members: func() []*pb.Member { return nil },
		listAsOf: func(now time.Time) time.Time {
			if *listAge < 0 {
				return time.Time{}
			}
			return now.Add(-*listAge)
		},
		send:   func(*pb.Origins, ...string) {},
		logger: slog.New(slog.DiscardHandler),
	})
}

// Guards against a daemon that has just started and takes the version of the first server that it learns of for that of all
// streams: servers are passed on one by one.
func TestStartedDaemonDoesNotGuessTheVersionOfStreams(t *testing.T) {
	one := routing.Server{ID: "a", Service: "s", Version: "v1"}
	both := []routing.Server{one, {ID: "b", Service: "s", Version: "v2"}}
	listAge := time.Duration(-1)
	o := newLonelyOrigins(&listAge)
	o.setServers(both[:1], nil, time.Now())
	_, _, basis := o.Find(t.Context(), takeUp("attempt"))
	assert.Equal(t, forward.OriginUnknown, basis, "not all servers are known")
	o.mergeVersions(nil, true, time.Now())
	_, _, basis = o.Find(t.Context(), takeUp("attempt"))
	assert.Equal(t, forward.OriginUnknown, basis, "not all servers are known, though what is saved is")
	o.setServers(both, nil, time.Now())
	listAge = 0
	o.mergeVersions(nil, true, time.Now())
	_, _, basis = o.Find(t.Context(), takeUp("attempt"))
	assert.Equal(t, forward.OriginUnknown, basis, "versions are mixed")

	o = newLonelyOrigins(&listAge)
	o.setServers(both[:1], nil, time.Now())
	_, _, basis = o.Find(t.Context(), takeUp("attempt"))
	assert.Equal(t, forward.OriginUnknown, basis, "what is saved is not known")
	o.mergeVersions(nil, true, time.Now())
	_, version, basis := o.Find(t.Context(), takeUp("attempt"))
	assert.Equal(t, forward.OriginConcluded, basis, "the list is complete with one version, and no other is saved")
	assert.Equal(t, "v1", version)
	o.setServers(both, nil, time.Now())
	_, _, basis = o.Find(t.Context(), takeUp("attempt"))
	assert.Equal(t, forward.OriginUnknown, basis, "nobody knows the stream, which says nothing")
	_, _, basis = o.Find(t.Context(), takeUp(""))
	assert.Equal(t, forward.OriginUnknown, basis, "the caller names no stream")
}

// Guards against a conclusion from an answer that was given long before it is read, by a daemon that stood still.
func TestLateAnswerDoesNotMakeVersionsComplete(t *testing.T) {
	listAge := time.Duration(0)
	o := newLonelyOrigins(&listAge)
	o.options.members = func() []*pb.Member { return []*pb.Member{{Id: "p", ControlAddress: "p"}} }
	o.setServers([]routing.Server{{ID: "a", Service: "s", Version: "v1"}}, nil, time.Now())
	answer := func() *pb.Origins {
		return &pb.Origins{From: "p", AnswersVersions: o.versionQuery, VersionsComplete: true}
	}
	o.askVersions()
	o.askedAt = time.Now().Add(-maxVersionsAge - time.Millisecond)
	o.handle(answer())
	_, ok := o.only(takeUp(""))
	assert.False(t, ok)
	o.askVersions()
	o.handle(answer())
	_, ok = o.only(takeUp(""))
	assert.True(t, ok)
}

func TestReplicasAreInDifferentZones(t *testing.T) {
	var members []*pb.Member
	zones := make(map[string]string)
	for i := range 12 {
		m := &pb.Member{Id: fmt.Sprint("d", i), ControlAddress: fmt.Sprint("d", i), Zone: fmt.Sprint("z", min(1, i/8))}
		members, zones[m.ControlAddress] = append(members, m), m.Zone
	}
	for id := range uint64(200) {
		found := make(map[string]bool)
		for _, address := range rankMembers(members, id, originReplicas) {
			found[zones[address]] = true
		}
		assert.Len(t, found, 2, "stream %d", id)
	}
}
