package exchange

import (
	"slices"
	"time"

	"github.com/filbertrill/filbertrill/internal/exchange/pb"
)

const (
	// placementRepeatTime is the time for which a placement that comes again counts as the same. Daemons report each one for
	// placementIntervals.
	placementRepeatTime = 3 * AggregateInterval
	// maxPendingPlacements bounds the placements that wait for a summary.
	maxPendingPlacements = 4 * maxMergedPlacements
)

type placementKey struct{ server, part uint64 }

// placementQueue holds placements of views that were received and are to be passed on, the oldest first. Each is passed on once: if
// summaries repeated what the last views say, they would be large, and lack what was reported between two of them.
type placementQueue struct {
	pending []*pb.Placement
	addedAt map[placementKey]time.Time
	swept   time.Time // when addedAt was last rid of old entries
}

// add appends the placements that were not added within placementRepeatTime. The oldest ones beyond maxPendingPlacements are
// discarded.
func (q *placementQueue) add(placements []*pb.Placement, now time.Time) {
	if q.addedAt == nil {
		q.addedAt = make(map[placementKey]time.Time)
	}
	for _, p := range placements {
		key := placementKey{p.Server, p.Part}
		if at, ok := q.addedAt[key]; !ok || now.Sub(at) >= placementRepeatTime {
			q.addedAt[key] = now
			q.pending = append(q.pending, p)
		}
	}
	if excess := len(q.pending) - maxPendingPlacements; excess > 0 {
		q.pending = slices.Delete(q.pending, 0, excess)
	}
	if now.Sub(q.swept) > placementRepeatTime {
		q.swept = now
		for key, at := range q.addedAt {
			if now.Sub(at) >= placementRepeatTime {
				delete(q.addedAt, key)
			}
		}
	}
}

// take removes and returns the oldest placements, maxMergedPlacements at most.
func (q *placementQueue) take() []*pb.Placement {
	n := min(len(q.pending), maxMergedPlacements)
	taken := slices.Clone(q.pending[:n])
	q.pending = slices.Delete(q.pending, 0, n)
	return taken
}

// withPlacements returns a copy of the view with other placements.
func withPlacements(v *pb.View, placements []*pb.Placement) *pb.View {
	out := withoutEvidence(v)
	out.Suspects, out.Placements = v.Suspects, placements
	return out
}
