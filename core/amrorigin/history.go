package amrorigin

import (
	"time"

	"amaranthreach.example/core/amrpool"
)

// streamLife is the longest time after its beginning for which callers take a stream up.
// Their deadlines are shorter.
const streamLife = 30 * time.Second

// history tells which software version a stream of a pool must have begun at, from the
// versions that the pool's servers have had. It does no I/O and is not safe for concurrent
// use. The zero value is that of a pool that has not been observed yet.
type history struct {
	only  amrpool.SoftwareID // The only version of the servers; 0 if there are several, or none.
	since time.Time          // Time from which only has held.

	earlier      amrpool.SoftwareID // The only version before the last time at which another one appeared; 0 if there was none for streamLife.
	earlierUntil time.Time          // Time at which that one appeared.

	doubtedAt time.Time // Time at which the shared row of the pool last told of other versions than the list.
}

// observe records the versions of the servers that are listed now. It reports whether
// another version has appeared beside the one that had been the only one.
func (h *history) observe(now time.Time, versions []amrpool.SoftwareID) (appeared bool) {
	if len(versions) == 0 || len(versions) == 1 && versions[0] == h.only {
		return false // A pool without servers keeps its version.
	}
	if h.only != 0 {
		h.earlier = 0
		if h.isLasting(now) {
			h.earlier = h.only
		}
		h.earlierUntil = now
		appeared = true
	}
	h.only = 0
	if len(versions) == 1 {
		h.only, h.since = versions[0], now
	}
	return appeared
}

// isLasting reports whether all streams that callers may still take up began at the only
// version.
func (h *history) isLasting(now time.Time) bool {
	return h.only != 0 && now.Sub(h.trustedSince()) >= streamLife
}

// trustedSince returns the time from which all streams began at the only version.
func (h *history) trustedSince() time.Time {
	if h.doubtedAt.After(h.since) {
		return h.doubtedAt
	}
	return h.since
}

// beforeChange returns the version at which a stream began that no router knows, if it is
// likely that the stream began before another version appeared: the routers tell each
// other of streams from then on. It returns 0 if there is no such version.
func (h *history) beforeChange(now time.Time) amrpool.SoftwareID {
	if h.earlier == 0 || now.Sub(h.earlierUntil) >= streamLife {
		return 0
	}
	return h.earlier
}
