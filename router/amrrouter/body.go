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

// doneEvent is the data of the event that follows the last event of a streamed
// response.
const doneEvent = "[DONE]"

// body is the response body of a session. For a streamed response it reads the
// session while it writes; for any other response, readAll reads the session
// first. It is an io.ReadCloser, as the generated code requires, and an
// io.WriterTo, which that code uses.
type body struct {
	ctx            context.Context //nolint:containedctx // A body is used only during its call.
	session        *session
	responseFormat responseFormat
	firstEvent     responseEvent // Was read from the session already.
	fullBody       bytes.Buffer  // Text or body that readAll has read.
	end            *amrgate.End  // Set by readAll; nil for a streamed response.
}

// newBody returns the response body of a session of which firstEvent has been read.
func newBody(ctx context.Context, s *session, f responseFormat, firstEvent responseEvent) *body {
	return &body{ctx: ctx, session: s, responseFormat: f, firstEvent: firstEvent}
}

// readAll reads the session to its end, before anything is sent to the caller. It
// returns the refusal if the session ends in one.
func (b *body) readAll() *refusal {
	event := b.firstEvent
	for event.end == nil {
		b.fullBody.WriteString(event.text)
		b.fullBody.Write(event.body)
		var refused *refusal
		event, refused = b.session.nextEvent(b.ctx)
		if refused != nil {
			return refused
		}
	}
	b.end = event.end
	return nil
}

// contentType returns the content type of the response.
func (b *body) contentType() string {
	if b.end == nil {
		return contentTypeEvents
	}
	return b.responseFormat.contentType(b.end)
}

// status returns the HTTP status of the response of a plain service. It returns
// 0 for a streamed response and for a model, whose responses have the status
// that the API design defines.
func (b *body) status() int {
	return int(b.end.GetStatus())
}

// WriteTo implements io.WriterTo. It writes the complete response after readAll,
// and the events of a streamed response otherwise.
func (b *body) WriteTo(w io.Writer) (int64, error) {
	counter := &countingWriter{Writer: w}
	if b.end != nil {
		_, err := counter.Write(b.responseFormat.fullBody(b.session.request, b.fullBody.String(), b.end))
		return counter.n, err
	}
	return counter.n, b.writeEvents(counter)
}

// writeEvents writes one event for each part of the response. A complete
// response ends with the event that responseFormat.end returns and doneEvent,
// and a failed one with an error event, so that the caller can tell a failure
// from a response that was cut off.
func (b *body) writeEvents(w *countingWriter) error {
	event := b.firstEvent
	for event.end == nil {
		if err := b.writeEvent(w, b.responseFormat.chunk(b.session.request, event.text)); err != nil {
			return err
		}
		var refused *refusal
		event, refused = b.session.nextEvent(b.ctx)
		if refused != nil {
			_ = b.session.router.recordRefusal(b.session.request.id, b.session.request.team, refused)
			return b.writeEvent(w, errorEvent(refused, b.session.request.id))
		}
	}
	if err := b.writeEvent(w, b.responseFormat.end(b.session.request, event.end)); err != nil {
		return err
	}
	return b.writeEvent(w, []byte(doneEvent))
}

// writeEvent writes data as one server-sent event and flushes it to the caller.
func (b *body) writeEvent(w *countingWriter, data []byte) error {
	if err := amrsse.WriteEvent(w, data); err != nil {
		return err
	}
	writer, ok := w.Writer.(http.ResponseWriter)
	if !ok {
		return nil
	}
	return http.NewResponseController(writer).Flush()
}

// Read implements io.Reader. It returns no data, because the response is written
// by WriteTo.
func (b *body) Read([]byte) (int, error) {
	return 0, io.EOF
}

// Close cancels the attempts in progress. If the session has not ended, the
// caller has closed the connection, so the request is recorded as canceled.
func (b *body) Close() error {
	_ = b.session.refuse(newRefusal(amrreason.Canceled, ""))
	return nil
}

// errorEvent returns the data of the event that reports a refusal in a streamed
// response.
func errorEvent(refused *refusal, id string) []byte {
	return mustMarshal(newRefusalBody(refused.callersRefusal(id)))
}

// mustMarshal returns v as JSON. It panics if v cannot be marshaled.
func mustMarshal(v any) []byte {
	data, err := json.Marshal(v)
	if err != nil {
		panic(err) // No type that this package passes can fail to marshal.
	}
	return data
}

// countingWriter counts the bytes written to the underlying writer.
type countingWriter struct {
	io.Writer
	n int64
}

// Write implements io.Writer.
func (w *countingWriter) Write(p []byte) (int, error) {
	n, err := w.Writer.Write(p)
	w.n += int64(n)
	return n, err
}
