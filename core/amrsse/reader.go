// Package amrsse reads and writes server-sent events, as far as streams of
// model engines use them: events that consist of data lines.
package amrsse

import (
	"bufio"
	"bytes"
	"errors"
	"io"

	"github.com/joomcode/errorx"
)

// MaxEventBytes is the largest event that a Reader accepts.
const MaxEventBytes = 1 << 20

var namespace = errorx.NewNamespace("sse")

// TooLarge says that an event is larger than MaxEventBytes: close the stream.
var TooLarge = namespace.NewType("too-large")

// Reader reads events from a stream.
type Reader struct {
	scanner *bufio.Scanner
}

// NewReader returns a Reader of r.
func NewReader(r io.Reader) *Reader {
	scanner := bufio.NewScanner(r)
	scanner.Buffer(make([]byte, 0, 4096), MaxEventBytes)
	return &Reader{scanner: scanner}
}

// Next returns the data of the next event. Its lines are joined by newlines.
// It returns io.EOF when the stream ended between events, io.ErrUnexpectedEOF
// when it ended within one, and an error of kind TooLarge for an event above
// the bound.
func (r *Reader) Next() ([]byte, error) {
	var data []byte
	var lines int
	for r.scanner.Scan() {
		line := bytes.TrimSuffix(r.scanner.Bytes(), []byte("\r"))
		if len(line) == 0 {
			if lines > 0 {
				return data, nil
			}
			continue
		}
		value, ok := dataOf(line)
		if !ok {
			continue
		}
		if lines > 0 {
			data = append(data, '\n')
		}
		data = append(data, value...)
		lines++
		if len(data) > MaxEventBytes {
			return nil, TooLarge.New("an event has more than %d bytes; close the stream", MaxEventBytes)
		}
	}
	return nil, r.end(lines)
}

func (r *Reader) end(lines int) error {
	err := r.scanner.Err()
	switch {
	case errors.Is(err, bufio.ErrTooLong):
		return TooLarge.New("a line has more than %d bytes; close the stream", MaxEventBytes)
	case err != nil:
		return err
	case lines > 0:
		return io.ErrUnexpectedEOF
	default:
		return io.EOF
	}
}

// dataOf returns the value of a data line. Comments and other fields carry
// none.
func dataOf(line []byte) ([]byte, bool) {
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
