// Package clock reads a clock that counts the time during which the machine is suspended.
//
// The monotonic clock of package time stops meanwhile, while leases go on at other machines.
package clock

import (
	"time"

	"golang.org/x/sys/unix"
)

// startedAt is the time at which the process started, startReading the reading of the boot clock
// then.
var startedAt, startReading = time.Now(), bootClock()

// Now returns the current time. The difference of two results includes time during which the
// machine was suspended. Results must not be compared with those of time.Now, and their time of
// day does not follow adjustments of the machine's clock.
func Now() time.Time { return startedAt.Add(bootClock() - startReading) }

// Suspended returns for how long the machine has been suspended since the process started, up to
// a constant.
func Suspended() time.Duration {
	for {
		before := bootClock()
		running := time.Since(startedAt)
		if bootClock()-before < time.Millisecond {
			return before - startReading - running
		}
	}
}

// bootClock returns the time since the machine was started.
func bootClock() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		panic(err) // every supported kernel has the clock
	}
	return time.Duration(ts.Nano())
}
