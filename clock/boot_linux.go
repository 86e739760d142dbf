package clock

import (
	"time"

	"golang.org/x/sys/unix"
)

// Boot returns the time since the machine started, suspensions included.
func Boot() Millis {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		return System{}.Now() // without this clock, a step of the wall clock counts as a suspension
	}
	return Millis(time.Duration(ts.Nano()).Milliseconds())
}
