package amrcapacity

import (
	"math"
	"time"
)

const (
	// bucketWidth is the number of different counts of requests in a bucket, and
	// maxBuckets the number of buckets. The last one has all higher counts, too.
	bucketWidth = 4
	maxBuckets  = 64

	// curveTimeConstant is the time after which an observation has 1/e of its weight.
	// A server is seldom at its knee, so that observations must last.
	curveTimeConstant = 20 * time.Second

	// minBucketWeight is the weight of a bucket from which it counts.
	minBucketWeight = 4.0

	// kneeExcess is the factor by which step times must grow more than in proportion to
	// the number of requests beyond a knee, and kneeSpan the minimum factor between the
	// numbers of requests that are compared. Smaller ones find knees in noise.
	kneeExcess = 1.15
	kneeSpan   = 1.25
)

// curve holds step times by the number of running requests.
type curve struct {
	buckets [maxBuckets]bucket
}

// bucket holds the exponentially weighted mean of the step times in a range of counts.
type bucket struct {
	weight, sum, running float64
	at                   time.Time
}

// record adds the step time with the number of running requests.
func (c *curve) record(now time.Time, running int, stepTime float64) {
	b := &c.buckets[min(max(running, 0)/bucketWidth, maxBuckets-1)]
	decay := b.decay(now)
	b.weight = b.weight*decay + 1
	b.sum = b.sum*decay + stepTime
	b.running = b.running*decay + float64(running)
	b.at = now
}

// decay returns the weight that remains of the observations.
func (b *bucket) decay(now time.Time) float64 {
	return math.Exp(-max(0, now.Sub(b.at).Seconds()) / curveTimeConstant.Seconds())
}

// counts reports whether the bucket has enough recent observations.
func (b *bucket) counts(now time.Time) bool {
	return b.weight*b.decay(now) >= minBucketWeight
}

// knee returns the number of requests from which step times grow faster than in
// proportion to it, or 0 if they do not.
func (c *curve) knee(now time.Time) int {
	for i := range c.buckets {
		above := &c.buckets[i]
		if !above.counts(now) {
			continue
		}
		for j := range i {
			below := &c.buckets[j]
			if !below.counts(now) || below.running == 0 {
				continue
			}
			span := above.running / above.weight / (below.running / below.weight)
			growth := above.sum / above.weight / (below.sum / below.weight)
			if span >= kneeSpan && growth > kneeExcess*span {
				return int(math.Round(below.running / below.weight))
			}
		}
	}
	return 0
}
