package amrhttp

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"net/http"
	"strconv"
)

var errHeadTooLong = errors.New("the response has no body within " + strconv.Itoa(maxHeadBytes) + " bytes")

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
// skips interim responses. It returns an error if the head is not valid, and errHeadTooLong
// if all of this exceeds maxHeadBytes.
func (r *responseReader) readHead(method string) (*http.Response, error) {
	left := maxHeadBytes
	for {
		head, status, err := r.checkHead(left)
		if err != nil {
			return nil, err
		}
		if status >= minFinalStatus {
			r.unread(head)
			return http.ReadResponse(r.buffered, &http.Request{Method: method})
		}
		left -= len(head)
	}
}

// checkHead reads and checks a head of at most the given length. It returns its bytes and the
// status.
func (r *responseReader) checkHead(maxBytes int) (head []byte, status int, err error) {
	var checker headChecker
	head = make([]byte, 0, readBuffer/2)
	lineStart := 0
	for {
		part, err := r.buffered.ReadSlice('\n')
		if len(head)+len(part) > maxBytes {
			return nil, 0, errHeadTooLong
		}
		head = append(head, part...)
		switch {
		case errors.Is(err, bufio.ErrBufferFull):
			continue
		case errors.Is(err, io.EOF):
			return nil, 0, io.ErrUnexpectedEOF
		case err != nil:
			return nil, 0, err
		}
		ended, err := checker.push(trimLineEnd(head[lineStart:]))
		if ended || err != nil {
			return head, checker.status, err
		}
		lineStart = len(head)
	}
}

// trimLineEnd returns the line without the line feed at its end, and without the carriage
// return before that.
func trimLineEnd(line []byte) []byte {
	return bytes.TrimSuffix(bytes.TrimSuffix(line, []byte("\n")), []byte("\r"))
}

// unread lets the head, which was read last, be read again before what follows it.
func (r *responseReader) unread(head []byte) {
	rest, _ := r.buffered.Peek(r.buffered.Buffered()) // Bytes in the buffer can be peeked at.
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
