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
	"github.com/filbertrill/filbertrill/internal/routing"
)

const (
	originDaemons    = 7
	originStreams    = 400 // of each seed
	maxOriginDelay   = 10 * time.Millisecond
	maxWrongVersions = 2
	// minGoOnShare is the least share of the streams that go on after their daemon was killed.
	minGoOnShare = 0.5
)

// originFleet runs the stream origins of daemons that lose datagrams and are killed.
type originFleet struct {
	mu      sync.Mutex
	rng     *rand.Rand // of deliver, under mu: repeats come from timers
	loss    float64
	servers []routing.Server
	daemons map[string]*streamOrigins // by control address
	alive   map[string]bool
}

func (f *originFleet) start(address string) *streamOrigins {
	o := newStreamOrigins(func() []*pb.Member { return f.membersWithout(address) }, func() bool { return true }, func(m *pb.Origins, to ...string) { f.deliver(address, m, to) }, slog.New(slog.DiscardHandler))
	o.setServers(f.servers, time.Now())
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
			for _, o := range f.daemons {
				o.setServers(f.servers, time.Now())
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
	if rng.IntN(2) == 0 { // they start again at once, except for the first one
		for _, i := range killed[1:] {
			f.start(fmt.Sprint("d", i))
		}
	}
	f.mu.Unlock()
	var mu sync.Mutex
	var callers sync.WaitGroup
	for i, s := range streams {
		taker := fmt.Sprint("d", (killed[0]+1+i)%originDaemons)
		if !f.alive[taker] || slices.Contains(killed, (killed[0]+1+i)%originDaemons) {
			continue
		}
		callers.Go(func() {
			version, basis := f.daemons[taker].Find(t.Context(), "s", s.attempt)
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
		assert.LessOrEqual(t, wrong, maxWrongVersions, "seed %d", seed)
		assert.LessOrEqual(t, float64(refused), (1-minGoOnShare)*originStreams, "seed %d", seed)
	}
	t.Logf("%d seeds of %d streams: at most %d at a wrong version, %d refused in all", originSeeds(t), originStreams, worst, refusedSum)
}

// Guards against a daemon that has just started and takes the version of the first server that it learns of for that of all
// streams: servers are passed on one by one.
func TestStartedDaemonDoesNotGuessTheVersionOfStreams(t *testing.T) {
	one := routing.Server{ID: "a", Service: "s", Version: "v1"}
	both := []routing.Server{one, {ID: "b", Service: "s", Version: "v2"}}
	listed := false
	started := func() *streamOrigins {
		listed = false
		return newStreamOrigins(func() []*pb.Member { return nil }, func() bool { return listed }, func(*pb.Origins, ...string) {}, slog.New(slog.DiscardHandler))
	}
	o := started()
	o.setServers(both[:1], time.Now())
	_, basis := o.Find(t.Context(), "s", "attempt")
	assert.Equal(t, forward.OriginUnknown, basis, "not all servers are known")
	o.setServers(both, time.Now())
	listed = true
	_, basis = o.Find(t.Context(), "s", "attempt")
	assert.Equal(t, forward.OriginUnknown, basis, "versions are mixed")

	o = started()
	o.setServers(both[:1], time.Now())
	listed = true
	o.setServers(both, time.Now())
	version, basis := o.Find(t.Context(), "s", "attempt")
	assert.Equal(t, forward.OriginConcluded, basis, "the list was complete with one version")
	assert.Equal(t, "v1", version)
}
