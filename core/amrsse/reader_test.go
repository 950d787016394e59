package amrsse

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"strings"
	"testing"

	"github.com/cockroachdb/datadriven"
	"github.com/joomcode/errorx"
	"github.com/matryer/is"
)

// TestReader prints the events of the streams in testdata/reader, and the error
// after the last one.
func TestReader(t *testing.T) {
	datadriven.RunTest(t, "testdata/reader", func(_ *testing.T, d *datadriven.TestData) string {
		input := strings.NewReplacer("\\r", "\r", "\\n", "\n").Replace(d.Input)
		var b strings.Builder
		r := NewReader(strings.NewReader(input))
		for {
			data, err := r.Next()
			if err != nil {
				fmt.Fprintf(&b, "%v", err)
				return b.String()
			}
			fmt.Fprintf(&b, "%q\n", data)
		}
	})
}

// TestReaderBounds checks that events larger than MaxEventBytes are rejected,
// whether they consist of many lines or of one.
func TestReaderBounds(t *testing.T) {
	is := is.New(t)
	line := "data: " + strings.Repeat("x", MaxEventBytes/2) + "\n"
	_, err := NewReader(strings.NewReader(line + line + line + "\n")).Next()
	is.True(errorx.IsOfType(err, TooLarge)) // Three lines, which together exceed the limit.
	_, err = NewReader(strings.NewReader("data: " + strings.Repeat("x", 2*MaxEventBytes))).Next()
	is.True(errorx.IsOfType(err, TooLarge)) // One line that exceeds the limit.
}

// FuzzReader checks that no input makes the Reader panic or return an event
// larger than MaxEventBytes, and that events written by Write are read back
// unchanged.
func FuzzReader(f *testing.F) {
	f.Add([]byte("data: a\n\n"))
	f.Add([]byte("data\ndata:b\r\n\r\n: comment\nid: 7\n\n"))
	f.Fuzz(func(t *testing.T, input []byte) {
		r := NewReader(bytes.NewReader(input))
		for {
			data, err := r.Next()
			if err != nil {
				return
			}
			if len(data) > MaxEventBytes {
				t.Fatalf("event of %d bytes exceeds the limit", len(data))
			}
			roundTrip(t, data)
		}
	})
}

// roundTrip checks that the event is read back after Write, and no other one.
func roundTrip(t *testing.T, data []byte) {
	t.Helper()
	var b bytes.Buffer
	if err := WriteEvent(&b, data); err != nil {
		t.Fatal(err)
	}
	r := NewReader(&b)
	got, err := r.Next()
	if err != nil || !bytes.Equal(got, data) {
		t.Fatalf("wrote %q, read %q, %v", data, got, err)
	}
	if _, err := r.Next(); !errors.Is(err, io.EOF) {
		t.Fatalf("read more than one event: %v", err)
	}
}
