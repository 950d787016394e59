package amrdirect

import (
	"math/rand/v2"
	"time"

	"amaranthreach.example/core/amrgossip"
	"amaranthreach.example/core/amrpool"
)

// gossipAdapter connects the exchange with other routers to this router. The fleet
// supplies and applies leaving servers, and the forwarder the strikes of requests
// that crash their backend servers. The progress of a rollout comes from the router
// that holds its lease and is applied by the fleet.
type gossipAdapter struct {
	router *Router
}

// TakeFacts returns the facts that this router has observed since the last call.
func (a gossipAdapter) TakeFacts() amrgossip.Facts {
	var f amrgossip.Facts
	for _, l := range a.router.fleet.TakeLeaving() {
		f.Leaving = append(f.Leaving, amrgossip.Leaving{Server: amrgossip.ServerID(l.Server), StartedMS: l.Started.UnixMilli()})
	}
	now := a.router.clock.Now()
	for _, l := range a.router.fleet.TakeLimits() {
		f.Limits = append(f.Limits, amrgossip.ServerLimit{
			Server: amrgossip.ServerID(l.Server), StartedMS: l.Started.UnixMilli(), PerSecond: l.PerSecond,
			SentAgeMS: now.Sub(l.SentAt).Milliseconds(), ReceivedAgeMS: now.Sub(l.ReceivedAt).Milliseconds(), Sequence: rand.Uint32(),
		})
	}
	f.Strikes = a.router.forward.TakeStrikes()
	f.Parts = a.router.forward.TakePartNotices()
	f.Progress = a.router.rollout.takeProgress()
	return f
}

// ApplyFacts applies facts that another router observed.
func (a gossipAdapter) ApplyFacts(now time.Time, f amrgossip.Facts) {
	r := a.router
	for _, l := range f.Leaving {
		leaving := amrpool.LeavingServer{Server: amrpool.ServerID(l.Server), Started: time.UnixMilli(l.StartedMS)}
		if r.fleet.ApplyLeaving(leaving) {
			r.log.Info("backend server is leaving, as another router was told", "server", r.fleet.NameOf(leaving.Server), "started", leaving.Started.UTC())
		}
	}
	for _, l := range f.Limits {
		a.applyLimit(now, l)
	}
	r.forward.ApplyStrikes(now, f.Strikes)
	r.forward.ApplyPartNotices(now, f.Parts)
	for _, p := range f.Progress {
		r.fleet.ApplyProgress(now, amrpool.RolloutProgress{
			Row:   amrpool.RowPosition{Era: p.RowEra, Version: p.RowVersion},
			Model: p.Model, Version: p.Version,
			Begun: serverIDs(p.Begun), Done: serverIDs(p.Done), Failed: serverIDs(p.Failed),
		})
		r.log.Info("rollout progress received", "model", p.Model, "weights", p.Version, "row-era", p.RowEra, "row-version", p.RowVersion, "begun", len(p.Begun), "done", len(p.Done), "failed", len(p.Failed))
	}
}

// applyLimit applies the limit of a backend server of which another router was told.
func (a gossipAdapter) applyLimit(now time.Time, l amrgossip.ServerLimit) {
	r := a.router
	notice := amrpool.LimitNotice{
		Server: amrpool.ServerID(l.Server), Started: time.UnixMilli(l.StartedMS), PerSecond: l.PerSecond,
		SentAt:     now.Add(-time.Duration(l.SentAgeMS) * time.Millisecond),
		ReceivedAt: now.Add(-time.Duration(l.ReceivedAgeMS) * time.Millisecond),
	}
	if r.fleet.ApplyLimit(now, notice) {
		r.log.Info("limit of a backend server, as another router was told", "server", r.fleet.NameOf(notice.Server), "requests-per-second", l.PerSecond, "age", now.Sub(notice.ReceivedAt))
	}
}

// TakeReports returns the reports for the routers that collect them.
func (a gossipAdapter) TakeReports() amrgossip.Reports {
	return a.router.forward.TakeReports()
}

// ApplyReports applies reports that this router collects.
func (a gossipAdapter) ApplyReports(now time.Time, reports amrgossip.Reports) {
	a.router.forward.ApplyReports(now, reports)
}

// serverIDs converts IDs in messages to those of the fleet.
func serverIDs(ids []amrgossip.ServerID) []amrpool.ServerID {
	var converted []amrpool.ServerID
	for _, id := range ids {
		converted = append(converted, amrpool.ServerID(id))
	}
	return converted
}

// Era returns the newest era of the platform's store that the router knows.
func (a gossipAdapter) Era() uint64 {
	return a.router.era.Load()
}

// ObserveEra records the era of the platform's store that another router knows.
func (a gossipAdapter) ObserveEra(era uint64) {
	a.router.observeEra(era)
}

// SendRequested returns a channel that is ready to receive from when there are facts
// to take.
func (a gossipAdapter) SendRequested() <-chan struct{} {
	return a.router.factsReady
}
