package amrengine

import (
	"time"

	"amaranthreach.example/core/amrprompt"
)

// Run is one run of a request that started.
type Run struct {
	RequestID        string
	IdempotencyKey   string // Of the Idempotency-Key header.
	Fingerprint      uint64 // Of the prompt, as Fingerprint returns it.
	Incarnation      string
	Weights          string
	At               time.Time // When prefill started.
	PromptTokens     int
	CachedTokens     int
	HeldTokens       int // Tokens computed although an engine of the directory held them.
	RepeatedTokens   int // Tokens computed although an engine of the directory had computed them before.
	CompletionTokens int
	Outcome          Outcome
}

// RecomputedTokens returns the prompt tokens that were not in the cache.
func (r Run) RecomputedTokens() int {
	return r.PromptTokens - r.CachedTokens
}

// Outcome says how a run ended.
type Outcome string

// The outcomes of runs.
const (
	OutcomeRunning      Outcome = "running"
	OutcomeFinished     Outcome = "finished"
	OutcomeCanceled     Outcome = "canceled"
	OutcomeCrashed      Outcome = "crashed"
	OutcomeWrongWeights Outcome = "wrong-weights" // Never started.
)

func (e *Engine) runStarted(j *job, at time.Time) {
	j.run = len(e.runs)
	e.runs = append(e.runs, Run{
		RequestID:      j.id,
		IdempotencyKey: j.idempotencyKey,
		Incarnation:    e.incarnation,
		Weights:        e.weights,
		At:             at,
		PromptTokens:   j.promptTokens,
		CachedTokens:   j.cached,
		HeldTokens:     j.held,
		RepeatedTokens: j.repeated,
		Fingerprint:    j.fingerprint,
		Outcome:        OutcomeRunning,
	})
}

func (e *Engine) runEnded(j *job, _ time.Time) {
	run := &e.runs[j.run]
	run.CompletionTokens = j.emitted
	run.Outcome = j.outcome
}

func (e *Engine) publish(kind eventKind, k amrprompt.Key) {
	lost := e.settings.eventLoss > 0 && e.random.Float64() < e.settings.eventLoss
	at := e.settings.clock.Now().Add(e.settings.scaled(e.settings.eventDelay))
	e.events.append(kind, k, at, lost)
}
