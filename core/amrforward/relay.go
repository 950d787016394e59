package amrforward

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	"amaranthreach.example/core/amrpool"
	"amaranthreach.example/core/amrreason"
	"amaranthreach.example/core/amrroute"
)

const (
	// maxBufferedBytes is the size below which an answer that is not a stream
	// is read completely before any of it is sent to the caller. If such an
	// answer breaks off, the request can still be sent to another server.
	maxBufferedBytes = 64 << 10

	// copyBufferBytes is the size of the buffers for copying bodies.
	copyBufferBytes = 4 << 10
)

var copyBuffers = sync.Pool{New: func() any { return new([copyBufferBytes]byte) }}

// errCallerGone reports that the answer could not be written to the caller.
var errCallerGone = errors.New("caller disconnected")

// errNotResumed reports that a server did not continue a stream, but answered.
var errNotResumed = errors.New("the server did not resume the stream")

// relayAnswer copies the answer to the caller. It reports whether the request
// is done, and returns its refusal, which is nil if the answer was complete. An
// answer with a server error, or one that breaks off before the caller has
// received anything, may be replaced by that of another server. A resumable
// stream may be continued by another server.
func (x *exchange) relayAnswer(ctx context.Context, choice *amrpool.Choice, start time.Time, a *Answer) (done bool, r *refusal) {
	if a.Status >= http.StatusInternalServerError && x.mayReplace(a) {
		x.excluded = append(x.excluded, choice.Name)
		x.recordSend(choice, start, amrpool.Failed, "status "+strconv.Itoa(a.Status))
		if done, _ := x.decideRetry(false, amrreason.EngineLost); !done {
			return false, nil
		}
		return x.relayFinal(ctx, a)
	}
	err := x.copyAnswer(ctx, a)
	switch {
	case err == nil && a.Status < http.StatusInternalServerError:
		x.recordSend(choice, start, amrpool.Completed, "")
		x.updateStrikes(x.f.clock.Now(), choice.Name, amrpool.Completed)
		return true, nil
	case err == nil:
		x.recordSend(choice, start, amrpool.Failed, "status "+strconv.Itoa(a.Status))
		return true, nil
	case isLateStart(ctx):
		return x.handleLateStart(choice, start, false)
	case errors.Is(err, errCallerGone) || ctx.Err() != nil:
		x.recordSend(choice, start, amrpool.Canceled, err.Error())
		return true, x.refusalForContext(ctx)
	}
	x.excluded = append(x.excluded, choice.Name)
	x.recordSend(choice, start, amrpool.Failed, err.Error())
	if !errors.Is(err, errNotResumed) && !errors.Is(err, errEventTooLarge) {
		x.updateStrikes(x.f.clock.Now(), choice.Name, amrpool.Failed)
	}
	if r := x.checkBeginning(ctx); r != nil {
		return true, r
	}
	if x.headerWritten && !x.canResume() {
		return true, x.refusal(amrreason.EngineLost, 0, "the answer was truncated")
	}
	return x.decideRetry(false, amrreason.EngineLost)
}

// mayReplace reports whether the request may be sent to another server instead
// of relaying an answer with a server error. An answer with status 504 is
// always relayed.
func (x *exchange) mayReplace(a *Answer) bool {
	return x.retryable && !x.headerWritten && a.Status != http.StatusGatewayTimeout && x.possibleRuns+1 < x.route.MaxServers
}

// canResume reports whether another server can continue the answer after the
// last event that the caller has received.
func (x *exchange) canResume() bool {
	return x.resumable() && x.lastEventID != ""
}

// relayFinal copies to the caller an answer with a server error after which no
// retry is allowed.
func (x *exchange) relayFinal(ctx context.Context, a *Answer) (done bool, r *refusal) {
	if err := x.copyAnswer(ctx, a); err != nil {
		if errors.Is(err, errCallerGone) {
			return true, x.refusalForContext(ctx)
		}
		return true, x.refusal(amrreason.EngineLost, 0, err.Error())
	}
	return true, nil
}

// copyAnswer writes the header and the body of the answer to the caller. If
// the header is already written, the answer must be the rest of a resumed
// stream. The error is errCallerGone if the caller disconnected.
func (x *exchange) copyAnswer(ctx context.Context, a *Answer) error {
	if x.request.Held != nil {
		x.ahead = x.newReadAhead(a.Body)
		a.Body = x.ahead
	}
	if x.headerWritten {
		if a.Status != http.StatusOK {
			return fmt.Errorf("%w: status %d", errNotResumed, a.Status)
		}
		return x.copyStream(ctx, a)
	}
	if x.route.Kind == amrroute.Stream && a.Status < http.StatusMultipleChoices {
		return x.copyStream(ctx, a)
	}
	return x.copyUnstreamed(a)
}

// copyUnstreamed copies an answer that is not a stream. An answer shorter than
// maxBufferedBytes is read to its end before any of it is written.
func (x *exchange) copyUnstreamed(a *Answer) error {
	data, err := io.ReadAll(io.LimitReader(a.Body, maxBufferedBytes))
	if err != nil {
		return err
	}
	if len(data) < maxBufferedBytes {
		if err := a.checkLength(len(data)); err != nil {
			return err
		}
		a.Length = int64(len(data))
		x.writeHeader(a)
		return x.writeHeld(data)
	}
	x.writeHeader(a)
	if err := x.writeHeld(data); err != nil {
		return err
	}
	return x.copyBody(a.Body, func(p []byte) error { return x.write(p) })
}

// checkLength returns io.ErrUnexpectedEOF if a body of n bytes is shorter than
// the announced length.
func (a *Answer) checkLength(n int) error {
	if a.Length >= 0 && int64(n) < a.Length {
		return io.ErrUnexpectedEOF
	}
	return nil
}

// copyStream copies a stream as it arrives. It writes the header together with
// the first bytes of the body, so that the request can still be sent to another
// server if the stream breaks off before. On a resumable route it writes only
// complete events until the stream has ended, because another server can only
// continue after a complete event. It returns an error if the end shows that the
// stream broke off, also where the server marked the end as that of the answer.
func (x *exchange) copyStream(ctx context.Context, a *Answer) error {
	// Another server may continue the stream, and a caller that has received all
	// bytes could not be told that the last event is incomplete.
	a.Length = -1
	var splitter eventSplitter
	defer x.releaseEvent(&splitter)
	resumable := x.route.Resumable
	events := hasEvents(a.Header)
	err := x.copyBody(a.Body, func(p []byte) error {
		x.recordStart()
		switch {
		case resumable:
			events, err := splitter.push(p)
			if err != nil {
				return err
			}
			p = events
			if err := x.holdEvent(&splitter); err != nil {
				return err
			}
			if len(p) == 0 {
				return nil
			}
		case events:
			splitter.tracker.push(p)
		}
		if x.begunAt.IsZero() {
			x.begunAt = x.f.clock.Now()
			if resumable {
				x.recordOrigin(ctx)
			}
		}
		x.writeHeader(a)
		if err := x.write(p); err != nil {
			return err
		}
		if resumable {
			x.lastEventID = splitter.lastID
		}
		return x.flush()
	})
	if err != nil {
		return err
	}
	if events {
		if err := splitter.tracker.checkEnd(a.EndsWithConnection); err != nil {
			return err
		}
	}
	x.writeHeader(a)
	if remainder := splitter.remainder(); len(remainder) > 0 {
		return x.write(remainder)
	}
	return nil
}

// copyBody reads the body to its end and calls write with the bytes of each
// read.
func (x *exchange) copyBody(body io.Reader, write func([]byte) error) error {
	buffer := copyBuffers.Get().(*[copyBufferBytes]byte)
	defer copyBuffers.Put(buffer)
	for {
		n, err := body.Read(buffer[:])
		if n > 0 {
			if err := write(buffer[:n]); err != nil {
				return err
			}
		}
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
	}
}

// writeMargin is the time after the deadline of a request in which its answer may
// still be written.
const writeMargin = 250 * time.Millisecond

// limitWrites limits the time for which a caller that does not read its answer can
// hold up the request.
func (x *exchange) limitWrites() {
	x.setWriteDeadline(x.deadline.Add(writeMargin))
}

// beginAnswer extends the time to write an answer that begins late, so that at least the time
// least is left: the body of the request may have arrived after the deadline, or the processor
// may have been busy. A connection whose write deadline has passed would be closed without an
// answer.
func (x *exchange) beginAnswer(least time.Duration) {
	now := x.f.clock.Now()
	if until := now.Add(least); x.deadline.IsZero() || until.After(x.deadline.Add(writeMargin)) {
		x.setWriteDeadline(until)
	}
}

// setWriteDeadline sets the time until which the answer may be written.
func (x *exchange) setWriteDeadline(at time.Time) {
	err := http.NewResponseController(x.w).SetWriteDeadline(at)
	if err != nil && !errors.Is(err, http.ErrNotSupported) {
		x.f.log.Warn("cannot limit the time to write an answer", "id", x.request.ID, "err", err)
	}
}

// writeHeader writes the header of the answer unless one has been written.
func (x *exchange) writeHeader(a *Answer) {
	if x.headerWritten {
		return
	}
	x.headerWritten = true
	x.beginAnswer(writeMargin)
	x.status = a.Status
	x.firstByte = x.f.clock.Now()
	header := x.w.Header()
	for name, values := range a.Header {
		header[name] = values
	}
	if a.Length >= 0 {
		header.Set("Content-Length", strconv.FormatInt(a.Length, 10))
	}
	x.w.WriteHeader(a.Status)
}

func (x *exchange) write(p []byte) error {
	if x.ahead != nil {
		x.ahead.beginWrite()
		defer x.ahead.endWrite()
	}
	if _, err := x.w.Write(p); err != nil {
		x.writeErr = err
		return errCallerGone
	}
	return nil
}

// deliver sends what has been written of an answer, and logs if the caller cannot get it. ctx
// ends when the caller disconnects.
func (x *exchange) deliver(ctx context.Context) {
	err := http.NewResponseController(x.w).Flush()
	if err == nil || errors.Is(err, http.ErrNotSupported) || x.writeErr != nil || ctx.Err() != nil {
		return
	}
	x.f.log.Warn("answer could not be delivered", "id", x.request.ID, "status", x.status, "err", err)
}

func (x *exchange) flush() error {
	if x.ahead != nil {
		x.ahead.beginWrite()
		defer x.ahead.endWrite()
	}
	if err := http.NewResponseController(x.w).Flush(); err != nil {
		x.writeErr = err
		return errCallerGone
	}
	return nil
}
