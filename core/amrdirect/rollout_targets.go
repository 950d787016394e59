package amrdirect

import (
	"maps"
	"time"

	"amaranthreach.example/core/amrfollow"
)

// recordTarget records that a declaration of weights was read from the row, with an update of
// the operators' table.
func (r *rollout) recordTarget(w TargetWeights, row amrfollow.Row, u amrfollow.Update) {
	r.mu.Lock()
	r.declared.observeRow(w, amrfollow.Position{Era: u.Era, Version: row.Version}, u.Since, u.Now)
	maps.DeleteFunc(r.dated, func(known TargetWeights, _ time.Duration) bool {
		return known.Model == w.Model // The fleet dates older versions only if it knows of a newer one.
	})
	r.mu.Unlock()
	r.dateTargets(u.Now)
	r.signal()
}

// recordNotedTargets records what the note tells of when weights were declared. The argument
// tableNow is the reading of the shared table's clock.
func (r *rollout) recordNotedTargets(note rolloutNote, tableNow time.Duration) {
	r.mu.Lock()
	for _, n := range note.Targets {
		r.declared.observeNote(n.weights(), n.earliest(), n.latest())
	}
	r.mu.Unlock()
	r.recordReading(note.Reading.reading(), tableNow)
}

// recordReading records a reading of the tables' clock that another router has written, which
// may tell that declarations were made later than was known.
func (r *rollout) recordReading(reading amrfollow.Reading, tableNow time.Duration) {
	r.mu.Lock()
	r.declared.observeReading(reading)
	r.mu.Unlock()
	r.dateTargets(tableNow)
}

// dateTargets tells the fleet when weights were declared, as far as this is not what it was
// told before. A time after tableNow is that of a clock which was set back, and counts as now.
// It does nothing while the reading of the clock is unknown, that is 0.
func (r *rollout) dateTargets(tableNow time.Duration) {
	if tableNow == 0 {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.clock.Now()
	for w, declared := range r.declared.times {
		at := declared.at()
		if told, ok := r.dated[w]; ok && told == at {
			continue
		}
		r.dated[w] = at
		r.fleet.SetTargetTime(now.Add(min(0, at-tableNow)), w.Model, w.Version)
		r.log.Info("weights dated", "model", w.Model, "weights", w.Version, "age-at-most", tableNow-at, "age-at-least", tableNow-declared.latest, "row-era", declared.row.Era, "row-version", declared.row.Version)
	}
}
