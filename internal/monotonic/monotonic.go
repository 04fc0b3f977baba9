// Package steady numbers times by the steady clock. The time of day of a machine may jump by
// seconds, forward and back; an age worked out from it would be wrong by as much.
package monotonic

import "time"

// base joins both clocks once, at the start of the process.
var base = time.Now()

// UnixNano returns the nanoseconds since 1970 that a clock would show which was right at the
// start of the process and has not been set since. A time without a reading of the steady
// clock is taken as it is.
func UnixNano(t time.Time) int64 { return base.UnixNano() + int64(t.Sub(base)) }

// Time returns the time of a number that UnixNano returned. It can be compared with the
// steady clock.
func Time(unixNano int64) time.Time { return base.Add(time.Duration(unixNano - base.UnixNano())) }
