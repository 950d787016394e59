package amrdirect

import (
	"cmp"
	"encoding/json"
	"slices"
	"time"

	"amaranthreach.example/core/amrgossip"
	"amaranthreach.example/core/amrpool"
)

// notedNamings is the number of namings of weights that a note tells.
const notedNamings = 16

// rolloutNote is the holder's note in the row of the lease of orders.
type rolloutNote struct {
	Changes map[string]changeNote `json:"changes,omitempty"` // By server.
	Namings []namingNote          `json:"namings,omitempty"`
}

// changeNote says that a server is about to load weights, or loads them.
type changeNote struct {
	Model   string `json:"model"`
	Weights int    `json:"weights"`
}

// namingNote says when weights were named, by the clock of the shared rows, so
// that a router which starts knows for how long older ones have been stale.
type namingNote struct {
	Model   string `json:"model"`
	Weights int    `json:"weights"`
	AtMS    int64  `json:"at-ms"`
}

func (n rolloutNote) encode() json.RawMessage {
	data, err := json.Marshal(n)
	if err != nil {
		panic(err) // Strings and numbers can always be encoded.
	}
	return data
}

// engines returns the names of the servers that the note names.
func (n rolloutNote) engines() map[string]bool {
	engines := make(map[string]bool, len(n.Changes))
	for server := range n.Changes {
		engines[server] = true
	}
	return engines
}

func (n rolloutNote) changes() map[string]amrpool.Change {
	changes := make(map[string]amrpool.Change, len(n.Changes))
	for server, c := range n.Changes {
		changes[server] = amrpool.Change{Model: c.Model, Version: c.Weights}
	}
	return changes
}

// note returns what this router has to tell. Its mutex is held.
func (r *rollout) note() rolloutNote {
	note := rolloutNote{Changes: make(map[string]changeNote, len(r.changes))}
	for server, c := range r.changes {
		note.Changes[server] = changeNote{Model: c.Model, Weights: c.Version}
	}
	for w, at := range r.namings {
		note.Namings = append(note.Namings, namingNote{Model: w.Model, Weights: w.Version, AtMS: at.Milliseconds()})
	}
	slices.SortFunc(note.Namings, func(a, b namingNote) int {
		return cmp.Or(cmp.Compare(b.AtMS, a.AtMS), cmp.Compare(b.Weights, a.Weights))
	})
	note.Namings = note.Namings[:min(len(note.Namings), notedNamings)]
	r.forgetNamings(note.Namings)
	return note
}

// forgetNamings keeps only the namings that are told.
func (r *rollout) forgetNamings(kept []namingNote) {
	if len(r.namings) <= len(kept) {
		return
	}
	r.namings = make(map[NewWeights]time.Duration, len(kept))
	for _, n := range kept {
		r.namings[NewWeights{Model: n.Model, Version: n.Weights}] = time.Duration(n.AtMS) * time.Millisecond
	}
}

// tell has the other routers told of the changes that stand in a version of the
// shared row. Its mutex is held.
func (r *rollout) tell(row uint64, note rolloutNote) {
	news := r.pendingNews()
	news.Row = row
	news.Changing = nil
	for server, c := range note.Changes {
		news.Changing = append(news.Changing, amrgossip.Change{Server: amrpool.HashOf(server), Model: c.Model, Version: c.Weights})
	}
	r.fleet.Hurry()
}

// tellDone has the other routers told of a change that was carried out.
func (r *rollout) tellDone(server, model string, weights int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	news := r.pendingNews()
	news.Done = append(news.Done, amrgossip.Change{Server: amrpool.HashOf(server), Model: model, Version: weights})
	r.fleet.Hurry()
}

// pendingNews returns what the other routers are still to be told. Its mutex
// is held.
func (r *rollout) pendingNews() *amrgossip.Rollout {
	if r.news == nil {
		r.news = &amrgossip.Rollout{}
	}
	return r.news
}

// notice returns what the other routers are to be told since the last call, or
// nil.
func (r *rollout) notice() *amrgossip.Rollout {
	r.mu.Lock()
	defer r.mu.Unlock()
	news := r.news
	r.news = nil
	return news
}

// readNote decodes a holder's note. One that cannot be read names nothing.
func (r *rollout) readNote(data json.RawMessage) rolloutNote {
	var note rolloutNote
	if len(data) == 0 {
		return note
	}
	if err := json.Unmarshal(data, &note); err != nil {
		r.log.Error("cannot read the note of the rollout, no server is kept free", "err", err)
	}
	return note
}
