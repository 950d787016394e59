package amrpool

import (
	"math"
	"time"
)

const (
	// minSpare is the smallest share of the servers' time that is assumed to be left for
	// callers who come back after a refusal, beside new requests.
	minSpare = 0.05

	// overloadPause is the time without refusals after which an overload is over.
	overloadPause = time.Second

	// goldenRatio spreads numbers evenly over an interval, however many there are.
	goldenRatio = 0.6180339887498949
)

// turns are the times at which refused callers of a group are told to come back.
type turns struct {
	next        time.Time // Time from which the next caller may come back.
	count       uint64    // Number of callers that were told.
	since, last time.Time // First and last refusal of the overload.
}

// takeTurn returns the time after which a refused caller should come back: when the
// backlog has drained as far as needed, and after those that were refused before. Each
// takes the given time of a server, in seconds, of what new requests leave. An overload
// is expected to last as long again as it has lasted, over which callers are spread.
func (d *groupDemand) takeTurn(now time.Time, backlog time.Duration, serverTime float64, servers int) time.Duration {
	t := &d.turns
	if now.Sub(t.last) >= overloadPause {
		t.since = now
	}
	t.last = now
	t.count++
	_, position := math.Modf(float64(t.count) * goldenRatio)
	turn := later(now.Add(max(backlog, minTurn)), t.next)
	pause := turn.Sub(now) + time.Duration((1+position)*float64(now.Sub(t.since)))
	if pause >= maxTurn {
		return maxTurn/2 + time.Duration(position*float64(maxTurn/2))
	}
	t.next = turn.Add(seconds(serverTime / d.spare(servers)))
	return pause
}

// spare returns the servers' time that new requests leave, in seconds per second.
func (d *groupDemand) spare(servers int) float64 {
	asked := 0.0
	for _, a := range d.asked {
		asked += a
	}
	return max(minSpare*float64(servers), float64(servers)-asked/demandTimeConstant.Seconds())
}
