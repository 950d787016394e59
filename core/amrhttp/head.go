package amrhttp

import (
	"bytes"
	"errors"
	"fmt"
	"net/http"
	"strings"
)

// The valid status codes of responses, by RFC 9110, section 15.
const (
	minStatus      = 100
	minFinalStatus = 200 // Responses below it are interim ones.
	maxStatus      = 599
)

var (
	errStatusLine = errors.New("the response begins with no status line")
	errFirstField = errors.New("the first field of the response begins with white space")
	errNoColon    = errors.New("a line in the header of the response has no colon")
	errFraming    = errors.New("the response has both a length and an encoding, or one that it must not have")
	errSwitched   = errors.New("the server switched to a protocol that was not asked for")
)

// headChecker checks the head of a response, which consists of the status line and the
// header, against RFC 9112. It is stricter than http.ReadResponse, which accepts names that
// contain blanks, and then does not find the field that tells the length of the body.
//
// The zero value expects the status line.
type headChecker struct {
	status     int
	oldVersion bool // The version is HTTP/1.0.
	lines      int
	hasLength  bool
	encoded    bool // The body has a transfer encoding.
}

// push checks the next line, without the characters that end it. It reports whether the head
// ends with it, and returns an error if the head is not valid.
func (h *headChecker) push(line []byte) (ended bool, err error) {
	h.lines++
	switch {
	case h.lines == 1:
		return false, h.checkStatusLine(line)
	case len(line) == 0:
		return true, h.checkEnd()
	case line[0] == ' ' || line[0] == '\t': // A folded line goes on with the value.
		if h.lines == 2 {
			return false, errFirstField
		}
		return false, checkText(line)
	}
	return false, h.checkField(line)
}

// checkStatusLine checks the version, the status and the reason phrase, which may be missing
// with the blank before it.
func (h *headChecker) checkStatusLine(line []byte) error {
	version, rest, found := bytes.Cut(line, []byte(" "))
	if !found || len(version) != len("HTTP/1.1") || !bytes.HasPrefix(version, []byte("HTTP/1.")) || !isDigit(version[len(version)-1]) {
		return errStatusLine
	}
	h.oldVersion = version[len(version)-1] == '0'
	status, reason, _ := bytes.Cut(rest, []byte(" "))
	if len(status) != 3 {
		return errStatusLine
	}
	for _, b := range status {
		if !isDigit(b) {
			return errStatusLine
		}
		h.status = 10*h.status + int(b-'0')
	}
	if err := checkStatus(h.status); err != nil {
		return err
	}
	return checkText(reason)
}

// checkField checks a line with the name and the value of a field.
func (h *headChecker) checkField(line []byte) error {
	name, value, found := bytes.Cut(line, []byte(":"))
	if !found {
		return errNoColon
	}
	if !isToken(name) {
		return nameError(string(name))
	}
	switch {
	case strings.EqualFold(string(name), "Content-Length"):
		h.hasLength = true
	case strings.EqualFold(string(name), "Transfer-Encoding"):
		h.encoded = true
	}
	return checkText(value)
}

// checkEnd checks the head as a whole: it must tell the end of the body in one way, and must
// not switch to another protocol. An interim response has no body, and HTTP/1.0 has no
// encodings.
func (h *headChecker) checkEnd() error {
	interim := h.status < minFinalStatus
	switch {
	case h.hasLength && h.encoded, h.encoded && h.oldVersion, interim && (h.hasLength || h.encoded):
		return errFraming
	case h.status == http.StatusSwitchingProtocols:
		return errSwitched
	}
	return nil
}

// checkStatus returns an error unless the status is a valid one.
func checkStatus(status int) error {
	if status < minStatus || status > maxStatus {
		return fmt.Errorf("the response has the status %03d, which is invalid", status)
	}
	return nil
}

// nameError returns the error for a field with a name that is no token.
func nameError(name string) error {
	return fmt.Errorf("a field of the response has the invalid name %.40q", name)
}

// checkNames returns an error unless the names of all fields are tokens.
func checkNames(fields http.Header) error {
	for name := range fields {
		if !isToken(name) {
			return nameError(name)
		}
	}
	return nil
}

// checkText returns an error if the text of a value or a reason phrase contains a control
// byte other than a tab.
func checkText(text []byte) error {
	for _, b := range text {
		if b < ' ' && b != '\t' || b == 0x7f {
			return fmt.Errorf("the head of the response contains the control byte %#02x", b)
		}
	}
	return nil
}

// isToken reports whether the text is a token, as the names of fields are.
func isToken[T string | []byte](text T) bool {
	for i := range len(text) {
		if !isTokenByte(text[i]) {
			return false
		}
	}
	return len(text) > 0
}

// isTokenByte reports whether tokens may contain the byte.
func isTokenByte(b byte) bool {
	return isDigit(b) || 'a' <= b && b <= 'z' || 'A' <= b && b <= 'Z' || strings.IndexByte("!#$%&'*+-.^_`|~", b) >= 0
}

func isDigit(b byte) bool { return '0' <= b && b <= '9' }
