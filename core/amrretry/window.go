package amrretry

import "time"

const (
	// windowBuckets is the number of buckets that a window is counted in.
	windowBuckets = 20

	// ratioMargin is the part of the ratio that a router uses, so that requests
	// which are counted elsewhere at another moment do not break the bound.
	ratioMargin = 0.85
)

// Window bounds the repeated sends of a fleet of routers without any message
// between them. Each router allows itself the ratio of its own requests and an
// equal share of the fixed allowance, so that the sum keeps the fleet's bound
// in every span of the window's length. It is not safe for concurrent use.
type Window struct {
	ratio   float64
	slack   float64
	bucket  time.Duration
	firsts  [windowBuckets]int
	repeats [windowBuckets]int
	now     int64 // Number of the newest bucket.
}

// NewWindow returns a window of the given length. The slack is the allowance
// of the whole fleet.
func NewWindow(ratio, slack float64, length time.Duration) *Window {
	return &Window{ratio: ratio * ratioMargin, slack: slack, bucket: max(length/windowBuckets, time.Millisecond)}
}

// First counts a request.
func (w *Window) First(now time.Time) {
	w.advance(now)
	w.firsts[w.now%windowBuckets]++
}

// Repeat counts another send of a request, and reports false without counting
// where the bound does not allow it. Routers is the number of routers that
// share the allowance.
func (w *Window) Repeat(now time.Time, routers int) bool {
	w.advance(now)
	if float64(sum(w.repeats)+1) > w.ratio*float64(sum(w.firsts))+w.slack/float64(max(routers, 1)) {
		return false
	}
	w.repeats[w.now%windowBuckets]++
	return true
}

// Left returns how many repeats the bound allows now.
func (w *Window) Left(now time.Time, routers int) int {
	w.advance(now)
	return int(w.ratio*float64(sum(w.firsts)) + w.slack/float64(max(routers, 1)) - float64(sum(w.repeats)))
}

func (w *Window) advance(now time.Time) {
	bucket := now.UnixNano() / int64(w.bucket)
	if bucket-w.now >= windowBuckets || bucket < w.now {
		w.firsts = [windowBuckets]int{}
		if bucket > w.now {
			w.repeats = [windowBuckets]int{}
		}
		w.now = bucket
		return
	}
	for w.now < bucket {
		w.now++
		w.firsts[w.now%windowBuckets] = 0
		w.repeats[w.now%windowBuckets] = 0
	}
}

func sum(counts [windowBuckets]int) int {
	total := 0
	for _, n := range counts {
		total += n
	}
	return total
}
