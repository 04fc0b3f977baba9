package dispatchsim

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/filbertrill/filbertrill/internal/dispatch"
)

// Intervals of the simulated daemons, equal to the defaults of internal/controller/dispatch.
const (
	tickInterval       = 20 * time.Millisecond
	costUpdateInterval = 100 * time.Millisecond
	fullReportInterval = 500 * time.Millisecond
)

// Rand is the random source that Account.Cost draws from.
type Rand = rand.Rand

// Fleet is a simulated fleet and the state of its run.
type Fleet struct {
	*clock
	opts            Options
	daemons         []*daemon
	pools           []*pool
	servers         map[string]*engine
	lastArrival     map[[2]int]time.Time // arrival of the last message by sending and receiving daemon
	workload        *workload
	Result          Result
	lastIncarnation uint64
	exchangeCount   int
}

type daemon struct {
	id              string
	index           int
	zone            int
	queue           *dispatch.Queue
	reportScheduled bool
	costsUpdated    time.Time
	lastFullReport  time.Time
	reportedTo      *pool // pool that received the last full report
}

// pool is a pool of servers, its dispatcher and the index of the daemon that runs it.
type pool struct {
	name              string
	zone              int
	members           []int
	owner             int
	dispatcher        *dispatch.Dispatcher
	exchangeScheduled bool
	paused            bool
}

// New returns a fleet that is ready to run.
func New(opts Options) *Fleet {
	opts.setDefaults()
	f := &Fleet{
		clock:       newClock(opts.Seed),
		opts:        opts,
		servers:     map[string]*engine{},
		lastArrival: map[[2]int]time.Time{},
	}
	f.workload = newWorkload(f)
	for i, s := range opts.Servers {
		id := fmt.Sprintf("s%02d", i)
		f.servers[id] = &engine{fleet: f, zone: s.Zone, slots: s.Slots}
	}
	for i := range opts.Daemons {
		d := &daemon{id: fmt.Sprintf("d%02d", i), index: i, zone: i % opts.Zones}
		d.queue = dispatch.NewQueue(dispatch.QueueOptions{Incarnation: 1, Order: opts.Order, EstimateQuantile: opts.EstimateQuantile})
		f.daemons = append(f.daemons, d)
	}
	f.makePools()
	f.every(tickInterval, f.tick)
	f.every(opts.ExchangeInterval, func() { f.exchangeReports(true) })
	return f
}

func (f *Fleet) makePools() {
	switch f.opts.Scope {
	case ScopeZone:
		for z := range f.opts.Zones {
			f.addPool(fmt.Sprintf("z%d", z), z, func(d *daemon) bool { return d.zone == z })
		}
	case ScopeDaemon:
		for _, owner := range f.daemons {
			f.addPool(owner.id, owner.zone, func(d *daemon) bool { return d == owner })
		}
	default:
		f.addPool("region", 0, func(*daemon) bool { return true })
	}
}

func (f *Fleet) addPool(name string, zone int, contains func(*daemon) bool) {
	p := &pool{name: name, zone: zone}
	for _, d := range f.daemons {
		if contains(d) {
			p.members = append(p.members, d.index)
		}
	}
	f.pools = append(f.pools, p)
	f.StartDispatcher(p.name, p.members[0])
}

// StartDispatcher replaces the dispatcher of the named pool by a new one at the daemon with
// index owner. The new dispatcher has none of the state of its predecessor.
func (f *Fleet) StartDispatcher(name string, owner int) {
	p := f.pool(name)
	f.lastIncarnation++
	p.owner = owner
	var expected []string
	for _, i := range p.members {
		expected = append(expected, f.daemons[i].id)
	}
	f.trace("%s: %s is the dispatcher", p.name, f.daemons[owner].id)
	p.dispatcher = dispatch.NewDispatcher(f.now, f.lastIncarnation, f.poolSpec(p), expected)
	for _, i := range p.members {
		f.daemons[i].reportedTo = nil
		f.scheduleReport(f.daemons[i])
	}
}

// After calls fn once the virtual time has advanced by d.
func (f *Fleet) After(d time.Duration, fn func()) { f.after(d, fn) }

// Run runs the simulation for Options.Length, then without new load until all requests have
// ended or drainTimeout has passed, and returns the result.
func (f *Fleet) Run(drainTimeout time.Duration) Result {
	end := f.now.Add(f.opts.Length)
	f.runUntil(end)
	for f.now.Before(end.Add(drainTimeout)) && f.Result.Ended < f.Result.Submitted {
		f.runUntil(f.now.Add(time.Second))
	}
	return f.workload.meter.result()
}

func (f *Fleet) trace(format string, args ...any) {
	if f.opts.Trace == nil {
		return
	}
	at := f.now.Sub(f.workload.meter.startTime).Round(time.Millisecond)
	f.opts.Trace(fmt.Sprintf("%8s  ", at) + fmt.Sprintf(format, args...))
}

// SetPaused pauses or resumes the dispatcher of the named pool. A paused dispatcher loses the
// messages that it receives.
func (f *Fleet) SetPaused(name string, paused bool) { f.pool(name).paused = paused }

func (f *Fleet) pool(name string) *pool {
	for _, p := range f.pools {
		if p.name == name {
			return p
		}
	}
	return nil
}

func (f *Fleet) homePool(d *daemon) *pool {
	for _, p := range f.pools {
		for _, i := range p.members {
			if i == d.index {
				return p
			}
		}
	}
	return nil
}

func (f *Fleet) poolSpec(p *pool) dispatch.Pool {
	spec := dispatch.Pool{Name: p.name, Standby: f.opts.Standby, RemoteStandby: f.opts.RemoteStandby, Accounts: map[string]dispatch.AccountSpec{}}
	for i, s := range f.opts.Servers {
		slots := s.Slots
		switch {
		case f.opts.Scope == ScopeZone && s.Zone != p.zone:
			continue
		case f.opts.Scope == ScopeDaemon:
			slots = s.Slots / f.opts.Daemons
			if (p.members[0]+i)%f.opts.Daemons < s.Slots%f.opts.Daemons {
				slots++
			}
		}
		if slots > 0 {
			spec.Servers = append(spec.Servers, dispatch.ServerSpec{ID: fmt.Sprintf("s%02d", i), Slots: slots, Schedulable: true})
		}
	}
	for i, a := range f.opts.Accounts {
		spec.Accounts[accountID(i)] = dispatch.AccountSpec{Weight: a.Weight, MaxInFlight: a.MaxInFlight}
	}
	return spec
}

// send calls deliver when a message of the given size arrives at the receiving daemon, if it
// does. A link delivers messages in order, except for duplicates.
func (f *Fleet) send(from, to int, bytes int, deliver func()) {
	if from == to {
		f.after(0, deliver)
		return
	}
	link := f.opts.Local
	if f.daemons[from].zone != f.daemons[to].zone {
		link = f.opts.Remote
		f.Result.RemoteMessages++
		f.Result.RemoteBytes += bytes
	}
	if f.rand.Float64() < link.DropProbability {
		return
	}
	arrival := f.now.Add(f.delay(link))
	key := [2]int{from, to}
	if last := f.lastArrival[key]; arrival.Before(last) {
		arrival = last
	}
	f.lastArrival[key] = arrival
	f.after(arrival.Sub(f.now), deliver)
	if f.rand.Float64() < link.DuplicateProbability {
		f.after(arrival.Sub(f.now)+f.delay(link)*10, deliver)
	}
}

func (f *Fleet) delay(link Link) time.Duration {
	d := link.Delay
	if link.Jitter > 0 {
		d += time.Duration((2*f.rand.Float64() - 1) * float64(link.Jitter))
	}
	if f.rand.Float64() < link.StallProbability {
		d += link.StallDuration
	}
	return d
}
