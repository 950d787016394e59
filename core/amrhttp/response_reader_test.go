package amrhttp

import (
	"bytes"
	"io"
	"net/http"
	"regexp"
	"strconv"
	"strings"
	"testing"
)

// The grammar of heads of responses by RFC 9112, of bytes that are written as runes. A bare
// line feed may end a line, and the blank before an empty reason phrase may be missing.
const (
	textRule   = `[\t\x20-\x7e\x{80}-\x{ff}]*`
	fieldRule  = "([!#$%&'*+\\-.^_`|~0-9A-Za-z]+):" + textRule + `\r?\n`
	foldRule   = `[ \t]` + textRule + `\r?\n`
	fieldsRule = `(?:` + fieldRule + `(?:` + foldRule + `)*)*\r?\n`
)

var (
	interimHead = regexp.MustCompile(`^HTTP/1\.[0-9] 1[0-9][0-9](?: ` + textRule + `)?\r?\n` + fieldsRule)
	finalHead   = regexp.MustCompile(`^HTTP/1\.[0-9] ([2-5][0-9][0-9])(?: ` + textRule + `)?\r?\n` + fieldsRule)
	fieldLine   = regexp.MustCompile(`(?m)^` + fieldRule)
)

// validHead returns the final head with which the bytes begin, after interim ones, or "" if
// they begin with no such head. It returns the number of bytes up to its end, too.
func validHead(data []byte) (head string, length int) {
	var runes strings.Builder
	for _, b := range data {
		runes.WriteRune(rune(b))
	}
	text, all := runes.String(), len(data)
	for {
		interim := interimHead.FindString(text)
		if interim == "" {
			break
		}
		text = text[len(interim):]
	}
	head = finalHead.FindString(text)
	return head, all - len([]rune(text)) + len([]rune(head))
}

// hasFraming reports whether the bytes may contain a field that has a part in finding the end
// of the body.
func hasFraming(data []byte) bool {
	text := strings.ToLower(string(data))
	return strings.Contains(text, "content-length") || strings.Contains(text, "transfer-encoding") || strings.Contains(text, "trailer")
}

// FuzzReadHead checks that the head of a response is accepted if and only if it is valid, and
// that all of its fields are found then.
func FuzzReadHead(f *testing.F) {
	for _, seed := range []string{
		"HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\none",
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\none\r\n0\r\nX: y\r\n\r\n",
		"HTTP/1.1 000 Error\r\nX: y\r\n\r\nHTTP/1.1 200 OK\r\n\r\none",
		"HTTP/1.1 200 OK\r\nX Bad: y\r\n\r\none",
		"HTTP/1.1 200 OK\r\nContent-Length : 3\r\n\r\none more",
		"HTTP/1.1 200 OK\r\nTransfer-Encoding : chunked\r\n\r\n3\r\none\r\n0\r\n\r\n",
		"HTTP/1.1 200 OK\r\nX\x01: y\r\n\r\n",
		"HTTP/1.1 200 OK\r\n X: y\r\n\r\n",
		"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\nHTTP/1.1 204 No Content\r\n\r\n",
		"HTTP/1.1 100 Continue\r\nContent-Length: 3\r\n\r\none",
		"HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\none\r\n0\r\n\r\n",
		"HTTP/1.1 200\nX: y\n z\nx:\n\none",
	} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		head, length := validHead(data)
		reader := newResponseReader(bytes.NewReader(data))
		response, err := reader.readHead(http.MethodGet)
		if err != nil {
			if head != "" && length <= maxHeadBytes && !hasFraming(data[:length]) && !bytes.Contains(data[:length], []byte(" 101")) {
				t.Errorf("a valid head was refused: %v", err)
			}
			return
		}
		if head == "" {
			t.Fatal("an invalid head was accepted")
		}
		if got := strconv.Itoa(response.StatusCode); got != finalHead.FindStringSubmatch(head)[1] {
			t.Errorf("the status is %s", got)
		}
		checkFields(t, response.Header, head)
		if _, err := io.Copy(io.Discard, response.Body); err == nil && endsWithConnection(response) && !reader.isEmpty() {
			t.Error("bytes are left after a body that ends with the connection")
		}
	})
}

// checkFields checks that the header has the names in the head, but for those that are moved
// to other fields of a response.
func checkFields(t *testing.T, header http.Header, head string) {
	for _, match := range fieldLine.FindAllStringSubmatch(head, -1) {
		name := http.CanonicalHeaderKey(match[1])
		switch name {
		case "Content-Length", "Transfer-Encoding", "Trailer":
		default:
			if _, found := header[name]; !found {
				t.Errorf("the field %q is missing", name)
			}
		}
	}
	if err := checkNames(header); err != nil {
		t.Error(err)
	}
}
