package amrforward

import (
	"context"
	"errors"
	"net/http"

	"amaranthreach.example/core/amrbytes"
	"amaranthreach.example/core/amrreason"
)

// WithHeldBytes sets the account of the bytes that are held for callers. The default is an
// account with amrbytes.DefaultBound.
func WithHeldBytes(a *amrbytes.Account) Option {
	return func(f *Forwarder) { f.held = a }
}

// Hold returns the holder of a new request with n bytes of a body, or nil if so much is
// held that the request must be refused with RefuseHeld. The function breakOff must end
// the request; it must not block.
func (f *Forwarder) Hold(n int64, breakOff func()) *amrbytes.Holder {
	return f.held.Open(n, breakOff)
}

// RefuseHeld answers a request that was not sent to any server, because too many bytes
// are held for others.
func (f *Forwarder) RefuseHeld(ctx context.Context, w http.ResponseWriter, r *Request) {
	x := &exchange{f: f, w: w, request: r, started: f.clock.Now(), startedBoot: f.boot.Now(), table: f.Table()}
	if x.table != nil {
		x.route = x.table.Match(r.Host, r.Path)
	}
	refusal := x.refusal(amrreason.Overloaded, overloadRetry, "the router holds too many bytes for other requests")
	refusal.message = heldMessage
	x.refuse(*refusal)
	x.report(ctx)
}

// heldMessage tells the caller why its request was refused or broken off. The message of
// amrreason.Overloaded says that backend servers are the cause, which is not so here.
const heldMessage = "The router holds as many bytes for requests as its memory allows."

// errBrokenOff reports that the request was broken off, because it held the most bytes.
var errBrokenOff = errors.New("the router holds too many bytes, and the most for this request")

// writeHeld writes the beginning of an answer, which counts as held until the caller has
// received it.
func (x *exchange) writeHeld(p []byte) error {
	n, held := int64(cap(p)), x.request.Held
	if held.TryAhead(n) {
		defer held.ReleaseAhead(n)
		return x.write(p)
	}
	if !held.Add(n) {
		return errBrokenOff
	}
	defer held.Release(n)
	return x.write(p)
}

// holdEvent counts what the splitter buffers of an event that has not ended yet. The bytes
// count until releaseEvent.
func (x *exchange) holdEvent(s *eventSplitter) error {
	grown := cap(s.buffered) - s.counted
	if grown <= 0 {
		return nil
	}
	if !x.request.Held.AddEvent(int64(grown)) {
		return errBrokenOff
	}
	s.counted += grown
	return nil
}

// releaseEvent takes back what holdEvent has counted for the splitter.
func (x *exchange) releaseEvent(s *eventSplitter) {
	x.request.Held.ReleaseEvent(int64(s.counted))
	s.counted = 0
}
