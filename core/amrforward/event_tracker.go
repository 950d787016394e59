package amrforward

import (
	"errors"
	"mime"
	"net/http"
)

var (
	errInsideEvent = errors.New("the stream ended inside an event")
	errNoEvent     = errors.New("the connection ended before the first event of the stream")
)

// eventTracker follows the lines of a stream of server-sent events. A line ends
// with a line feed, a carriage return or both, and an event ends with an empty
// line. The zero value is at the beginning of a stream.
type eventTracker struct {
	inLine  bool // The last line has not ended.
	inEvent bool // A line of an event has begun since the last empty line. Comments are not part of events.
	afterCR bool // The last byte is a carriage return.
	events  bool // An event has ended.
}

// push follows the next bytes of the stream. It returns the number of bytes up to
// the last position between two events, or 0 if there is none among them.
func (t *eventTracker) push(p []byte) int {
	end := 0
	for i, b := range p {
		switch {
		case b == '\n' && t.afterCR:
			t.afterCR = false
		case b == '\n' || b == '\r':
			t.endLine()
			t.afterCR = b == '\r'
		default:
			t.inEvent = t.inEvent || !t.inLine && b != ':'
			t.inLine = true
			t.afterCR = false
		}
		if t.betweenEvents() {
			end = i + 1
		}
	}
	return end
}

// endLine updates the state at the end of a line.
func (t *eventTracker) endLine() {
	if !t.inLine {
		t.events = t.events || t.inEvent
		t.inEvent = false
	}
	t.inLine = false
}

// betweenEvents reports whether the stream may end here.
func (t *eventTracker) betweenEvents() bool {
	return !t.inLine && !t.inEvent
}

// checkEnd returns an error if the end of the stream shows that it broke off: it
// ended inside an event, or, if only the end of the connection marks its end, without
// any event.
func (t *eventTracker) checkEnd(endsWithConnection bool) error {
	switch {
	case !t.betweenEvents():
		return errInsideEvent
	case endsWithConnection && !t.events:
		return errNoEvent
	}
	return nil
}

// hasEvents reports whether the answer with the header is a stream of server-sent
// events. An answer without a content type counts as one.
func hasEvents(h http.Header) bool {
	text := h.Get("Content-Type")
	mediaType, _, err := mime.ParseMediaType(text)
	return text == "" || err == nil && mediaType == "text/event-stream"
}
