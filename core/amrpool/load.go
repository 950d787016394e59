package amrpool

import (
	"math"
	"time"
)

const (
	// loadTimeConstant is the time constant of what this router has seen of the load of a
	// pool. It is longer than a load of weights takes, so that a rollout does not follow
	// the load that each of its steps causes.
	loadTimeConstant = 1500 * time.Millisecond

	// usualWaitTimeConstant is the time constant with which the usual wait of a pool follows
	// a longer one. It is longer than overload usually lasts.
	usualWaitTimeConstant = 30 * time.Second

	// minLoadSamples is the number of recent requests, and minLoadDemand the recent demand
	// in seconds of a server, below which these say nothing about the load.
	minLoadSamples = 4
	minLoadDemand  = 0.25

	// Shares from which a pool counts as overloaded. It remains so until all are below
	// half of them. The limit on waits is low, since admission bounds waits under overload.
	refusedLimit = 0.05
	waitedLimit  = 0.15
	queuedLimit  = 0.1
)

// PoolLoad is the load of a pool as far as this router knows it. Shares that it does not
// know are 0.
type PoolLoad struct {
	Refused float64 // Share of the demand that was refused in the last seconds.
	Waited  float64 // Mean wait of the requests that were answered, beyond the usual one, as a share of their goals.
	Queued  float64 // Requests that wait at servers, as a share of their slots.
}

// Overloaded reports whether requests to the pool are refused or wait long. The argument
// tells whether it was so before.
func (l PoolLoad) Overloaded(before bool) bool {
	factor := 1.0
	if before {
		factor = 0.5
	}
	return l.Refused >= factor*refusedLimit || l.Waited >= factor*waitedLimit || l.Queued >= factor*queuedLimit
}

// seenLoad is what this router has seen of the load of a pool as the sender of requests.
// Older requests have an exponentially decreasing weight.
type seenLoad struct {
	at       time.Time
	refused  float64 // Requests that the coordinators of the pool's groups refused.
	answered float64
	waited   float64 // Sum of the waits of those that were answered, as shares of their goals.
	usual    float64 // Usual mean of these waits: the way to the servers and their steps take a part of each goal.
	known    bool    // The usual mean is known.
}

// seenLoadOf returns what this router has seen of the pool's load, as of now.
func (f *Fleet) seenLoadOf(now time.Time, pool string) *seenLoad {
	l := f.seenLoads[pool]
	if l == nil {
		l = &seenLoad{at: now}
		f.seenLoads[pool] = l
	}
	if elapsed := now.Sub(l.at); elapsed > 0 {
		remaining := math.Exp(-elapsed.Seconds() / loadTimeConstant.Seconds())
		l.refused *= remaining
		l.answered *= remaining
		l.waited *= remaining
		l.usual += (l.meanWait() - l.usual) * -math.Expm1(-elapsed.Seconds()/usualWaitTimeConstant.Seconds())
		l.at = now
	}
	return l
}

// meanWait returns the mean wait of the recent answers, as a share of their goals. It is
// the usual one if there are too few.
func (l *seenLoad) meanWait() float64 {
	if l.answered < minLoadSamples {
		return l.usual
	}
	return l.waited / l.answered
}

// RecordRefusal records that the coordinator of a group of the pool refused a request for
// lack of capacity.
func (f *Fleet) RecordRefusal(now time.Time, pool string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.seenLoadOf(now, pool).refused++
}

// recordStart records how long the request waited until its server began to answer, less
// the time that an engine usually needs for the prompt. The learned capacity of the server
// is not used: a router that places no requests does not learn it.
func (c *Choice) recordStart(now time.Time) {
	if c.maxWait <= 0 || !c.fleet.byUrgency(c.server.Pool) {
		return
	}
	wait := now.Sub(c.selectedAt) - seconds(float64(c.PrefillTokens)/c.fleet.prefillRate)
	l := c.fleet.seenLoadOf(now, c.server.Pool)
	l.answered++
	l.waited += max(0, wait).Seconds() / c.maxWait.Seconds()
	if mean := l.meanWait(); l.answered >= minLoadSamples && (!l.known || mean < l.usual) {
		l.usual, l.known = mean, true
	}
}

// PoolLoad returns the load of the pool: by the demand for the groups whose requests this
// router places, by the requests that it sent, and by the last reports of the servers.
func (f *Fleet) PoolLoad(now time.Time, pool string) PoolLoad {
	f.mu.Lock()
	defer f.mu.Unlock()
	var load PoolLoad
	seen := f.seenLoadOf(now, pool)
	if seen.refused+seen.answered >= minLoadSamples {
		load.Refused = seen.refused / (seen.refused + seen.answered)
		load.Waited = max(0, seen.meanWait()-seen.usual)
	}
	load.Refused = max(load.Refused, f.refusedDemand(now, pool))
	waiting, slots := 0, 0
	for _, s := range f.pools[pool] {
		if !s.loadAt.IsZero() && now.Sub(s.loadAt) < loadReportHorizon && s.acceptsRequests(now) {
			waiting += s.load.Waiting
			slots += s.load.Slots
		}
	}
	load.Queued = float64(waiting) / float64(max(1, slots))
	return load
}

// refusedDemand returns the refused share of the recent demand that this router knows.
func (f *Fleet) refusedDemand(now time.Time, pool string) float64 {
	asked, admitted := 0.0, 0.0
	for key, d := range f.demands {
		if key.pool != pool {
			continue
		}
		remaining := math.Exp(-max(0, now.Sub(d.at)).Seconds() / demandTimeConstant.Seconds())
		for p := range d.asked {
			asked += remaining * d.asked[p]
			admitted += remaining * d.admitted[p]
		}
	}
	if asked < minLoadDemand {
		return 0
	}
	return 1 - admitted/asked
}

// OutdatedFor returns for how long newer weights of the model than those of each server of
// the pool have been declared. Servers with the newest weights are not contained.
func (f *Fleet) OutdatedFor(now time.Time, pool, model string) map[string]time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	outdated := make(map[string]time.Duration)
	for _, s := range f.pools[pool] {
		if _, ok := f.targets[model].supersededAt(s.version[model]); ok {
			outdated[s.Name] = f.staleFor(now, s, model)
		}
	}
	return outdated
}

// StaleLimit returns the age of newer declared weights from which servers with older ones
// are not used.
func (f *Fleet) StaleLimit() time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.stale.Limit
}
