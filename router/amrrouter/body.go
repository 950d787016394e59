package amrrouter

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"

	"amaranthreach.example/core/amrgate"
	"amaranthreach.example/core/amrreason"
	"amaranthreach.example/core/amrsse"
)

const doneMarker = "[DONE]"

// body writes the answer of a session.
type body struct {
	ctx     context.Context //nolint:containedctx // The body lives as long as the call.
	session *session
	format  format
	first   answerEvent
	whole   bytes.Buffer
	end     *amrgate.End
}

func newBody(ctx context.Context, s *session, f format, first answerEvent) *body {
	return &body{ctx: ctx, session: s, format: f, first: first}
}

// collect reads the whole answer.
func (b *body) collect() *refusal {
	event := b.first
	for event.end == nil {
		b.whole.WriteString(event.text)
		b.whole.Write(event.body)
		var refused *refusal
		event, refused = b.session.next(b.ctx)
		if refused != nil {
			return refused
		}
	}
	b.end = event.end
	return nil
}

func (b *body) contentType() string {
	if b.end == nil {
		return contentTypeEvents
	}
	return b.format.contentType(b.end)
}

// status returns the status of a plain service's answer, or 0.
func (b *body) status() int {
	return int(b.end.GetStatus())
}

// WriteTo writes the whole answer, or the events of a streamed one.
func (b *body) WriteTo(w io.Writer) (int64, error) {
	counter := &countingWriter{Writer: w}
	if b.end != nil {
		_, err := counter.Write(b.format.whole(b.session.request, b.whole.String(), b.end))
		return counter.n, err
	}
	return counter.n, b.stream(counter)
}

// stream writes events up to an explicit end or error event.
func (b *body) stream(w *countingWriter) error {
	event := b.first
	for event.end == nil {
		if err := b.event(w, b.format.chunk(b.session.request, event.text)); err != nil {
			return err
		}
		var refused *refusal
		event, refused = b.session.next(b.ctx)
		if refused != nil {
			_ = b.session.router.refused(b.session.request.id, b.session.request.team, refused)
			return b.event(w, errorEvent(refused, b.session.request.id))
		}
	}
	if err := b.event(w, b.format.end(b.session.request, event.end)); err != nil {
		return err
	}
	return b.event(w, []byte(doneMarker))
}

func (b *body) event(w *countingWriter, data []byte) error {
	if err := amrsse.Write(w, data); err != nil {
		return err
	}
	writer, ok := w.Writer.(http.ResponseWriter)
	if !ok {
		return nil
	}
	return http.NewResponseController(writer).Flush()
}

// Read is not used: WriteTo writes the answer.
func (b *body) Read([]byte) (int, error) {
	return 0, io.EOF
}

// Close cancels what is still in progress. A request that is not at its end
// was given up by its caller.
func (b *body) Close() error {
	_ = b.session.give(refuse(amrreason.Canceled, ""))
	return nil
}

func errorEvent(refused *refusal, id string) []byte {
	return marshal(bodyOf(refused.message(id)))
}

func marshal(v any) []byte {
	data, err := json.Marshal(v)
	if err != nil {
		panic(err) // The types of this package always marshal.
	}
	return data
}

type countingWriter struct {
	io.Writer
	n int64
}

// Write writes p and counts what was written.
func (w *countingWriter) Write(p []byte) (int, error) {
	n, err := w.Writer.Write(p)
	w.n += int64(n)
	return n, err
}
