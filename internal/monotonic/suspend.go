package monotonic

import (
	"time"

	"golang.org/x/sys/unix"
)

// Suspended returns for how long the machine was suspended since it was started. The monotonic clock,
// by which Go measures durations, doesn't count that time. It returns 0 if the kernel doesn't tell.
func Suspended() time.Duration {
	var withSuspension, without unix.Timespec
	if unix.ClockGettime(unix.CLOCK_MONOTONIC, &without) != nil || unix.ClockGettime(unix.CLOCK_BOOTTIME, &withSuspension) != nil {
		return 0
	}
	return time.Duration(withSuspension.Nano() - without.Nano())
}
