package amrlimit

import (
	"time"

	"amaranthreach.example/core/amrgossip"
)

const (
	// baselineDrift is the rate at which clocks of two hosts may drift apart, with a margin.
	baselineDrift = 5e-4

	// driftInterval is the time after which the drift counts, which is a few milliseconds
	// then.
	driftInterval = 10 * time.Second

	// lateLoans is the number of delayed loans in a row after which the clock of the sender
	// is taken to have changed.
	lateLoans = 5
)

// lenders are the routers whose parts of the quotas of one group a coordinator may use.
type lenders struct {
	routers    int // Number of registered routers.
	until      map[amrgossip.HostID]time.Time
	queue      []loanEnd // Ends of loans in order, also of loans that were replaced since.
	at         time.Time // Time up to which lent counts.
	lent       float64   // Seconds for which the whole quotas were lent, as the integral of the share over time.
	quiet      bool      // No part has been lent since the pools were last advanced.
	lentBefore float64   // Value of lent when the first of the present loans began.
}

// loanEnd is the end of a loan.
type loanEnd struct {
	host amrgossip.HostID
	at   time.Time
}

// share returns the share of the quotas that is lent now.
func (l *lenders) share() float64 {
	if l.routers == 0 {
		return 0
	}
	return min(float64(len(l.until))/float64(l.routers), 1)
}

// advance counts the loans up to now and removes those that have ended.
func (l *lenders) advance(now time.Time) {
	for len(l.queue) > 0 && !l.queue[0].at.After(now) {
		end := l.queue[0]
		l.queue = l.queue[1:]
		if until, ok := l.until[end.host]; ok && until.Equal(end.at) {
			l.countTo(end.at)
			delete(l.until, end.host)
		}
	}
	l.countTo(now)
}

func (l *lenders) countTo(at time.Time) {
	if !l.at.IsZero() && at.After(l.at) {
		l.lent += at.Sub(l.at).Seconds() * l.share()
	}
	if at.After(l.at) {
		l.at = at
	}
}

// lend records that the router has lent its parts. A second loan of the same router
// replaces the first one.
func (l *lenders) lend(now time.Time, host amrgossip.HostID) {
	l.advance(now)
	l.quiet = false
	if len(l.until) == 0 {
		l.lentBefore = l.lent
	}
	end := now.Add(loanLife)
	l.until[host] = end
	l.queue = append(l.queue, loanEnd{host: host, at: end})
}

// end ends the loan of the router.
func (l *lenders) end(now time.Time, host amrgossip.HostID) {
	l.advance(now)
	delete(l.until, host)
}

// retain ends the loans of routers that are not registered any more.
func (l *lenders) retain(now time.Time, routers []QuotaRouter) {
	l.advance(now)
	registered := make(map[amrgossip.HostID]bool, len(routers))
	for _, r := range routers {
		registered[r.Host] = true
	}
	for host := range l.until {
		if !registered[host] {
			delete(l.until, host)
		}
	}
	l.routers = len(routers)
}

// lenderClock compares the clock of a lender with the own one.
type lenderClock struct {
	baseline int32 // Least difference between the times of receiving and sending, in milliseconds.
	at       time.Time
	late     int // Delayed loans in a row.

	returnedMS uint32 // Time of the last message that gave credit back.
}

// repeated reports whether a message that gives credit back has been received before, or a
// later one has. Its credit must not count twice.
func (c *lenderClock) repeated(sentMS uint32) bool {
	if c.returnedMS != 0 && int32(sentMS-c.returnedMS) <= 0 && int32(sentMS-c.returnedMS) > -returnsMemory {
		return true
	}
	c.returnedMS = sentMS
	return false
}

// returnsMemory is the time in milliseconds for which messages that give credit back are
// remembered. The clock of a host that has restarted may be further behind.
const returnsMemory = 60_000

// delayed reports whether a message with the time of its sender was under way for longer
// than loanMargin beyond the usual time. The parts in such a loan may be lent to another
// router by now.
func (c *lenderClock) delayed(now time.Time, sentMS uint32) bool {
	difference := int32(uint32(now.UnixMilli()) - sentMS)
	switch {
	case c.at.IsZero():
		c.at = now
		c.baseline = difference
	case now.Sub(c.at) >= driftInterval:
		c.baseline += int32(now.Sub(c.at).Seconds() * baselineDrift * 1000)
		c.at = now
	}
	switch {
	case difference < c.baseline || c.late >= lateLoans:
		c.baseline, c.late = difference, 0
	case difference-c.baseline > int32(loanMargin.Milliseconds()):
		c.late++
	default:
		c.late = 0
	}
	return c.late > 0
}
