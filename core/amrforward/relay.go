package amrforward

import (
	"context"
	"errors"
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
	// wholeBytes is the size up to which an answer that is no stream is read
	// whole before the caller gets it, so that one that breaks off can be
	// asked for again.
	wholeBytes = 64 << 10

	// pieceBytes is the size of the buffer that relays a stream.
	pieceBytes = 4 << 10
)

var buffers = sync.Pool{New: func() any { return new([pieceBytes]byte) }}

// errCallerGone says that the caller takes no more of its answer.
var errCallerGone = errors.New("the caller left")

// relay passes an answer on to the caller.
func (x *exchange) relay(ctx context.Context, choice *amrpool.Choice, start time.Time, a *Answer) (done bool, r *refusal) {
	if a.Status >= http.StatusInternalServerError && x.mayRepeat(a) {
		x.excluded = append(x.excluded, choice.Name)
		x.note(choice, start, amrpool.Failed, "status "+strconv.Itoa(a.Status))
		if done, _ := x.again(false, amrreason.EngineLost); !done {
			return false, nil
		}
		return x.finish(ctx, a)
	}
	err := x.pass(a)
	switch {
	case err == nil && a.Status < http.StatusInternalServerError:
		x.note(choice, start, amrpool.Completed, "")
		x.judge(x.f.clock.Now(), choice.Name, amrpool.Completed)
		return true, nil
	case err == nil:
		x.note(choice, start, amrpool.Failed, "status "+strconv.Itoa(a.Status))
		return true, nil
	case errors.Is(err, errCallerGone) || ctx.Err() != nil:
		x.note(choice, start, amrpool.Canceled, err.Error())
		return true, x.ended(ctx)
	}
	x.excluded = append(x.excluded, choice.Name)
	x.note(choice, start, amrpool.Failed, err.Error())
	x.judge(x.f.clock.Now(), choice.Name, amrpool.Failed)
	if x.began && !x.canResume() {
		return true, x.refusal(amrreason.EngineLost, 0, "the answer broke off")
	}
	return x.again(false, amrreason.EngineLost)
}

// mayRepeat reports whether a server's own failure may be answered by another
// server in its place.
func (x *exchange) mayRepeat(a *Answer) bool {
	return x.repeatable && !x.began && a.Status != http.StatusGatewayTimeout && x.ran+1 < x.route.MaxServers
}

// canResume reports whether another server can go on with the answer.
func (x *exchange) canResume() bool {
	return x.route.Kind == amrroute.Stream && x.route.Resumable && x.lastEvent != ""
}

// finish passes on an answer that no other server could replace.
func (x *exchange) finish(ctx context.Context, a *Answer) (done bool, r *refusal) {
	if err := x.pass(a); err != nil {
		if errors.Is(err, errCallerGone) {
			return true, x.ended(ctx)
		}
		return true, x.refusal(amrreason.EngineLost, 0, err.Error())
	}
	return true, nil
}

// pass passes the head and body on.
func (x *exchange) pass(a *Answer) error {
	if x.began {
		if a.Status != http.StatusOK {
			return errors.New("resuming got status " + strconv.Itoa(a.Status))
		}
		return x.stream(a)
	}
	if x.route.Kind == amrroute.Stream && a.Status < http.StatusMultipleChoices {
		return x.stream(a)
	}
	return x.whole(a)
}

// whole passes on an answer that is no stream. A short one is read to its end
// before the caller gets any of it.
func (x *exchange) whole(a *Answer) error {
	data, err := io.ReadAll(io.LimitReader(a.Body, wholeBytes))
	if err != nil {
		return err
	}
	if len(data) < wholeBytes {
		if err := a.complete(len(data)); err != nil {
			return err
		}
		a.Length = int64(len(data))
		x.begin(a)
		return x.write(data)
	}
	x.begin(a)
	if err := x.write(data); err != nil {
		return err
	}
	return x.copy(a.Body, func(p []byte) error { return x.write(p) })
}

// complete checks the number of bytes against the announced length.
func (a *Answer) complete(n int) error {
	if a.Length >= 0 && int64(n) < a.Length {
		return io.ErrUnexpectedEOF
	}
	return nil
}

// stream passes a stream on as it arrives. The head follows with the first
// piece, so that a stream that breaks off before can be asked for again. Of a
// stream that may be resumed only whole events are passed on.
func (x *exchange) stream(a *Answer) error {
	var cutter eventCutter
	whole := x.route.Resumable
	err := x.copy(a.Body, func(p []byte) error {
		if whole {
			p = cutter.take(p)
			if len(p) == 0 {
				return nil
			}
		}
		x.begin(a)
		if err := x.write(p); err != nil {
			return err
		}
		if whole {
			x.lastEvent = cutter.lastID
		}
		return x.flush()
	})
	if err != nil {
		return err
	}
	x.begin(a)
	if rest := cutter.rest(); len(rest) > 0 {
		return x.write(rest)
	}
	return nil
}

// copy hands on the pieces of the body until its end.
func (x *exchange) copy(body io.Reader, take func([]byte) error) error {
	buffer := buffers.Get().(*[pieceBytes]byte)
	defer buffers.Put(buffer)
	for {
		n, err := body.Read(buffer[:])
		if n > 0 {
			if err := take(buffer[:n]); err != nil {
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

// begin writes the head of the answer, once.
func (x *exchange) begin(a *Answer) {
	if x.began {
		return
	}
	x.began = true
	x.status = a.Status
	x.firstByte = x.f.clock.Now()
	header := x.w.Header()
	for name, values := range a.Header {
		header[name] = values
	}
	resumable := x.route.Kind == amrroute.Stream && x.route.Resumable // Its length changes when it is resumed.
	if a.Length >= 0 && !resumable {
		header.Set("Content-Length", strconv.FormatInt(a.Length, 10))
	}
	x.w.WriteHeader(a.Status)
}

func (x *exchange) write(p []byte) error {
	if _, err := x.w.Write(p); err != nil {
		x.writeErr = err
		return errCallerGone
	}
	return nil
}

func (x *exchange) flush() error {
	if err := http.NewResponseController(x.w).Flush(); err != nil {
		x.writeErr = err
		return errCallerGone
	}
	return nil
}
