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
func StateRecordDue(now time.Time, in StateRecordInput, limits StateRecordLimits) bool {
	if in.Applied < 0 || in.Applied+1 < in.Bounds.Next {
		return false // nothing to record, or more to apply first
	}
	if in.Offset < in.Bounds.First && in.Bounds.First > 0 {
		return true // the log keeps none
	}
	if now.Sub(in.SeenAt) >= limits.MaxInterval {
		return true
	}
	if in.Bounds.Next-in.Base-1 > limits.MaxRecords {
		return true
	}
	return nearRetentionLimit(in)
}

// headIsNear reports whether more than half of what the log keeps was written after the
// last state record: its state may then be half way to being forgotten. In a log that has
// not forgotten anything yet, state records so come at doubling distances.
func nearRetentionLimit(in StateRecordInput) bool {
	retained := in.Bounds.Next - in.Bounds.First
	beforeExpiry := in.Base + 1 - in.Bounds.First
	return beforeExpiry < retained/2
}
