package amrhttp

import (
	"bufio"
	"errors"
	"io"
	"net/http"
)

// responseReader reads responses from a connection. Create it with newResponseReader.
type responseReader struct {
	buffered *bufio.Reader // Reads from source.
	source   replayReader
}

func newResponseReader(r io.Reader) *responseReader {
	reader := &responseReader{source: replayReader{reader: r}}
	reader.buffered = bufio.NewReaderSize(&reader.source, readBuffer)
	return reader
}

// isEmpty reports whether all bytes that were received have been read.
func (r *responseReader) isEmpty() bool {
	return r.buffered.Buffered() == 0 && len(r.source.replay) == 0
}

// readHead reads a response to a request with the method, up to the response's body. It
// skips interim responses. It returns an error if the head is not valid or is too long.
func (r *responseReader) readHead(method string) (*http.Response, error) {
	scanner := newHeadScanner()
	for {
		head, status, err := r.scanHead(scanner)
		if err != nil {
			return nil, err
		}
		if status >= minFinalStatus {
			r.unread(head)
			return http.ReadResponse(r.buffered, &http.Request{Method: method})
		}
	}
}

// scanHead reads and checks a head. It returns its bytes and the status.
func (r *responseReader) scanHead(scanner *headScanner) (head []byte, status int, err error) {
	head = make([]byte, 0, readBuffer/2)
	for {
		if _, err := r.buffered.Peek(1); err != nil {
			if errors.Is(err, io.EOF) {
				err = io.ErrUnexpectedEOF
			}
			return nil, 0, err
		}
		received, _ := r.buffered.Peek(r.buffered.Buffered()) // What is in the buffer can be peeked at.
		n, status, err := scanner.scan(received)
		head = append(head, received[:n]...)
		_, _ = r.buffered.Discard(n) // The same.
		if status != 0 || err != nil {
			return head, status, err
		}
	}
}

// unread lets the head, which was read last, be read again before what follows it.
func (r *responseReader) unread(head []byte) {
	rest, _ := r.buffered.Peek(r.buffered.Buffered()) // What is in the buffer can be peeked at.
	r.source.replay = append(append(head, rest...), r.source.replay...)
	r.buffered.Reset(&r.source)
}

// replayReader reads the bytes in replay, and then those of the reader.
type replayReader struct {
	reader io.Reader
	replay []byte
}

// Read implements io.Reader.
func (r *replayReader) Read(p []byte) (int, error) {
	if len(r.replay) == 0 {
		r.replay = nil // The array is no longer needed.
		return r.reader.Read(p)
	}
	n := copy(p, r.replay)
	r.replay = r.replay[n:]
	return n, nil
}
