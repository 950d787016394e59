// Package amrsse reads and writes server-sent events in the subset that model
// engines use: events that consist of data lines. Other fields and comments are
// ignored.
package amrsse

import (
	"bufio"
	"bytes"
	"errors"
	"io"

	"github.com/joomcode/errorx"
)

// MaxEventBytes is the limit in bytes on the data of an event that a Reader
// accepts, and on the length of each line.
const MaxEventBytes = 1 << 20

var namespace = errorx.NewNamespace("sse")

// TooLarge is the type of errors for an event or a line that exceeds
// MaxEventBytes. The stream should be closed after it.
var TooLarge = namespace.NewType("too-large")

// Reader reads events from a stream.
type Reader struct {
	scanner *bufio.Scanner
}

// NewReader returns a Reader that reads from r.
func NewReader(r io.Reader) *Reader {
	scanner := bufio.NewScanner(r)
	scanner.Buffer(make([]byte, 0, 4096), MaxEventBytes)
	return &Reader{scanner: scanner}
}

// Next returns the data of the next event, with the values of its data lines
// joined by newlines. It returns io.EOF if the stream has ended between events,
// io.ErrUnexpectedEOF if it has ended within an event, and an error of type
// TooLarge if an event or a line exceeds MaxEventBytes.
func (r *Reader) Next() ([]byte, error) {
	var data []byte
	var lines int
	for r.scanner.Scan() {
		line := r.scanner.Bytes() // Without the newline and a carriage return before it.
		if len(line) == 0 {
			if lines > 0 {
				return data, nil
			}
			continue
		}
		value, ok := dataValue(line)
		if !ok {
			continue
		}
		if lines > 0 {
			data = append(data, '\n')
		}
		data = append(data, value...)
		lines++
		if len(data) > MaxEventBytes {
			return nil, TooLarge.New("event exceeds %d bytes; close the stream", MaxEventBytes)
		}
	}
	return nil, r.endError(lines)
}

// endError returns the error for the end of the stream after the given number
// of data lines of an incomplete event.
func (r *Reader) endError(lines int) error {
	err := r.scanner.Err()
	switch {
	case errors.Is(err, bufio.ErrTooLong):
		return TooLarge.New("line exceeds %d bytes; close the stream", MaxEventBytes)
	case err != nil:
		return err
	case lines > 0:
		return io.ErrUnexpectedEOF
	default:
		return io.EOF
	}
}

// dataValue returns the value of a data line. It returns false for comments and
// for other fields.
func dataValue(line []byte) ([]byte, bool) {
	value, ok := bytes.CutPrefix(line, []byte("data"))
	if !ok {
		return nil, false
	}
	if len(value) == 0 {
		return value, true
	}
	value, ok = bytes.CutPrefix(value, []byte(":"))
	if !ok {
		return nil, false
	}
	return bytes.TrimPrefix(value, []byte(" ")), true
}
