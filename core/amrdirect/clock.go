package amrdirect

import (
	"time"

	"golang.org/x/sys/unix"
)

// SystemBootClock reads CLOCK_BOOTTIME, which keeps running while the host is
// suspended. Only the difference of two of its times is meaningful.
type SystemBootClock struct{}

// Now returns the time since the host booted, as an offset from the Unix epoch.
func (SystemBootClock) Now() time.Time {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		panic(err) // Happens only on systems without CLOCK_BOOTTIME.
	}
	return time.Unix(ts.Sec, ts.Nsec)
}
