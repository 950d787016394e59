package amrsuspect

import (
	"math"
	"slices"
	"time"
)

const (
	// maxCrashRecords is the maximum number of crashes that a router remembers.
	maxCrashRecords = 256

	// settleTime is the time after a crash in which its broken runs are reported.
	settleTime = 100 * time.Millisecond

	// maxChance is the highest probability of being in so many of the crashes by
	// chance for a part that is known to be sound and yet quarantined.
	maxChance = 1e-2

	// maxAbsentShare is the highest share of the crashes in which such a part was not
	// running, since servers also crash for other reasons.
	maxAbsentShare = 0.2
)

// crashRecord is a crash of a server.
type crashRecord struct {
	server uint64
	at     time.Time
	runs   int // Number of runs that broke off.
}

// crashLog holds the latest crashes, oldest first. The zero value is empty.
type crashLog struct {
	records []crashRecord
}

// add adds a run on the server that broke off.
func (l *crashLog) add(now time.Time, server uint64) {
	for i := len(l.records) - 1; i >= 0 && now.Sub(l.records[i].at) < sameCrashTime; i-- {
		if l.records[i].server == server {
			l.records[i].runs++
			return
		}
	}
	if len(l.records) >= maxCrashRecords {
		l.records = slices.Delete(l.records, 0, 1)
	}
	l.records = append(l.records, crashRecord{server: server, at: now, runs: 1})
}

// chance returns the probability that a part which is in the given share of all prompts
// was running in as many of the crashes since the time as it was, if it does not cause
// them: in each crash, some of the runs that broke off had the part or not, independently
// of each other. The function was reports whether the part was running on a server. The
// result is 1 if the part was not running in too many of the crashes, and for crashes
// whose runs may not all have been reported yet.
func (l *crashLog) chance(now, since time.Time, share float64, was func(server uint64) bool) float64 {
	chance, present, absent := 1.0, 0, 0
	for _, r := range l.records {
		switch {
		case r.at.Before(since) || now.Sub(r.at) < settleTime:
		case was(r.server):
			present++
			chance *= 1 - math.Pow(1-share, float64(r.runs))
		default:
			absent++
		}
	}
	if float64(absent) > maxAbsentShare*float64(present+absent) {
		return 1
	}
	return chance
}
