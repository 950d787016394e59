package amrdirect

import (
	"time"

	"golang.org/x/sys/unix"
)

// SystemBootClock is the host's clock that goes on while the host is suspended.
// Its times have no meaning but their distance.
type SystemBootClock struct{}

// Now returns the time since the host started, as a time from the Unix epoch.
func (SystemBootClock) Now() time.Time {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		panic(err) // Fails only where the system has no such clock.
	}
	return time.Unix(ts.Sec, ts.Nsec)
}
