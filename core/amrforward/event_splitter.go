package amrforward

import (
	"bytes"
	"fmt"

	"amaranthreach.example/core/amrsse"
)

const (
	// maxEventBytes is the largest size of an event, comments within it included. A server
	// in trouble may send events without end.
	maxEventBytes = amrsse.MaxEventBytes

	// maxEventIDBytes is the longest ID of an event after which a stream can be resumed. A
	// longer one does not fit into the header of the request to the next server.
	maxEventIDBytes = 4 << 10
)

// errEventTooLarge reports that a stream holds an event larger than maxEventBytes.
var errEventTooLarge = fmt.Errorf("an event of the stream is larger than %d bytes", maxEventBytes)

// eventSplitter splits a stream of server-sent events after its last complete
// event and remembers the ID of that event.
type eventSplitter struct {
	tracker  eventTracker
	buffered []byte // Bytes after the last complete event.
	lastID   string // ID of the last complete event that has one; empty if it is longer than maxEventIDBytes.
	counted  int    // Capacity of buffered that counts as held.
}

// push appends p to the stream and returns all bytes up to the end of the last
// complete event that were not returned before. It returns nil if p completes
// no event. The returned slice is a copy. The error is errEventTooLarge if the event
// after them is too large.
func (s *eventSplitter) push(p []byte) ([]byte, error) {
	held := len(s.buffered)
	s.buffered = append(s.buffered, p...)
	end := s.tracker.push(p)
	if end > 0 {
		end += held
	}
	if len(s.buffered)-end > maxEventBytes {
		return nil, errEventTooLarge
	}
	if end == 0 {
		return nil, nil
	}
	events := bytes.Clone(s.buffered[:end])
	s.buffered = append(s.buffered[:0], s.buffered[end:]...)
	s.updateLastID(events)
	return events, nil
}

// setLastID sets lastID unless the ID is too long.
func (s *eventSplitter) setLastID(id []byte) {
	s.lastID = ""
	if len(id) <= maxEventIDBytes {
		s.lastID = string(id)
	}
}

// remainder returns the bytes after the last complete event.
func (s *eventSplitter) remainder() []byte {
	return s.buffered
}

// updateLastID sets lastID to the last ID in events, if there is one.
func (s *eventSplitter) updateLastID(events []byte) {
	isLineEnd := func(r rune) bool { return r == '\n' || r == '\r' }
	for line := range bytes.FieldsFuncSeq(events, isLineEnd) {
		if id, ok := bytes.CutPrefix(line, []byte("id:")); ok {
			s.setLastID(bytes.TrimSpace(id))
		}
	}
}
