package amrpool

import (
	"math"
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"
)

const (
	// hotTimeConstant is the time constant of the demand by prefix.
	hotTimeConstant = 2 * time.Second

	// minHotRequests is the number of recent requests below which a router does not know
	// which prefixes are hot.
	minHotRequests = 20

	// maxHotPrefixes is the maximum number of prefixes whose demand a router records.
	maxHotPrefixes = 1024

	// maxGroupExcess is the demand for a group because of a hot prefix, beyond the mean
	// and relative to it.
	maxGroupExcess = 0.1
)

// prefixDemand is the recent demand of this router's callers for a pool, in requests.
type prefixDemand struct {
	at    time.Time
	total float64
	byKey *simplelru.LRU[uint64, keyDemand]
	turn  int // Of the groups over which a hot prefix is spread.
}

// keyDemand is the demand for the prompts of a group key.
type keyDemand struct {
	requests float64
	at       time.Time
}

// decayed returns the demand as of now.
func decayed(now, at time.Time, demand float64) float64 {
	return demand * math.Exp(-max(0, now.Sub(at)).Seconds()/hotTimeConstant.Seconds())
}

// record records a request.
func (d *prefixDemand) record(now time.Time, key uint64) {
	k, _ := d.byKey.Get(key)
	d.total, d.at = decayed(now, d.at, d.total)+1, now
	d.byKey.Add(key, keyDemand{decayed(now, k.at, k.requests) + 1, now})
}

// share returns the share of the prefix in the demand with one more request, or 0 if there
// were too few requests.
func (d *prefixDemand) share(now time.Time, key uint64) float64 {
	total := decayed(now, d.at, d.total) + 1
	if total < minHotRequests {
		return 0
	}
	k, _ := d.byKey.Peek(key)
	return (decayed(now, k.at, k.requests) + 1) / total
}

// prefixDemandOf returns the demand for the pool.
func (f *Fleet) prefixDemandOf(pool string) *prefixDemand {
	d := f.prefixDemands[pool]
	if d == nil {
		byKey, err := simplelru.NewLRU[uint64, keyDemand](maxHotPrefixes, nil)
		if err != nil {
			panic(err) // Happens only for a size that is not positive.
		}
		d = &prefixDemand{byKey: byKey}
		f.prefixDemands[pool] = d
	}
	return d
}

// spreadOver returns over how many of the groups a prefix with the given share of the
// demand is spread: the fewest by which no group has more than the mean and
// maxGroupExcess, if the rest of the demand is even.
func spreadOver(share float64, groups int) int {
	return max(1, int(math.Ceil(share*float64(groups)/(share+maxGroupExcess))))
}

// spreadHotPrefix returns how many groups, in the order of their scores, the request must
// pass over: 0 unless its prefix is hot. It sets Spread if the prefix is.
func (f *Fleet) spreadHotPrefix(now time.Time, r *Request, key uint64, groups int) int {
	if groups < 2 || !f.byUrgency(r.Pool) || r.shared() == 0 {
		return 0
	}
	d := f.prefixDemandOf(r.Pool)
	n := spreadOver(d.share(now, key), groups)
	if !f.explaining {
		d.record(now, key)
	}
	r.Spread = n > 1
	if !r.Spread {
		return 0
	}
	turn := d.turn + 1
	if !f.explaining {
		d.turn = turn
	}
	return turn % n
}
