package amrcapacity

import (
	"math"
	"time"
)

const (
	// paceTimeConstant is the time over which reported paces are smoothed. The pace
	// changes many times a second; 200 ms delayed the notice of slow servers by several
	// prompts.
	paceTimeConstant = 60 * time.Millisecond

	// paceHorizon is the age at which a report says nothing about the pace any more.
	paceHorizon = 1500 * time.Millisecond

	// minPace and maxPace limit reported paces.
	minPace = 0.5
	maxPace = 5.0
)

// pace is how long work takes on a server's host, relative to the usual time.
type pace struct {
	smoothed   float64
	reportedAt time.Time
	last       float64 // Last report.
}

// record adds a report; 0 means that there is none.
func (p *pace) record(now time.Time, report float64) {
	if report <= 0 {
		return
	}
	report = min(max(report, minPace), maxPace)
	decay := math.Exp(-max(0, now.Sub(p.reportedAt).Seconds()) / paceTimeConstant.Seconds())
	p.smoothed = report + decay*(p.at(now)-report)
	p.reportedAt, p.last = now, report
}

// at returns the smoothed pace, which returns to 1 without reports.
func (p *pace) at(now time.Time) float64 {
	age := now.Sub(p.reportedAt)
	if p.reportedAt.IsZero() || age >= paceHorizon {
		return 1
	}
	return 1 + (p.smoothed-1)*(1-age.Seconds()/paceHorizon.Seconds())
}

// reported returns the last report if it is recent, or 1.
func (p *pace) reported(now time.Time) float64 {
	if p.reportedAt.IsZero() || now.Sub(p.reportedAt) >= paceHorizon {
		return 1
	}
	return p.last
}
