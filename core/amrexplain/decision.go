// Package amrexplain records for each request which backend servers the router
// considered and chose, or why the request did not run, and describes it in plain
// words. It never records the text of a prompt or an answer.
package amrexplain

import (
	"time"

	"amaranthreach.example/core/amrreason"
)

const (
	maxCandidates = 16  // Candidates kept in one decision.
	maxAttempts   = 16  // Attempts kept in one decision.
	maxDetail     = 200 // Bytes kept of the detail.
)

// Decision describes one request: the decisions of its router and how it ended. It is
// an immutable value, which is stored as JSON.
type Decision struct {
	RequestID        string         `json:"request-id"`
	Team             string         `json:"team"`
	Deployment       string         `json:"deployment"`
	Revision         uint64         `json:"revision"` // Revision of the records that the decision is based on.
	Policy           string         `json:"policy,omitempty"`
	At               time.Time      `json:"at"`   // When the router began to route the request, or refused it; shortly after its arrival.
	Elapsed          time.Duration  `json:"took"` // Time from At to the end of the request, in nanoseconds.
	Outcome          Outcome        `json:"outcome"`
	Reason           amrreason.Code `json:"reason,omitempty"`
	Ran              amrreason.Ran  `json:"ran"`
	Detail           string         `json:"detail,omitempty"` // Name of the field, limit or object that caused the refusal.
	RetryAfter       time.Duration  `json:"retry-after,omitempty"`
	PromptTokens     uint32         `json:"prompt-tokens"`
	CachedTokens     uint32         `json:"cached-tokens"`
	CompletionTokens uint32         `json:"completion-tokens"`
	Candidates       []Candidate    `json:"candidates,omitempty"`
	Attempts         []Attempt      `json:"attempts,omitempty"`
}

// Outcome is the state of a request.
type Outcome string

// Outcomes of requests.
const (
	Running  Outcome = "running"  // Not ended yet.
	Answered Outcome = "answered" // Answered completely.
	Refused  Outcome = "refused"  // Ended without a complete answer.
)

// Candidate is a backend server that the router considered. The best candidate of a
// decision comes first.
type Candidate struct {
	BackendServer string        `json:"backend-server"`
	Cost          time.Duration `json:"cost"` // Estimated cost of running the request there.
	Wait          time.Duration `json:"wait"` // Estimated time in the queue; a part of the cost.
	CachedTokens  uint32        `json:"cached-tokens"`
}

// Attempt is one dispatch of the request to a backend server.
type Attempt struct {
	BackendServer string         `json:"backend-server"`
	After         time.Duration  `json:"after"` // Time from Decision.At until the attempt was accepted, declined or failed.
	Result        AttemptResult  `json:"result"`
	Reason        amrreason.Code `json:"reason,omitempty"`
	Ran           amrreason.Ran  `json:"ran,omitempty"`
}

// AttemptResult is the state of an attempt.
type AttemptResult string

// Results of attempts.
const (
	AttemptAccepted AttemptResult = "accepted" // Not ended yet.
	AttemptFinished AttemptResult = "finished"
	AttemptDeclined AttemptResult = "declined" // The attempt did not run and never will.
	AttemptFailed   AttemptResult = "failed"
)

// truncated returns the decision with the candidates, attempts and detail cut
// to their maximum lengths.
func (d Decision) truncated() Decision {
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
