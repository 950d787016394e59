package amrdirect

import (
	"encoding/json"
	"time"

	"amaranthreach.example/core/amrgossip"
	"amaranthreach.example/core/amrpool"
)

// maxTargetNotes is the maximum number of declared weights in a note.
const maxTargetNotes = 16

// rolloutNote is the note that the lease holder stores in the row of the
// rollout lease.
type rolloutNote struct {
	Changes map[string]changeNote `json:"changes,omitempty"` // Changes in progress by server name.
	Targets []targetNote          `json:"namings,omitempty"`

	Orders        orderNotes `json:"orders,omitempty"`          // Last orders, also to servers whose changes have ended.
	OrdersSinceMS *int64     `json:"orders-since-ms,omitempty"` // Time from which Orders has them all; nil if the writer does not tell them.

	Reading *readingNote `json:"reading,omitempty"` // Of the tables' clock, from before the write.
}

// changeNote records that a server is loading weights or is about to.
type changeNote struct {
	Model   string `json:"model"`
	Weights int    `json:"weights"`
}

// targetNote bounds when weights were declared, by the clock of the shared
// table. From it, a router that starts knows how long older weights have been
// stale.
type targetNote struct {
	Model   string `json:"model"`
	Weights int    `json:"weights"`
	AtMS    int64  `json:"at-ms"`              // Latest possible time.
	AfterMS *int64 `json:"after-ms,omitempty"` // Earliest possible time; nil if it is AtMS.
}

// newTargetNote returns the note of a declaration.
func newTargetNote(w TargetWeights, d declarationTime) targetNote {
	note := targetNote{Model: w.Model, Weights: w.Version, AtMS: d.latest.Milliseconds()}
	if earliest := d.at().Milliseconds(); earliest < note.AtMS {
		note.AfterMS = &earliest
	}
	return note
}

// weights returns the declared weights.
func (n targetNote) weights() TargetWeights {
	return TargetWeights{Model: n.Model, Version: n.Weights}
}

// latest returns the latest time at which the weights may have been declared.
func (n targetNote) latest() time.Duration {
	return time.Duration(n.AtMS) * time.Millisecond
}

// earliest returns the earliest time at which the weights may have been declared.
func (n targetNote) earliest() time.Duration {
	if n.AfterMS == nil {
		return n.latest()
	}
	return time.Duration(*n.AfterMS) * time.Millisecond
}

// encode returns the JSON encoding of the note.
func (n rolloutNote) encode() json.RawMessage {
	data, err := json.Marshal(n)
	if err != nil {
		panic(err) // Cannot happen for strings and numbers.
	}
	return data
}

// engines returns the set of the servers that the note names.
func (n rolloutNote) engines() map[string]bool {
	engines := make(map[string]bool, len(n.Changes))
	for server := range n.Changes {
		engines[server] = true
	}
	return engines
}

// changes returns the changes in progress by server name.
func (n rolloutNote) changes() map[string]amrpool.WeightsChange {
	changes := make(map[string]amrpool.WeightsChange, len(n.Changes))
	for server, c := range n.Changes {
		changes[server] = amrpool.WeightsChange{Model: c.Model, Version: c.Weights}
	}
	return changes
}

// note returns a note of this router's changes and the maxTargetNotes latest
// declared weights. It forgets when older ones were declared. The caller must
// hold r.mu.
func (r *rollout) note() rolloutNote {
	note := rolloutNote{Changes: make(map[string]changeNote, len(r.changes)), Reading: noteOf(r.reading())}
	for server, c := range r.changes {
		note.Changes[server] = changeNote{Model: c.Model, Weights: c.Version}
	}
	for _, w := range r.declared.latest(maxTargetNotes) {
		note.Targets = append(note.Targets, newTargetNote(w, r.declared.times[w]))
	}
	r.noteOrders(&note)
	return note
}

// queueBegun queues the changes in the given state of the lease row that have not
// been announced yet for the other routers. The caller must hold r.mu.
func (r *rollout) queueBegun(row amrpool.RowPosition, note rolloutNote) {
	for server, c := range note.Changes {
		change := amrpool.WeightsChange{Model: c.Model, Version: c.Weights}
		if r.announcedChanges[server] == change {
			continue
		}
		r.announcedChanges[server] = change
		p := r.pendingProgress(row, change)
		p.Begun = append(p.Begun, amrgossip.ServerID(amrpool.IDOf(server)))
	}
	r.notify()
}

// queueEnded queues the end of a change for the other routers. The caller must hold
// r.mu.
func (r *rollout) queueEnded(server string, change amrpool.WeightsChange, ok bool) {
	delete(r.announcedChanges, server)
	p := r.pendingProgress(amrpool.RowPosition{Era: r.lease.Era(), Version: r.lease.Version()}, change)
	id := amrgossip.ServerID(amrpool.IDOf(server))
	if ok {
		p.Done = append(p.Done, id)
	} else {
		p.Failed = append(p.Failed, id)
	}
	if r.endNotified {
		return
	}
	r.endNotified = true
	r.clock.AfterFunc(endedDelay, func() {
		r.mu.Lock()
		r.endNotified = false
		r.mu.Unlock()
		r.notify()
	})
}

// endedDelay is the time for which the ends of changes are collected before the
// other routers are told. Until then they only use fewer servers than they could.
const endedDelay = 100 * time.Millisecond

// pendingProgress returns the progress that is queued for the other routers with the
// given state of the row and the given weights, and creates it if necessary. The
// caller must hold r.mu.
func (r *rollout) pendingProgress(row amrpool.RowPosition, change amrpool.WeightsChange) *amrgossip.Progress {
	for i := range r.outgoing {
		p := &r.outgoing[i]
		if p.RowEra == row.Era && p.RowVersion == row.Version && p.Model == change.Model && p.Version == change.Version {
			return p
		}
	}
	r.outgoing = append(r.outgoing, amrgossip.Progress{RowEra: row.Era, RowVersion: row.Version, Model: change.Model, Version: change.Version})
	return &r.outgoing[len(r.outgoing)-1]
}

// takeProgress removes and returns the queued progress.
func (r *rollout) takeProgress() []amrgossip.Progress {
	r.mu.Lock()
	defer r.mu.Unlock()
	outgoing := r.outgoing
	r.outgoing = nil
	return outgoing
}

// readNote decodes the note of a lease holder. If it cannot decode all of the
// data, it logs the error and returns an empty or incomplete note.
func (r *rollout) readNote(data json.RawMessage) rolloutNote {
	var note rolloutNote
	if len(data) == 0 {
		return note
	}
	if err := json.Unmarshal(data, &note); err != nil {
		r.log.Error("cannot decode the rollout note; ignoring its changes, so no server is kept free of requests for them", "err", err)
	}
	return note
}
