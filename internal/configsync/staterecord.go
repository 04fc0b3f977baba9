package configsync

import (
	"time"

	"github.com/filbertrill/filbertrill/internal/logservice"
)

// StateRecordLimits bounds the distance between two state records.
type StateRecordLimits struct {
	MaxInterval time.Duration // longest time between two state records
	MaxRecords  int64         // most records between the base of the last state record and the end of the log
}

// StateRecordInput is the input of StateRecordDue: the bounds of the log, and the latest
// state record in it. The base of a state record is the offset of the last record that its
// state includes.
type StateRecordInput struct {
	Bounds  logservice.Bounds // as last observed
	Applied int64             // offset of the last record that this daemon has applied; -1 for none
	Base    int64             // highest base of the state records in the log; -1 for none
	Offset  int64             // offset of that state record; -1 for none
	SeenAt  time.Time         // when that state record was first seen, or else when the daemon started
}

// StateRecordDue reports whether a new state record has to be appended to the log. It is
// never due while this daemon has records left to apply.
func StateRecordDue(now time.Time, in StateRecordInput, limits StateRecordLimits) bool {
	if in.Applied < 0 || in.Applied+1 < in.Bounds.Next {
		return false // there is no state, or it is not up to date
	}
	if in.Offset < in.Bounds.First && in.Bounds.First > 0 {
		return true // the log no longer holds the last state record
	}
	if now.Sub(in.SeenAt) >= limits.MaxInterval {
		return true
	}
	if in.Bounds.Next-in.Base-1 > limits.MaxRecords {
		return true
	}
	return nearRetentionLimit(in)
}

// nearRetentionLimit reports whether more than half of the records in the log are newer than
// the base of the last state record, which is then halfway to being deleted by the log's
// retention. In a log that has not deleted anything yet, the distance between state records
// so doubles each time.
func nearRetentionLimit(in StateRecordInput) bool {
	retained := in.Bounds.Next - in.Bounds.First
	beforeExpiry := in.Base + 1 - in.Bounds.First
	return beforeExpiry < retained/2
}
