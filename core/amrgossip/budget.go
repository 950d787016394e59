package amrgossip

import "time"

// budgetBurst is the time of which a budget can save up its bytes, for bursts such
// as a rollout of weights.
const budgetBurst = 10 * time.Second

// budget limits the bytes that a router sends to others. It is a token bucket.
type budget struct {
	rate    float64 // Bytes per second; 0 for no limit.
	left    float64 // Bytes that may be sent now.
	updated time.Time
}

func newBudget(now time.Time, rate float64) budget {
	return budget{rate: rate, left: rate * budgetBurst.Seconds(), updated: now}
}

// take takes the bytes of a message from the budget. It reports false, and takes
// nothing, if fewer are left. A part of the budget is reserved for messages that
// are more important than this one.
func (b *budget) take(now time.Time, bytes int, reserved float64) bool {
	if b.rate == 0 {
		return true
	}
	most := b.rate * budgetBurst.Seconds()
	b.left = min(most, b.left+b.rate*now.Sub(b.updated).Seconds())
	b.updated = now
	if b.left-float64(bytes) < reserved*most {
		return false
	}
	b.left -= float64(bytes)
	return true
}
