package amrretry

import "time"

const (
	// windowBuckets is the number of buckets into which a window is divided.
	windowBuckets = 20

	// storedBuckets is the number of buckets that are stored: a window and a
	// half before the current bucket, and the current bucket itself.
	storedBuckets = windowBuckets + windowBuckets/2 + 1

	// ratioMargin is the fraction of the ratio that each router uses. The bound
	// on all routers counts the requests of one period, but each router counts
	// those of its own busiest period, which may differ between routers.
	ratioMargin = 0.95
)

// Window limits the retries of all routers together without communication
// between them. In every period of the length of the window, the routers make
// at most ratio*requests + slack retries, where requests is the number of
// requests in the same period, in the period half a window earlier, or in the
// period one window earlier, whichever is largest. To achieve this, each router
// applies the ratio to its own requests and takes an equal share of the slack.
//
// A router that starts may follow one that has just used its share of the slack. Use
// SetSlackFrom to keep the bound across the restart. Within one window of the restart the
// retries may still exceed the bound by those for which the former router had counted
// requests that are no longer in the window, as routers remember no requests across it.
//
// A Window is one router's part. It is not safe for concurrent use.
type Window struct {
	ratio    float64
	slack    float64
	slackAt  time.Time          // Time from which the slack may be used.
	bucket   time.Duration      // Length of a bucket.
	requests [storedBuckets]int // Requests in each bucket, newest first.
	retries  [storedBuckets]int // Retries in each bucket, newest first.
	newest   int64              // Index of the newest bucket, counted from the Unix epoch.
}

// NewWindow returns a Window of the given length that has counted no requests.
// The ratio is the number of retries for each request, and the slack the number
// of further retries of all routers together in a window.
func NewWindow(ratio, slack float64, length time.Duration) *Window {
	return &Window{ratio: ratio * ratioMargin, slack: slack, bucket: max(length/windowBuckets, time.Millisecond)}
}

// SetSlackFrom sets the time from which the slack may be used. Before, only the ratio allows
// retries. A new Window allows the slack at once.
func (w *Window) SetSlackFrom(at time.Time) {
	w.slackAt = at
}

// CountRequest counts a request, but none of its retries.
func (w *Window) CountRequest(now time.Time) {
	w.advance(now)
	w.requests[0]++
}

// TryCountRetry reports whether a request may be sent again now, and counts a
// retry if so. The argument routers is the number of routers that share the
// slack, including this one.
func (w *Window) TryCountRetry(now time.Time, routers int) bool {
	if w.remaining(now, routers) < 1 {
		return false
	}
	w.retries[0]++
	return true
}

// Remaining returns the number of retries that are allowed now.
func (w *Window) Remaining(now time.Time, routers int) int {
	return int(max(0, w.remaining(now, routers)))
}

// remaining returns the number of retries that are allowed now, which is
// negative if more have been made than the current counts allow.
func (w *Window) remaining(now time.Time, routers int) float64 {
	w.advance(now)
	// A period of the length of the window can overlap with windowBuckets+1
	// buckets, including the current one. The retries in all of them count.
	retries := sum(w.retries[:windowBuckets+1])
	allowed := w.ratio * float64(w.countedRequests())
	if !now.Before(w.slackAt) {
		allowed += w.slack / float64(max(routers, 1))
	}
	return allowed - float64(retries)
}

// countedRequests returns the number of requests to which the ratio applies for
// a retry made now. The bound must hold in every period that contains the
// retry. The number is therefore the minimum over these periods, where a period
// counts the larger of its own requests and those half a window earlier. Only
// complete buckets count.
//
// The loop covers the periods that end at most half a window from now. For one
// that ends later, the bound counts the requests half a window and one window
// earlier, which the loop compares for the period that ends half a window
// before it.
func (w *Window) countedRequests() int {
	const half = windowBuckets / 2
	lowest := -1
	for offset := 0; offset <= half; offset++ {
		recent := sum(w.requests[1 : windowBuckets-offset])
		earlier := sum(w.requests[half-offset+1 : windowBuckets+half-offset])
		if highest := max(recent, earlier); lowest < 0 || highest < lowest {
			lowest = highest
		}
	}
	return lowest
}

// advance starts the bucket of the given time and discards the oldest ones. If
// the clock went backwards, the newest bucket stays the current one.
func (w *Window) advance(now time.Time) {
	bucket := now.UnixNano() / int64(w.bucket)
	steps := bucket - w.newest
	if steps <= 0 {
		return
	}
	w.newest = bucket
	shift(&w.requests, steps)
	shift(&w.retries, steps)
}

// shift moves the counts by steps towards the older end and clears the newest
// ones.
func shift(counts *[storedBuckets]int, steps int64) {
	if steps >= storedBuckets {
		*counts = [storedBuckets]int{}
		return
	}
	copy(counts[steps:], counts[:storedBuckets-steps])
	clear(counts[:steps])
}

func sum(counts []int) int {
	total := 0
	for _, n := range counts {
		total += n
	}
	return total
}
