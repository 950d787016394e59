// Package amrexplain keeps why each request went where it did, or why it did
// not run, and tells it in plain words. The text of a prompt or an answer is
// never part of it.
package amrexplain

import (
	"time"

	"amaranthreach.example/core/amrreason"
)

const (
	maxCandidates = 16  // In one decision.
	maxAttempts   = 16  // In one decision.
	maxDetail     = 200 // Bytes.
)

// Decision is what was decided on one request. It is an immutable value.
type Decision struct {
	RequestID        string         `json:"request-id"`
	Team             string         `json:"team"`
	Deployment       string         `json:"deployment"`
	Revision         uint64         `json:"revision"` // Of the configuration decided by.
	Policy           string         `json:"policy,omitempty"`
	At               time.Time      `json:"at"`
	Took             time.Duration  `json:"took"` // In nanoseconds.
	Outcome          Outcome        `json:"outcome"`
	Reason           amrreason.Code `json:"reason,omitempty"`
	Ran              amrreason.Ran  `json:"ran"`
	Detail           string         `json:"detail,omitempty"` // The field, limit or name in question.
	RetryAfter       time.Duration  `json:"retry-after,omitempty"`
	PromptTokens     uint32         `json:"prompt-tokens"`
	CachedTokens     uint32         `json:"cached-tokens"`
	CompletionTokens uint32         `json:"completion-tokens"`
	Candidates       []Candidate    `json:"candidates,omitempty"`
	Attempts         []Attempt      `json:"attempts,omitempty"`
}

// Outcome says how a request ended.
type Outcome string

// The outcomes.
const (
	Running  Outcome = "running"
	Answered Outcome = "answered"
	Refused  Outcome = "refused"
)

// Candidate is a backend server that was weighed, the best first.
type Candidate struct {
	BackendServer string        `json:"backend-server"`
	Cost          time.Duration `json:"cost"`
	Wait          time.Duration `json:"wait"` // Part of the cost.
	CachedTokens  uint32        `json:"cached-tokens"`
}

// Attempt is one dispatch to a backend server.
type Attempt struct {
	BackendServer string         `json:"backend-server"`
	After         time.Duration  `json:"after"` // Since the request came.
	Result        AttemptResult  `json:"result"`
	Reason        amrreason.Code `json:"reason,omitempty"`
	Ran           amrreason.Ran  `json:"ran,omitempty"`
}

// AttemptResult says how an attempt ended.
type AttemptResult string

// The results of attempts.
const (
	AttemptAccepted AttemptResult = "accepted" // Not ended yet.
	AttemptFinished AttemptResult = "finished"
	AttemptDeclined AttemptResult = "declined" // It did not run and never will.
	AttemptFailed   AttemptResult = "failed"
)

// bounded returns the decision without what goes beyond the bounds.
func (d Decision) bounded() Decision {
	if len(d.Candidates) > maxCandidates {
		d.Candidates = d.Candidates[:maxCandidates]
	}
	if len(d.Attempts) > maxAttempts {
		d.Attempts = d.Attempts[:maxAttempts]
	}
	if len(d.Detail) > maxDetail {
		d.Detail = d.Detail[:maxDetail]
	}
	return d
}
