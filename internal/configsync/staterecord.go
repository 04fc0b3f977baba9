package configsync

import (
	"time"

	"github.com/filbertrill/filbertrill/internal/logservice"
)

// StateRecordLimits are the settings of state records.
type StateRecordLimits struct {
	MaxInterval time.Duration // longest time between two
	MaxRecords  int64         // most records between the base of the last and the end of the log
}

// StateRecordFacts is what a daemon knows of the log and of its state records.
type StateRecordInput struct {
	Bounds  logservice.Bounds // as last observed
	Applied int64             // by this daemon
	Base    int64             // highest base of the state records that the log keeps; -1 for none
	Offset  int64             // of that state record; -1 for none
	SeenAt  time.Time         // when that state record was first seen, or the daemon started
}

// StateRecordDue reports whether the log needs a new state record.
func StateRecordDue(now time.Time, f StateRecordInput, limits StateRecordLimits) bool {
	if f.Applied < 0 || f.Applied+1 < f.Bounds.Next {
		return false // nothing to record, or more to apply first
	}
	if f.Offset < f.Bounds.First && f.Bounds.First > 0 {
		return true // the log keeps none
	}
	if now.Sub(f.SeenAt) >= limits.MaxInterval {
		return true
	}
	if f.Bounds.Next-f.Base-1 > limits.MaxRecords {
		return true
	}
	return headIsNear(f)
}

// headIsNear reports whether more than half of what the log keeps was written after the
// last state record: its state may then be half way to being forgotten. In a log that has
// not forgotten anything yet, state records so come at doubling distances.
func headIsNear(f StateRecordInput) bool {
	kept := f.Bounds.Next - f.Bounds.First
	left := f.Base + 1 - f.Bounds.First
	return left < kept/2
}
