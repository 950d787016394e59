package amrforward

import "bytes"

var eventEnd = []byte("\n\n")

// eventCutter cuts a stream of server-sent events at their ends and keeps the
// id of the last whole event.
type eventCutter struct {
	pending []byte
	lastID  string
}

// take adds a piece of the stream and returns the bytes up to the end of the
// last whole event. They stay valid until the next call.
func (c *eventCutter) take(p []byte) []byte {
	c.pending = append(c.pending, p...)
	end := bytes.LastIndex(c.pending, eventEnd)
	if end < 0 {
		return nil
	}
	end += len(eventEnd)
	whole := bytes.Clone(c.pending[:end])
	c.pending = append(c.pending[:0], c.pending[end:]...)
	c.note(whole)
	return whole
}

// rest returns the bytes after the last whole event.
func (c *eventCutter) rest() []byte {
	return c.pending
}

func (c *eventCutter) note(events []byte) {
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
	c.lastID = string(bytes.TrimSpace(line))
}
