package amrengine

import (
	"time"

	"amaranthreach.example/core/amrprompt"
)

// Run records one execution of a request, from the start of its prefill.
type Run struct {
	RequestID                string
	IdempotencyKey           string // Value of the Idempotency-Key header.
	Fingerprint              uint64 // Fingerprint of the prompt, as the function Fingerprint returns it.
	Incarnation              string
	Weights                  string    // Version of the weights.
	At                       time.Time // Time at which the prefill started.
	PromptTokens             int
	CachedTokens             int // Prompt tokens that were in the cache of this engine.
	CachedAnywhereTokens     int // Prompt tokens computed although any engine of the directory had them in its cache when the prefill started. This engine counts too: it may have a block without those that precede it.
	PreviouslyComputedTokens int // Prompt tokens computed although an engine of the directory had cached them at some time.
	CompletionTokens         int // Tokens of the completion at the end of the run, including those of a resumed text.
	State                    RunState
}

// UncachedTokens returns the number of prompt tokens that were not in the
// cache of this engine.
func (r Run) UncachedTokens() int {
	return r.PromptTokens - r.CachedTokens
}

// RunState is the state of a run: running, or the way in which it ended.
type RunState string

// States of runs.
const (
	RunRunning      RunState = "running"
	RunFinished     RunState = "finished"
	RunCanceled     RunState = "canceled"
	RunCrashed      RunState = "crashed"
	RunWrongWeights RunState = "wrong-weights" // Other weights were loaded before the request started.
)

// runStarted implements runRecorder. The caller holds mu.
func (e *Engine) runStarted(j *job, at time.Time) {
	j.run = len(e.runs)
	e.runs = append(e.runs, Run{
		RequestID:                j.id,
		IdempotencyKey:           j.idempotencyKey,
		Incarnation:              e.incarnation,
		Weights:                  e.weights,
		At:                       at,
		PromptTokens:             j.promptTokens,
		CachedTokens:             j.cachedTokens,
		CachedAnywhereTokens:     j.cachedAnywhereTokens,
		PreviouslyComputedTokens: j.previouslyComputedTokens,
		Fingerprint:              j.fingerprint,
		State:                    RunRunning,
	})
}

// runEnded implements runRecorder. The caller holds mu.
func (e *Engine) runEnded(j *job, _ time.Time) {
	run := &e.runs[j.run]
	run.CompletionTokens = j.generatedTokens
	run.State = j.outcome
}

// publish implements runRecorder. The event becomes visible after the event
// delay, or never if the simulated event loss affects it. The caller holds mu.
func (e *Engine) publish(kind eventKind, k amrprompt.Key) {
	lost := e.settings.eventLoss > 0 && e.random.Float64() < e.settings.eventLoss
	at := e.settings.clock.Now().Add(e.settings.scaled(e.settings.eventDelay))
	e.events.append(kind, k, at, lost)
}
