package simulation

import (
	"fmt"
	"time"

	"github.com/filbertrill/filbertrill/internal/admission"
	"github.com/filbertrill/filbertrill/internal/placement"
	"github.com/filbertrill/filbertrill/internal/scheduler"
)

// SummaryOptions describe a fleet in which each daemon sends its view to the aggregator of its zone only, and receives the sums
// of the views of zones.
type SummaryOptions struct {
	StateInterval   time.Duration // between two views that an aggregator receives from a daemon
	SummaryInterval time.Duration // between two sums of its own zone that a daemon receives
	ForwardInterval time.Duration // between two sums of another zone that a daemon receives
	// The aggregator of the first zone is lost SilentFrom after the start, and replaced SilentTo after it.
	SilentFrom, SilentTo time.Duration
}

// datedView is a view with the time at which it was taken.
type datedView struct {
	scheduler.View
	takenAt time.Time
}

// zoneAggregator holds what an aggregator has received.
type zoneAggregator struct {
	daemons []int             // of the zone
	views   map[int]datedView // by daemon
	others  map[int]datedView // sums of the other zones, by zone
}

// scheduleSummaries schedules the messages between daemons for the given length. Each daemon and each aggregator begins at a
// random time.
func (s *Simulation) scheduleSummaries(length time.Duration) {
	o := s.options.Summaries
	every := func(interval time.Duration, run func(now time.Time)) {
		first := Start.Add(time.Duration(s.rng.Int64N(int64(interval))))
		for t := first; t.Before(Start.Add(length)); t = t.Add(interval) {
			s.At(t, run)
		}
	}
	zones := make([]*zoneAggregator, max(1, s.options.Zones))
	for z := range zones {
		zones[z] = &zoneAggregator{views: map[int]datedView{}, others: map[int]datedView{}}
	}
	for i, sched := range s.schedulers {
		zone := zones[i%len(zones)]
		zone.daemons = append(zone.daemons, i)
		every(o.StateInterval, func(now time.Time) {
			view := sched.View(2*o.StateInterval, now)
			s.At(now.Add(s.options.ViewDelay), func(time.Time) { zone.views[i] = datedView{view, now} })
		})
	}
	for z, zone := range zones {
		every(o.StateInterval, func(now time.Time) {
			sum := zone.sum(-1)
			s.At(now.Add(s.options.ViewDelay), func(time.Time) {
				for _, other := range zones {
					if other != zone {
						other.others[z] = sum
					}
				}
			})
		})
		silent := func(now time.Time) bool {
			return z == 0 && now.After(Start.Add(o.SilentFrom)) && now.Before(Start.Add(o.SilentTo))
		}
		every(o.SummaryInterval, func(now time.Time) {
			for _, i := range zone.daemons {
				if !silent(now) {
					s.deliver(i, z, zone.sum(i), now)
				}
			}
		})
		every(o.ForwardInterval, func(now time.Time) {
			for _, i := range zone.daemons {
				for other, sum := range zone.others {
					if !silent(now) {
						s.deliver(i, other, sum, now)
					}
				}
			}
		})
	}
}

// deliver sends the sum of a zone's views to the daemon.
func (s *Simulation) deliver(daemon, zone int, sum datedView, sentAt time.Time) {
	s.At(sentAt.Add(s.options.ViewDelay), func(now time.Time) {
		view := sum.View
		view.Age = sentAt.Sub(sum.takenAt)
		s.schedulers[daemon].SetPeer(fmt.Sprint("zone ", zone), view, now)
	})
}

// sum returns the sum of the views of all daemons of the zone but one. Its date is that of the oldest view.
func (z *zoneAggregator) sum(without int) datedView {
	sum := datedView{View: scheduler.View{Loads: map[uint64]placement.Load{}, Usage: map[uint64]admission.Usage{}}}
	for _, i := range z.daemons {
		v, ok := z.views[i]
		if !ok || i == without {
			continue
		}
		if sum.takenAt.IsZero() || v.takenAt.Before(sum.takenAt) {
			sum.takenAt = v.takenAt
		}
		for server, load := range v.Loads {
			sum.Loads[server] = sum.Loads[server].Plus(load)
		}
		for account, usage := range v.Usage {
			sum.Usage[account] = sum.Usage[account].Plus(usage)
		}
		sum.Placements = append(sum.Placements, v.Placements...)
		sum.TimingModels = v.TimingModels
	}
	return sum
}
