// Package monotonic converts times to and from Unix nanoseconds by the monotonic clock. The wall
// clock of a machine may jump by seconds in either direction, and so would ages computed from it.
package monotonic

import "time"

// base relates the monotonic clock to the wall clock at the start of the process.
var base = time.Now()

// UnixNano returns t in Unix nanoseconds as of the start of the process: it is not affected when
// the wall clock is set later. For a time without a monotonic reading it equals t.UnixNano.
func UnixNano(t time.Time) int64 { return base.UnixNano() + int64(t.Sub(base)) }

// Time returns the time for a value returned by UnixNano. The result has a monotonic reading.
func Time(unixNano int64) time.Time { return base.Add(time.Duration(unixNano - base.UnixNano())) }
