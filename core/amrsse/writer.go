package amrsse

import (
	"bytes"
	"io"
)

// WriteEvent writes one event to w, with one data line for each line of the
// data.
func WriteEvent(w io.Writer, data []byte) error {
	var b bytes.Buffer
	for line := range bytes.SplitSeq(data, []byte("\n")) {
		b.WriteString("data: ")
		b.Write(line)
		b.WriteByte('\n')
	}
	b.WriteByte('\n')
	_, err := w.Write(b.Bytes())
	return err
}
