package admission

import (
	"slices"
	"time"
)

// historyLength is the time for which usages are kept. Summaries of other zones are up to 1.5 s old, and count for a window.
const historyLength = 3 * time.Second

// datedUsage is the usage by account as of a time.
type datedUsage struct {
	usage   map[uint64]Usage
	takenAt time.Time
}

// usageHistory holds the usages of the last historyLength, the oldest first.
type usageHistory []datedUsage

// add returns the history with a newer usage.
func (h usageHistory) add(u datedUsage) usageHistory {
	expired := 0
	for expired < len(h) && u.takenAt.Sub(h[expired].takenAt) > historyLength {
		expired++
	}
	return append(slices.Delete(h, 0, expired), u)
}

// demandAt returns the demand of the account as of t, or as last known before.
func (h usageHistory) demandAt(account uint64, t time.Time) float64 {
	for _, u := range slices.Backward(h) {
		if !u.takenAt.After(t) {
			return u.usage[account].Demand
		}
	}
	return 0
}
