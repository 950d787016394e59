package amrforward

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"time"

	"github.com/zeebo/xxh3"

	"amaranthreach.example/core/amrgossip"
	"amaranthreach.example/core/amrpool"
	"amaranthreach.example/core/amrreason"
	"amaranthreach.example/core/amrsuspect"
)

const (
	// maxPendingStrikes bounds the queues of strikes to be sent to other routers.
	// Further strikes are not sent.
	maxPendingStrikes = 1024

	// spreadStrikes is the number of strikes of a request from which all routers
	// are told of them. Before, only the routers that collect the strikes of this
	// request are: when a server crashes, most of the requests that it was running
	// get a strike although they did not cause the crash.
	spreadStrikes = amrsuspect.MinStored
)

// updateStrikes adds a strike to the request if its connection to the backend
// server broke, which may mean that it crashed the server, and clears its
// strikes if it completed. Other routers are notified of either.
func (x *exchange) updateStrikes(now time.Time, server string, result amrpool.Result) {
	hash := xxh3.HashString(server)
	switch result {
	case amrpool.Failed:
		failure := x.f.failures.RecordBreak(now, x.pool, hash, x.fingerprint.Hash(), x.suspects)
		if failure.Common {
			x.f.log.Info("no strike, as the servers of the pool have a common failure", "id", x.request.ID, "fingerprint", x.fingerprint, "server", server,
				"server-served-ago", failure.ServedAgo, "server-broke-ago", failure.BrokeAgo)
			x.f.metrics.commonFailures.Inc()
			return
		}
		n := x.f.strikes.Add(now, x.fingerprint, hash)
		x.f.log.Info("strike", "id", x.request.ID, "fingerprint", x.fingerprint, "server", server, "strikes", n,
			"model", x.request.Model, "parts", strings.Join(sharedParts(x.request.Parts), ","), "begun", x.headerWritten,
			"server-served-ago", failure.ServedAgo, "server-broke-ago", failure.BrokeAgo)
		x.crashed = n >= amrsuspect.MaxStrikes
		if n > 0 {
			x.f.reportStrike(amrgossip.Strike{Fingerprint: x.fingerprint, Server: hash}, n)
		}
		x.reportPartCrash(now, hash)
	case amrpool.Completed:
		x.f.failures.RecordServed(now, x.pool, hash)
		x.recordPartAnswer(now)
		if n := x.f.strikes.RecordSuccess(now, x.fingerprint); n > 0 {
			x.f.log.Info("strikes cleared", "id", x.request.ID, "fingerprint", x.fingerprint, "strikes", n)
			x.f.reportStrike(amrgossip.Strike{Fingerprint: x.fingerprint, Cleared: true}, n)
		}
	}
}

// sharedParts returns the IDs of the parts that other prompts may have, too: all but
// the last one, which belongs to the request or its session.
func sharedParts(parts []amrpool.Part) []string {
	var ids []string
	for _, part := range parts[:max(0, len(parts)-1)] {
		ids = append(ids, part.ID)
	}
	return ids
}

// checkQuarantine returns a refusal if the request has too many strikes, and
// nil otherwise. With a refusal, it also reminds the other routers of a strike
// if a reminder is due.
func (x *exchange) checkQuarantine(now time.Time) *refusal {
	left := x.f.strikes.RetryAfter(now, x.fingerprint)
	if left == 0 {
		return nil
	}
	if x.f.triesQuarantined(x.fingerprint) {
		left, x.trial = x.f.strikes.BeginTrial(now, x.fingerprint)
	}
	if x.trial {
		x.f.log.Info("a quarantined request is let through", "id", x.request.ID, "fingerprint", x.fingerprint)
	}
	if left == 0 {
		return nil
	}
	if server, ok := x.f.strikes.NextReminder(now, x.fingerprint); ok {
		x.f.reportStrike(amrgossip.Strike{Fingerprint: x.fingerprint, Server: server}, amrsuspect.MaxStrikes)
	}
	return x.refusalForStrikes(now, left)
}

// refusalForStrikes returns the refusal of a request that is refused for the given time.
func (x *exchange) refusalForStrikes(now time.Time, left time.Duration) *refusal {
	since := amrsuspect.StrikeTTL - x.f.strikes.QuarantineRemaining(now, x.fingerprint)
	return x.refusal(amrreason.Quarantined, roundUp(left), fmt.Sprintf("fingerprint %v, last strike %v ago", x.fingerprint, since.Round(time.Millisecond)))
}

// checkCrash returns a refusal if the last run has crashed its server and the request is
// quarantined for it.
func (x *exchange) checkCrash(now time.Time) *refusal {
	left := x.f.strikes.RetryAfter(now, x.fingerprint)
	if !x.crashed || left == 0 {
		return nil
	}
	return x.refusalForStrikes(now, left)
}

// endTrial records the outcome of a quarantined request that was let through.
func (x *exchange) endTrial() {
	if x.trial {
		x.f.strikes.EndTrial(x.f.clock.Now(), x.fingerprint, x.crashed)
	}
}

// reportStrike queues the strike of a request that has n strikes for the routers
// that collect its strikes and, if these are many, for all routers.
func (f *Forwarder) reportStrike(s amrgossip.Strike, n int) {
	s.Sequence = rand.Uint32()
	f.mu.Lock()
	if len(f.reports) < maxPendingStrikes {
		f.reports = append(f.reports, s)
	}
	if n >= spreadStrikes && len(f.pendingStrikes) < maxPendingStrikes {
		f.pendingStrikes = append(f.pendingStrikes, s)
	}
	f.mu.Unlock()
	f.onNews()
}

// TakeStrikes returns the strikes to send to all other routers, and removes them
// from the queue.
func (f *Forwarder) TakeStrikes() []amrgossip.Strike {
	f.mu.Lock()
	defer f.mu.Unlock()
	strikes := f.pendingStrikes
	f.pendingStrikes = nil
	return strikes
}

// TakeReports returns the reports to send to the routers that collect them, and
// removes them from the queue.
func (f *Forwarder) TakeReports() amrgossip.Reports {
	f.mu.Lock()
	defer f.mu.Unlock()
	reports := amrgossip.Reports{Strikes: f.reports, Crashes: f.partNews.crashes, Sound: f.partNews.sound}
	f.reports, f.partNews.crashes, f.partNews.sound = nil, nil, nil
	return reports
}

// ApplyStrikes applies strikes received from another router. If a request with
// a received strike has completed here shortly before, the strike is not
// counted, and the other routers are notified that the request is cleared.
func (f *Forwarder) ApplyStrikes(now time.Time, strikes []amrgossip.Strike) {
	for _, s := range strikes {
		fingerprint := amrsuspect.Fingerprint(s.Fingerprint)
		if s.Cleared {
			f.strikes.Clear(now, fingerprint)
			continue
		}
		if f.strikes.AddReported(now, fingerprint, s.Server) == 0 {
			f.reportStrike(amrgossip.Strike{Fingerprint: s.Fingerprint, Cleared: true}, amrsuspect.MaxStrikes)
		}
	}
}

// ApplyReports applies reports that this router collects.
func (f *Forwarder) ApplyReports(now time.Time, r amrgossip.Reports) {
	f.applyStrikeReports(now, r.Strikes)
	f.ApplyCrashes(now, r.Crashes)
	f.ApplySound(now, r.Sound)
}

// applyStrikeReports applies strikes of requests whose strikes this router collects.
// If a request has enough of them, all routers are notified.
func (f *Forwarder) applyStrikeReports(now time.Time, strikes []amrgossip.Strike) {
	for _, s := range strikes {
		fingerprint := amrsuspect.Fingerprint(s.Fingerprint)
		before := len(f.strikes.Servers(fingerprint))
		f.ApplyStrikes(now, []amrgossip.Strike{s})
		servers := f.strikes.Servers(fingerprint)
		if len(servers) < spreadStrikes || len(servers) == before {
			continue
		}
		f.mu.Lock()
		for _, server := range servers {
			f.pendingStrikes = append(f.pendingStrikes, amrgossip.Strike{Fingerprint: s.Fingerprint, Server: server, Sequence: rand.Uint32()})
		}
		f.mu.Unlock()
		f.onNews()
	}
}

// RepeatedStrikes returns the strikes that must outlive this process.
func (f *Forwarder) RepeatedStrikes(now time.Time) []amrsuspect.StoredStrikes {
	return f.strikes.Repeated(now)
}

// ApplyStoredStrikes applies strikes that routers have stored, and reports whether this
// changes the number of strikes of the request.
func (f *Forwarder) ApplyStoredStrikes(now time.Time, s amrsuspect.StoredStrikes) bool {
	return f.strikes.AddStored(now, s)
}

// ClearStoredStrikes removes the strikes of a request unless the last one was later than the
// given time, because a router has deleted the stored ones.
func (f *Forwarder) ClearStoredStrikes(fingerprint amrsuspect.Fingerprint, until time.Time) {
	f.strikes.ClearUntil(fingerprint, until)
}
