package topology

import (
	"context"
	"fmt"
	"log/slog"
	"math"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/assert"

	"github.com/filbertrill/filbertrill/internal/routing"
)

// simulatedStore is a store in virtual time. While it is down, calls fail at once or hang.
type simulatedStore struct {
	recoveringStore
	hangs   bool
	reaches func(daemon int) bool // nil for all
	calls   atomic.Int64
}

// simulatedCalls are the calls of one daemon.
type simulatedCalls struct {
	*simulatedStore
	daemon int
}

func (c simulatedCalls) begin(ctx context.Context) error {
	c.calls.Add(1)
	time.Sleep(4 * time.Millisecond)
	c.mu.Lock()
	down := c.down || c.reaches != nil && !c.reaches(c.daemon)
	c.mu.Unlock()
	if down && c.hangs {
		<-ctx.Done()
		return ctx.Err()
	}
	if down {
		return errors.New("store is down")
	}
	return nil
}

func (c simulatedCalls) Newest(ctx context.Context, t Topic) ([]Record, int64, error) {
	if err := c.begin(ctx); err != nil {
		return nil, 0, err
	}
	return c.recoveringStore.Newest(ctx, t)
}

func (c simulatedCalls) Read(ctx context.Context, t Topic, from int64, wait time.Duration) ([]Record, int64, error) {
	if err := c.begin(ctx); err != nil {
		return nil, 0, err
	}
	records, end, err := c.recoveringStore.Read(ctx, t, from, wait)
	if t == Configs && err == nil {
		time.Sleep(wait)
	}
	return records, end, err
}

// simulatedFleet are daemons in zones that send each other their views.
type simulatedFleet struct {
	store   *simulatedStore
	zones   int
	loss    float64 // of datagrams
	random  *rand.Rand
	mu      sync.Mutex // of random
	readers []*Reader
	states  []*State
}

const (
	// simulatedDelay is the time that a datagram takes, and simulatedViewInterval that between two views of a daemon.
	simulatedDelay        = 5 * time.Millisecond
	simulatedViewInterval = 400 * time.Millisecond
)

func newSimulatedFleet(daemons int, seed uint64) *simulatedFleet {
	store := &simulatedStore{}
	for _, id := range []string{"stays", "lapses", "leaves"} {
		store.write(id, 1)
	}
	return &simulatedFleet{store: store, zones: min(3, daemons), loss: 0.02, random: rand.New(rand.NewPCG(seed, uint64(daemons)))}
}

func (f *simulatedFleet) chance() float64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.random.Float64()
}

func (f *simulatedFleet) run(ctx context.Context, daemons int) *sync.WaitGroup {
	running := &sync.WaitGroup{}
	for i := range daemons {
		state := NewState(func() {})
		reads := func(countLost bool) bool {
			for lower := i % f.zones; lower < i; lower += f.zones {
				if !countLost || !f.readers[lower].StoreUnreachable(time.Now()) {
					return false
				}
			}
			return true
		}
		f.states = append(f.states, state)
		f.readers = append(f.readers, NewReader(ReaderOptions{
			Store: simulatedCalls{f.store, i}, State: state,
			ReadsStore: func() bool { return reads(true) }, ReadsFirst: func() bool { return reads(false) },
			ReaderCount: func() int { return daemons / f.zones }, ReaderRank: func() int { return i / f.zones },
			StateInterval: func() time.Duration { return usualStateInterval },
			OnReturn: func(at time.Time) {
				f.tell(func(to int) { f.readers[to].HearReturn(at, time.Now()) })
			},
			OnGone: func(gone []Withdrawal) {
				f.tell(func(to int) {
					for _, w := range gone {
						f.states[to].Withdraw(w)
					}
				})
			},
			Logger: slog.New(slog.DiscardHandler),
		}))
	}
	for i := range daemons {
		running.Go(func() { f.readers[i].follow(ctx, Configs) })
		running.Go(func() { f.readers[i].follow(ctx, Servers) })
		running.Go(func() { f.sendViews(ctx, i) })
	}
	return running
}

// tell sends a datagram to all daemons twice.
func (f *simulatedFleet) tell(apply func(to int)) {
	for copies := range 2 {
		for to := range f.readers {
			if f.chance() >= f.loss {
				time.AfterFunc(simulatedDelay+time.Duration(copies)*100*time.Millisecond, func() { apply(to) })
			}
		}
	}
}

// sendViews sends the views of a daemon to its zone.
func (f *simulatedFleet) sendViews(ctx context.Context, from int) {
	time.Sleep(time.Duration(f.chance() * float64(simulatedViewInterval)))
	for ctx.Err() == nil {
		now := time.Now()
		known, returned, gone := f.readers[from].Freshness(now), f.readers[from].Returned(), f.states[from].Withdrawals(now)
		for to := from % f.zones; to < len(f.readers); to += f.zones {
			if to == from || f.chance() < f.loss {
				continue
			}
			if !returned.IsZero() {
				f.readers[to].HearReturn(returned, now)
			}
			for _, w := range gone {
				f.states[to].Withdraw(w)
			}
			f.readers[to].Confirm(Configs, now.Add(-known.ConfigAge))
			if f.states[to].Digest() == known.ServerDigest {
				f.readers[to].Confirm(Servers, now.Add(-known.ServerAge))
			} else if f.readers[to].Newer(Servers, now.Add(-known.ServerAge)) {
				f.readers[to].ApplyServerList(f.states[from].Records(now), nil, false, now.Add(-known.ServerAge), now)
			}
		}
		time.Sleep(simulatedViewInterval)
	}
}

// holds returns the number of daemons that send requests to the server.
func (f *simulatedFleet) holds(id string) (n int) {
	for _, state := range f.states {
		for _, server := range state.Servers() {
			if server.ID == id && server.State == routing.Ready {
				n++
			}
		}
	}
	return n
}

// Guards against waits behind an outage of the store that grow with the fleet.
func TestServerThatLeftBeforeAnOutageIsOutOfUseInTimeInFleetsOfAnySize(t *testing.T) {
	// contactWindow is ContactWindowMs of the platform, reregistration the time after which expired entries are back.
	const contactWindow, reregistration = 3 * time.Second, 2 * time.Second
	for _, daemons := range []int{1, 9, 30, 100, 195} {
		for _, outage := range []time.Duration{2500 * time.Millisecond, 3500 * time.Millisecond, 7 * time.Second, 20 * time.Second} {
			for _, hangs := range []bool{false, true} {
				t.Run(fmt.Sprintf("%d daemons, %v, hangs %v", daemons, outage, hangs), func(t *testing.T) {
					var latest time.Duration
					var calls int64
					for seed := range uint64(3) {
						synctest.Test(t, func(t *testing.T) {
							late, made := simulateOutage(t, daemons, outage, reregistration, hangs, seed)
							latest, calls = max(latest, late), max(calls, made)
						})
					}
					t.Logf("out of use after %v, %d calls in the outage", latest, calls)
					assert.LessOrEqual(t, latest, contactWindow)
					assert.LessOrEqual(t, float64(calls), maxOutageCalls(daemons, outage))
				})
			}
		}
	}
}

// maxOutageCalls returns how many calls a fleet of three zones may make in an outage: the first ones of both topics at each daemon,
// and then one in each longest interval that has begun.
func maxOutageCalls(daemons int, outage time.Duration) float64 {
	first := 2 * (fastRetries + 1) * daemons
	shortest := maxBackoffFor(daemons/min(3, daemons)).Seconds() * (1 - backoffJitter)
	return float64(first) + 2*float64(daemons)*math.Ceil(outage.Seconds()/shortest)
}

// simulateOutage returns the time from the end of an outage until no daemon uses a server that had left before, and the
// number of calls in the outage.
func simulateOutage(t *testing.T, daemons int, outage, reregistration time.Duration, hangs bool, seed uint64) (late time.Duration, calls int64) {
	fleet := newSimulatedFleet(daemons, seed)
	store := fleet.store
	store.hangs = hangs
	ctx, cancel := context.WithCancel(t.Context())
	running := fleet.run(ctx, daemons)
	time.Sleep(3*time.Second + time.Duration(fleet.chance()*float64(time.Second)))
	assert.Equal(t, daemons, fleet.holds("leaves"))
	store.write("leaves", 0)
	store.setDown(true)
	before := store.calls.Load()
	time.Sleep(outage)
	calls = store.calls.Load() - before
	store.write("lapses", 0)
	store.setDown(false)
	end := time.Now()
	for time.Since(end) < 5*time.Second {
		if fleet.holds("leaves") > 0 {
			late = time.Since(end)
		}
		if at := time.Since(end); at >= reregistration && at < reregistration+10*time.Millisecond {
			store.write("lapses", 2)
		}
		if !assert.Equal(t, daemons, fleet.holds("lapses"), "seed %d, %v behind the end of the outage", seed, time.Since(end)) {
			break
		}
		time.Sleep(10 * time.Millisecond)
	}
	cancel()
	running.Wait()
	time.Sleep(time.Second) // for datagrams
	return late, calls
}

// Guards against a grace period of a single daemon that was cut off from the store, while its peers have read it all the time.
func TestDaemonThatWasCutOffFromTheStoreDelaysNoRemoval(t *testing.T) {
	const drainTimeout = 2 * time.Second // DrainTimeoutMs of the platform
	for _, cutOff := range []int{0, 1, 4, 8} {
		for seed := range uint64(5) {
			synctest.Test(t, func(t *testing.T) {
				fleet := newSimulatedFleet(9, seed)
				ctx, cancel := context.WithCancel(t.Context())
				running := fleet.run(ctx, 9)
				time.Sleep(4 * time.Second)
				reach := func(reaches func(int) bool) {
					fleet.store.mu.Lock()
					defer fleet.store.mu.Unlock()
					fleet.store.reaches = reaches
				}
				reach(func(daemon int) bool { return daemon != cutOff })
				time.Sleep(4*time.Second + time.Duration(fleet.chance()*float64(time.Second)))
				reach(nil)
				fleet.store.write("leaves", 0)
				time.Sleep(drainTimeout)
				assert.Zero(t, fleet.holds("leaves"), "daemon %d was cut off, seed %d", cutOff, seed)
				cancel()
				running.Wait()
				time.Sleep(time.Second) // for datagrams
			})
		}
	}
}

// Guards against a grace period that a single daemon prolongs, as it was cut off from the store behind an outage.
func TestDaemonThatIsCutOffBehindAnOutageDelaysNoRemoval(t *testing.T) {
	const contactWindow = 3 * time.Second
	for _, cutOff := range []int{0, 1, 4, 8} {
		for seed := range uint64(5) {
			synctest.Test(t, func(t *testing.T) {
				fleet := newSimulatedFleet(9, seed)
				ctx, cancel := context.WithCancel(t.Context())
				running := fleet.run(ctx, 9)
				time.Sleep(4 * time.Second)
				fleet.store.write("leaves", 0)
				fleet.store.setDown(true)
				time.Sleep(3500 * time.Millisecond)
				fleet.store.setDown(false)
				end := time.Now()
				time.Sleep(500 * time.Millisecond)
				reach := func(reaches func(int) bool) {
					fleet.store.mu.Lock()
					defer fleet.store.mu.Unlock()
					fleet.store.reaches = reaches
				}
				reach(func(daemon int) bool { return daemon != cutOff })
				time.Sleep(800*time.Millisecond + time.Duration(fleet.chance()*float64(time.Second)))
				reach(nil)
				time.Sleep(time.Until(end.Add(contactWindow)))
				assert.Zero(t, fleet.holds("leaves"), "daemon %d was cut off, seed %d", cutOff, seed)
				cancel()
				running.Wait()
				time.Sleep(time.Second) // for datagrams
			})
		}
	}
}

// Guards against a grace period that counts from the first of two outages.
func TestServersStayBehindTheSecondOfTwoOutages(t *testing.T) {
	for _, daemons := range []int{1, 9, 30} {
		for seed := range uint64(5) {
			synctest.Test(t, func(t *testing.T) {
				fleet := newSimulatedFleet(daemons, seed)
				ctx, cancel := context.WithCancel(t.Context())
				running := fleet.run(ctx, daemons)
				time.Sleep(4 * time.Second)
				fleet.store.write("leaves", 0)
				for _, pause := range []time.Duration{time.Duration(fleet.chance() * float64(2*time.Second)), 0} {
					fleet.store.setDown(true)
					time.Sleep(3500 * time.Millisecond)
					fleet.store.write("lapses", 0)
					fleet.store.setDown(false)
					time.Sleep(pause)
				}
				end, late := time.Now(), time.Duration(0)
				for time.Since(end) < 4*time.Second {
					if fleet.holds("leaves") > 0 {
						late = time.Since(end)
					}
					if at := time.Since(end); at >= 2*time.Second && at < 2010*time.Millisecond {
						fleet.store.write("lapses", 2)
					}
					if !assert.Equal(t, daemons, fleet.holds("lapses"), "%d daemons, seed %d, %v", daemons, seed, time.Since(end)) {
						break
					}
					time.Sleep(10 * time.Millisecond)
				}
				assert.LessOrEqual(t, late, 3*time.Second, "%d daemons, seed %d", daemons, seed)
				cancel()
				running.Wait()
				time.Sleep(time.Second) // for datagrams
			})
		}
	}
}
