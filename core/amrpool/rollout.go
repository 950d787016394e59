package amrpool

import (
	"maps"
	"slices"
	"time"
)

// changeTTL is the time after which a change of weights that another router
// announced, and whose end it did not announce, no longer keeps requests from the
// server.
const changeTTL = 10 * time.Second

// RolloutProgress is what the holder of the rollout lease announces of a rollout
// since its last announcement.
type RolloutProgress struct {
	Row     RowPosition // State of the shared row that lists all changes.
	Model   string
	Version int        // Version of the new weights.
	Begun   []ServerID // Servers that are about to load the weights.
	Done    []ServerID // Servers that have loaded them.
	Failed  []ServerID // Servers whose change has ended without success.
}

// ApplyProgress applies the progress of a rollout. Announcements may arrive in any
// order; those of an older state of the row than the known one have no effect on
// the changes.
func (f *Fleet) ApplyProgress(now time.Time, p RolloutProgress) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, id := range p.Done {
		if s := f.byID[id]; s != nil {
			s.observeVersion(p.Model, p.Version)
		}
	}
	if p.Row.Compare(f.changesRow) < 0 {
		return
	}
	ended := slices.Concat(p.Done, p.Failed)
	maps.DeleteFunc(f.changes, func(name string, c WeightsChange) bool {
		return c.Version == p.Version && slices.Contains(ended, IDOf(name))
	})
	for _, id := range p.Begun {
		if s := f.byID[id]; s != nil {
			s.change = WeightsChange{Model: p.Model, Version: p.Version}
			s.changeUntil = now.Add(changeTTL)
		}
	}
	for _, id := range p.Failed {
		if s := f.byID[id]; s != nil && s.change.Version == p.Version {
			s.change = WeightsChange{}
		}
	}
}
