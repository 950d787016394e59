package amrsidecar

import (
	"context"
	"fmt"

	"amaranthreach.example/core/amrgate"
	"amaranthreach.example/core/amrorder"
	"amaranthreach.example/core/amrreason"
)

// backend is the backend server that the sidecar runs requests at. It is safe for
// concurrent use.
type backend interface {
	// run runs one attempt and passes each chunk of the answer to relay. It
	// stops and returns the error if relay returns one. If the attempt does
	// not finish for another reason, the error is an attemptError, or may be
	// that of ctx if ctx is done.
	run(ctx context.Context, request *amrgate.DispatchRequest, relay func(answerChunk) error) (attemptResult, error)

	// order executes an order, such as one to load weights, and returns when
	// it has been executed or has failed.
	order(ctx context.Context, order amrorder.Order) error

	// state returns the last known state of the backend server.
	state() backendState

	// crashed reports whether the process with the incarnation has gone: the
	// backend server is down or runs as another incarnation.
	crashed(ctx context.Context, incarnation string) bool

	// watch keeps the state up to date until ctx is done.
	watch(ctx context.Context) error
}

// answerChunk is a part of an answer: text from a model engine, or bytes of the
// response body from a plain service.
type answerChunk struct {
	text   string
	body   []byte
	tokens int
}

// attemptResult describes an attempt that the backend server finished. The
// status and the content type are set by a plain service, the other fields by a
// model engine.
type attemptResult struct {
	finishReason     string
	promptTokens     int
	cachedTokens     int // Prompt tokens found in the engine's cache.
	completionTokens int
	status           int // HTTP status.
	contentType      string
}

// backendState is the state of a backend server as last seen by its sidecar.
type backendState struct {
	ready          bool
	incarnation    string // Identifies the process; empty if not known.
	weightsVersion string // Empty if not known.
	batchLimit     int    // Maximum number of requests that run at the same time.
	cacheBlocks    int    // Capacity of the cache, in blocks of a prompt.
	prefillRate    int    // In prompt tokens per second.
}

// attemptError describes an attempt that the backend server did not finish, and
// whether it ran.
type attemptError struct {
	reason amrreason.Code
	ran    amrreason.Ran
	cause  error // What went wrong on the connection to the backend server; nil if nothing did.
}

// Error returns the reason and whether the attempt ran.
func (e attemptError) Error() string {
	return fmt.Sprintf("attempt failed: %s (%s)", e.reason, e.ran)
}
