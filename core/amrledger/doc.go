// Package amrledger makes non-idempotent work run at most once.
//
// A router claims the idempotency key of a request in the platform's table
// before it dispatches the request. The claim names the one sidecar process
// that may run it. A request that finds the claim of another one joins it,
// takes over its answer, or asks the named sidecar to seal it; only a sealed
// claim that never ran gives way to a new one. Whatever cannot be told is
// refused as unknown and is not run again.
//
// Execution is the deterministic core of the router's side, and Claims that of
// the sidecar's side. Ledger carries an Execution over the platform's services.
package amrledger
