package dispatchsim

import (
	"math"
	"slices"
	"time"

	"github.com/filbertrill/filbertrill/internal/dispatch"
)

// sampleInterval is the virtual time between two samples of the delivered service.
const sampleInterval = 10 * time.Millisecond

// Result holds the measurements of a run. Gaps are in units of the largest cost over weight
// of a request.
type Result struct {
	GapByStart     float64 // fairness gap, with the whole cost counted at the grant
	GapByDelivery  float64 // fairness gap, with the cost counted as it is delivered
	Utilisation    float64 // share of the slot time in use, 0 to 1
	RemoteMessages int
	RemoteBytes    int
	MaxOverSlots   int // highest number of requests at a server beyond its slots
	Submitted      int
	Ended          int
	Waiting        int               // requests without a grant at the end
	DuplicateRuns  int               // grants to requests that already had one
	PrefixLookups  int               // started requests with a shared prefix
	PrefixHits     int               // those whose prefix was cached at their server
	Waits          [][]time.Duration // from arrival to grant, by account
}

// WaitQuantile returns the quantile, between 0 and 1, of an account's waits, or 0 when there
// are none.
func (r *Result) WaitQuantile(account int, quantile float64) time.Duration {
	waits := slices.Sorted(slices.Values(r.Waits[account]))
	if len(waits) == 0 {
		return 0
	}
	return waits[int(quantile*float64(len(waits)-1))]
}

// meter measures the fairness gap: for each pair of accounts, the range that the difference
// of their normalised service covers while both have waiting requests without interruption.
// Normalised service is cost over weight.
type meter struct {
	fleet             *Fleet
	startTime         time.Time
	running           map[dispatch.RequestID]*request
	waiting           []int
	startedService    []float64 // normalised service by account, counted at the grant
	endedService      []float64 // normalised service by account, of ended requests
	maxNormalisedCost float64   // of one request
	startRanges       gapRanges
	deliveredRanges   gapRanges
	busySlotSeconds   float64
}

// gapRanges holds the minimum and maximum difference of service by pair of accounts.
type gapRanges map[[2]int]*[2]float64

func newMeter(f *Fleet) *meter {
	n := len(f.opts.Accounts)
	f.Result.Waits = make([][]time.Duration, n)
	m := &meter{
		fleet:           f,
		startTime:       f.now,
		running:         map[dispatch.RequestID]*request{},
		waiting:         make([]int, n),
		startedService:  make([]float64, n),
		endedService:    make([]float64, n),
		startRanges:     gapRanges{},
		deliveredRanges: gapRanges{},
	}
	f.every(sampleInterval, m.sample)
	return m
}

func (m *meter) warmedUp() bool { return m.fleet.now.Sub(m.startTime) >= m.fleet.opts.WarmUp }

func (m *meter) weight(account int) float64 { return m.fleet.opts.Accounts[account].Weight }

func (m *meter) addWaiting(r *request, delta int) {
	m.waiting[r.account] += delta
	if m.waiting[r.account] > 0 {
		return
	}
	for other := range m.waiting {
		delete(m.startRanges, accountPair(r.account, other))
		delete(m.deliveredRanges, accountPair(r.account, other))
	}
}

func accountPair(i, j int) [2]int { return [2]int{min(i, j), max(i, j)} }

func (m *meter) granted(r *request) {
	if r.runs > 1 {
		m.fleet.Result.DuplicateRuns++
	}
	normalisedCost := r.cost / m.weight(r.account)
	m.maxNormalisedCost = max(m.maxNormalisedCost, normalisedCost)
	m.startedService[r.account] += normalisedCost
	if !m.warmedUp() {
		return
	}
	wait := m.fleet.now.Sub(r.arrived)
	m.fleet.Result.Waits[r.account] = append(m.fleet.Result.Waits[r.account], wait)
	for other := range m.waiting {
		m.recordGap(m.startRanges, &m.fleet.Result.GapByStart, r.account, other, m.startedService)
	}
}

func (m *meter) started(r *request) { m.running[r.id] = r }

func (m *meter) finished(r *request) {
	delete(m.running, r.id)
	m.endedService[r.account] += r.cost / m.weight(r.account)
	m.fleet.Result.Ended++
}

// sample records the service delivered so far and the slots in use.
func (m *meter) sample() {
	if !m.warmedUp() || m.fleet.now.Sub(m.startTime) > m.fleet.opts.Length {
		return
	}
	for _, e := range m.fleet.servers {
		m.busySlotSeconds += float64(e.running) * sampleInterval.Seconds()
	}
	service := slices.Clone(m.endedService)
	for _, r := range m.running {
		service[r.account] += m.fleet.deliveredCost(r) / m.weight(r.account)
	}
	for i := range service {
		for j := range i {
			m.recordGap(m.deliveredRanges, &m.fleet.Result.GapByDelivery, i, j, service)
		}
	}
}

// result returns the result with gaps and utilisation normalised.
func (m *meter) result() Result {
	r := m.fleet.Result
	r.GapByStart /= m.maxNormalisedCost
	r.GapByDelivery /= m.maxNormalisedCost
	measured := (m.fleet.opts.Length - m.fleet.opts.WarmUp).Seconds()
	r.Utilisation = m.busySlotSeconds / measured / float64(m.fleet.opts.slots())
	for _, n := range m.waiting {
		r.Waiting += n
	}
	return r
}

func (m *meter) recordGap(ranges gapRanges, maxGap *float64, i, j int, service []float64) {
	if i == j || m.waiting[i] == 0 || m.waiting[j] == 0 {
		return
	}
	key := accountPair(i, j)
	difference := service[key[0]] - service[key[1]]
	r, ok := ranges[key]
	if !ok {
		r = &[2]float64{math.Inf(1), math.Inf(-1)}
		ranges[key] = r
	}
	r[0], r[1] = min(r[0], difference), max(r[1], difference)
	*maxGap = max(*maxGap, r[1]-r[0])
}
