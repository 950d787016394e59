package amrforward

import "bytes"

// eventTerminator is the blank line that ends a server-sent event.
var eventTerminator = []byte("\n\n")

// eventSplitter splits a stream of server-sent events after its last complete
// event and remembers the ID of that event.
type eventSplitter struct {
	buffered []byte // Bytes after the last complete event.
	lastID   string // ID of the last complete event that has one.
}

// push appends p to the stream and returns all bytes up to the end of the last
// complete event that were not returned before. It returns nil if p completes
// no event. The returned slice is a copy.
func (s *eventSplitter) push(p []byte) []byte {
	s.buffered = append(s.buffered, p...)
	end := bytes.LastIndex(s.buffered, eventTerminator)
	if end < 0 {
		return nil
	}
	end += len(eventTerminator)
	events := bytes.Clone(s.buffered[:end])
	s.buffered = append(s.buffered[:0], s.buffered[end:]...)
	s.updateLastID(events)
	return events
}

// remainder returns the bytes after the last complete event.
func (s *eventSplitter) remainder() []byte {
	return s.buffered
}

// updateLastID sets lastID to the last ID in events, if there is one.
func (s *eventSplitter) updateLastID(events []byte) {
	const field = "id:"
	at := bytes.LastIndex(events, []byte("\n"+field))
	switch {
	case at >= 0:
		at += 1 + len(field)
	case bytes.HasPrefix(events, []byte(field)):
		at = len(field)
	default:
		return
	}
	line, _, _ := bytes.Cut(events[at:], []byte("\n"))
	s.lastID = string(bytes.TrimSpace(line))
}
