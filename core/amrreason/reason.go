// Package amrreason defines the reason codes of refused requests and declined
// attempts. Each reason has an HTTP status, a message and a remedy, and states
// whether the request ran on a backend server.
package amrreason

import "net/http"

// Code identifies a reason in responses and logs.
type Code string

// The codes of all reasons.
const (
	BadRequest             Code = "bad-request"
	TooLarge               Code = "request-too-large"
	ExceedsServerMemory    Code = "exceeds-server-memory"
	NotReady               Code = "not-ready"
	Unauthorized           Code = "unauthorized"
	Forbidden              Code = "forbidden"
	UnknownDeployment      Code = "unknown-deployment"
	NoBackendServer        Code = "no-backend-server"
	Overloaded             Code = "overloaded"
	CostAboveBound         Code = "costs-less-elsewhere"
	TeamLimit              Code = "team-limit"
	DeadlineExceeded       Code = "deadline-exceeded"
	Draining               Code = "draining"
	StaleConfiguration     Code = "stale-configuration"
	WrongWeights           Code = "wrong-weights"
	UnknownStream          Code = "unknown-stream"
	EngineUnavailable      Code = "engine-unavailable"
	EngineLost             Code = "engine-lost"
	CrashSuspect           Code = "crash-suspect"
	Quarantined            Code = "quarantined"
	QuarantinedPart        Code = "quarantined-part"
	IdempotencyKeyRequired Code = "idempotency-key-required"
	IdempotencyKeyReused   Code = "idempotency-key-reused"
	LedgerUnavailable      Code = "ledger-unavailable"
	OutcomeUnknown         Code = "outcome-unknown"
	WrongIncarnation       Code = "wrong-incarnation"
	ClaimExpired           Code = "claim-expired"
	Canceled               Code = "canceled"
	Internal               Code = "internal"
)

// Ran states whether a refused request ran on a backend server, and thus whether
// it is safe to send a non-idempotent request again.
type Ran string

// The values of Ran.
const (
	NotRun     Ran = "not-run" // The request did not run.
	DidRun     Ran = "ran"     // The request ran.
	RunUnknown Ran = "unknown" // The request may have run.
)

// Reason describes a code to callers and operators.
type Reason struct {
	Code    Code
	Ran     Ran    // Default for a refusal; an attempt that reached a backend server may override it.
	Status  int    // HTTP status of the refusal.
	Message string // Description of the reason, one sentence.
	Remedy  string // Action for the caller or the operator.
}

// reasons lists the reason of each code, in the order of the operators' table.
var reasons = []Reason{
	{BadRequest, NotRun, http.StatusBadRequest, "The request is not valid.", "Correct the field that the detail names and send it again."},
	{TooLarge, NotRun, http.StatusRequestEntityTooLarge, "The request has more bytes than the router takes.", "Send a shorter request."},
	{ExceedsServerMemory, NotRun, http.StatusRequestEntityTooLarge, "The request takes more memory than any backend server has.", "Send a shorter prompt, or ask for a shorter answer."},
	{NotReady, NotRun, http.StatusServiceUnavailable, "The router has no configuration yet.", "Send it again; another router takes it."},
	{Unauthorized, NotRun, http.StatusUnauthorized, "The bearer key belongs to no team.", "Send the key of a team in the Authorization header."},
	{Forbidden, NotRun, http.StatusForbidden, "The team may not use this deployment.", "Ask an operator to add the team to the deployment."},
	{UnknownDeployment, NotRun, http.StatusNotFound, "No deployment has this name.", "Name a deployment that exists."},
	{NoBackendServer, NotRun, http.StatusServiceUnavailable, "No backend server of the deployment can take work now.", "Try again after the time in Retry-After."},
	{Overloaded, NotRun, http.StatusServiceUnavailable, "Every suitable backend server has more work than it can finish in time.", "Try again after the time in Retry-After."},
	{CostAboveBound, NotRun, http.StatusServiceUnavailable, "Another backend server was expected to answer sooner or to recompute less.", "None needed; the router tries the other one."},
	{TeamLimit, NotRun, http.StatusTooManyRequests, "The team has used up its limit.", "Send fewer requests, or ask an operator to raise the limit."},
	{DeadlineExceeded, NotRun, http.StatusGatewayTimeout, "The deadline passed before the request could run.", "Send it again with a longer deadline."},
	{Draining, NotRun, http.StatusServiceUnavailable, "The server is leaving and takes no new work.", "Send it again; another server takes it."},
	{StaleConfiguration, NotRun, http.StatusServiceUnavailable, "The router's configuration is older than the one in force.", "Send it again; the router is catching up."},
	{WrongWeights, NotRun, http.StatusServiceUnavailable, "The backend server does not hold the weights in force.", "Send it again after the time in Retry-After."},
	{UnknownStream, NotRun, http.StatusServiceUnavailable, "No router knows which version of the servers' software began the stream, and it can go on only at that one.", "Send it again after the time in Retry-After, or from the beginning."},
	{EngineUnavailable, NotRun, http.StatusServiceUnavailable, "The backend server does not answer.", "Send it again after the time in Retry-After."},
	{EngineLost, RunUnknown, http.StatusBadGateway, "The backend server was lost while the request ran.", "Send it again with the same idempotency key."},
	{CrashSuspect, NotRun, http.StatusServiceUnavailable, "A backend server crashed while it ran this request, which now runs only alone, once at a time.", "Send it again after the time in Retry-After."},
	{Quarantined, NotRun, http.StatusUnprocessableEntity, "The request was running on two backend servers when they crashed.", "Change the request, or ask an operator to lift the quarantine."},
	{QuarantinedPart, NotRun, http.StatusServiceUnavailable, "Backend servers crashed while they ran different prompts that have a part in common with this one.", "Send it without that part, or again after the time in Retry-After."},
	{IdempotencyKeyRequired, NotRun, http.StatusBadRequest, "A non-idempotent request needs an idempotency key.", "Send it with an Idempotency-Key header."},
	{IdempotencyKeyReused, NotRun, http.StatusConflict, "The idempotency key was used for another request.", "Use a new key for a new request."},
	{LedgerUnavailable, RunUnknown, http.StatusServiceUnavailable, "The table service that keeps non-idempotent work from running twice is out.", "Send it again with the same key after the time in Retry-After."},
	{OutcomeUnknown, RunUnknown, http.StatusConflict, "Whether the request ran cannot be told now.", "Ask again with the same key; it will not run a second time."},
	{WrongIncarnation, NotRun, http.StatusServiceUnavailable, "The sidecar restarted since the request was meant for it.", "Send it again."},
	{ClaimExpired, NotRun, http.StatusServiceUnavailable, "The time to start the request passed before it reached its backend server.", "Send it again with the same key."},
	{Canceled, RunUnknown, 499, "The caller went away.", "None needed."},
	{Internal, RunUnknown, http.StatusInternalServerError, "The system failed in a way that it does not know.", "Report the request id to the operators."},
}

// All returns a copy of the list of all reasons.
func All() []Reason {
	return append([]Reason(nil), reasons...)
}

// Lookup returns the reason with the code, or the reason of Internal if the code is
// not defined.
func Lookup(code Code) Reason {
	var internal Reason
	for _, r := range reasons {
		if r.Code == code {
			return r
		}
		if r.Code == Internal {
			internal = r
		}
	}
	return internal
}
