package amrhttp

import (
	"bytes"
	"errors"
	"strconv"
)

var errHeadTooLong = errors.New("the response has no body within " + strconv.Itoa(maxHeadBytes) + " bytes")

// headScanner finds the end of a head in the bytes that arrive on a connection, and checks its
// lines. Create it with newHeadScanner for each request.
type headScanner struct {
	checker headChecker
	line    []byte // Beginning of a line whose end has not arrived.
	left    int    // Bytes that the heads may still have.
}

// newHeadScanner returns a scanner for the head of a response and those of the interim
// responses before it, which may have maxHeadBytes together.
func newHeadScanner() *headScanner {
	return &headScanner{left: maxHeadBytes}
}

// scan scans the next bytes up to the end of a head. It returns the number of bytes that belong
// to the head, and its status if it has ended. Otherwise the status is 0. It returns an error if
// the head is not valid or is too long.
func (s *headScanner) scan(p []byte) (n, status int, err error) {
	for n < len(p) {
		line, _, found := bytes.Cut(p[n:], []byte("\n"))
		length := len(line)
		if found {
			length++
		}
		if s.left -= length; s.left < 0 {
			return n, 0, errHeadTooLong
		}
		n += length
		if !found || len(s.line) > 0 {
			s.line = append(s.line, line...)
			line = s.line
		}
		if !found {
			break
		}
		ended, err := s.checker.push(bytes.TrimSuffix(line, []byte("\r")))
		s.line = s.line[:0]
		if err != nil {
			return n, 0, err
		}
		if ended {
			status = s.checker.status
			s.checker = headChecker{}
			return n, status, nil
		}
	}
	return n, 0, nil
}
