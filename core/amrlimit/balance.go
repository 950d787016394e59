package amrlimit

import (
	"math"
	"slices"
	"time"
)

// balance is the credit of a team that a router has fetched and not used yet.
type balance struct {
	lots []lot // In order of their expiry.
}

// lot is credit that expires at a time.
type lot struct {
	credit  float64
	expires time.Time
}

// sum returns the credit that has not expired.
func (b *balance) sum(now time.Time) float64 {
	sum := 0.0
	for _, l := range b.lots {
		if now.Before(l.expires) {
			sum += l.credit
		}
	}
	return sum
}

// add adds credit.
func (b *balance) add(credit float64, expires time.Time) {
	if credit <= 0 {
		return
	}
	i := len(b.lots)
	for i > 0 && b.lots[i-1].expires.After(expires) {
		i--
	}
	b.lots = slices.Insert(b.lots, i, lot{credit, expires})
}

// take takes the weight of a request from the balance, first from the credit that expires
// first. It returns false, and takes nothing, if there is less.
func (b *balance) take(now time.Time, weight float64) bool {
	if len(b.lots) == 0 || b.sum(now) < weight {
		return false
	}
	for i := range b.lots {
		if !now.Before(b.lots[i].expires) {
			continue
		}
		part := min(b.lots[i].credit, weight)
		b.lots[i].credit -= part
		weight -= part
	}
	return true
}

// expire removes and returns the credit that has expired.
func (b *balance) expire(now time.Time) float64 {
	if len(b.lots) == 0 {
		return 0
	}
	expired, kept := 0.0, b.lots[:0]
	for _, l := range b.lots {
		switch {
		case !now.Before(l.expires):
			expired += l.credit
		case l.credit > 0:
			kept = append(kept, l)
		}
	}
	b.lots = kept
	return expired
}

// scale multiplies the credit.
func (b *balance) scale(factor float64) {
	for i := range b.lots {
		b.lots[i].credit *= factor
	}
}

// demandTime is the time over which the demand of a team is averaged.
const demandTime = time.Second

// demand is the demand of a team at a router.
type demand struct {
	requests float64 // Per second.
	weight   float64 // Per second.
	at       time.Time
}

// record records a request.
func (d *demand) record(now time.Time, weight float64) {
	d.requests, d.weight = d.average(now)
	d.requests += 1 / demandTime.Seconds()
	d.weight += weight / demandTime.Seconds()
	d.at = now
}

// average returns the number and the weight of the requests per second.
func (d *demand) average(now time.Time) (requests, weight float64) {
	decay := math.Exp(-now.Sub(d.at).Seconds() / demandTime.Seconds())
	return d.requests * decay, d.weight * decay
}

// ahead returns the credit that the router should have in advance.
func (d *demand) ahead(now time.Time) float64 {
	if d.requests < minAheadRate {
		return 0
	}
	requests, weight := d.average(now)
	if requests < minAheadRate {
		return 0
	}
	return weight * aheadTime.Seconds()
}
