package amrsidecar

import (
	"context"
	"fmt"

	"amaranthreach.example/core/amrgate"
	"amaranthreach.example/core/amrorder"
	"amaranthreach.example/core/amrreason"
)

// backend is the backend server beside the sidecar.
type backend interface {
	// run runs one attempt and hands over the answer piece by piece. It
	// returns a failure where it knows how far the attempt got.
	run(ctx context.Context, request *amrgate.DispatchRequest, relay func(piece) error) (result, error)

	// order carries out an order and returns when it has ended.
	order(ctx context.Context, order amrorder.Order) error

	// state returns what is known of the backend server.
	state() backendState

	// crashed reports whether the backend server is down, or another process
	// than the incarnation.
	crashed(ctx context.Context, incarnation string) bool

	// watch follows the state until ctx is done.
	watch(ctx context.Context) error
}

// piece is a part of an answer.
type piece struct {
	text   string
	body   []byte
	tokens int
}

// result is how an attempt ended.
type result struct {
	finishReason     string
	promptTokens     int
	cachedTokens     int
	completionTokens int
	status           int
	contentType      string
}

// backendState is what a sidecar knows of its backend server.
type backendState struct {
	ready          bool
	incarnation    string
	weightsVersion string
	batchLimit     int
	cacheBlocks    int
	prefillRate    int // In tokens per second.
}

// failure is an attempt that the backend server did not finish.
type failure struct {
	reason amrreason.Code
	ran    amrreason.Ran
}

// Error returns the reason.
func (f failure) Error() string {
	return fmt.Sprintf("attempt failed: %s (%s)", f.reason, f.ran)
}
