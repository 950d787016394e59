// Package amrledger executes non-idempotent requests at most once.
//
// Before a router dispatches a request, it writes a claim on the request's
// idempotency key to the platform's table. The claim names the one sidecar
// process that may execute it by the incarnation of the process. A request
// whose key is already claimed returns the recorded answer of that claim if
// there is one. Otherwise it asks the named sidecar to seal the claim. While
// the claim is running, the request waits for its answer. A sealed claim that
// has not started can never start, so a new claim may replace it. When it
// cannot be determined whether a claim was executed, the request is refused
// with an unknown outcome and is not executed again.
//
// Execution is the state machine of the router and Claims that of the sidecar.
// Both are deterministic and do no I/O. Ledger drives an Execution by calling
// the platform's table and object store and the sidecars.
package amrledger
