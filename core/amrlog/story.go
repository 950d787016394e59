package amrlog

import (
	"bufio"
	"fmt"
	"io"
	"regexp"
	"slices"
	"strings"

	"github.com/go-logfmt/logfmt"
)

const (
	// requestMessage is the message of the line that tells of a request.
	requestMessage = "request"

	// maxLine is the longest line that is read.
	maxLine = 1 << 20

	// contextLines is the number of lines of each kind that go with a story.
	contextLines = 6
)

// Line is one line of a log.
type Line struct {
	Source string // What stands before the line's own text, such as a host's name.
	Fields []Field
}

// Field is a key with its value.
type Field struct {
	Key, Value string
}

// Get returns the value of the key, or "".
func (l Line) Get(key string) string {
	for _, f := range l.Fields {
		if f.Key == key {
			return f.Value
		}
	}
	return ""
}

// Story is what logs tell of a request.
type Story struct {
	ID       string
	Requests []Line // Its own lines, one for each router that it reached.
	Servers  []Line // Of the backend servers that it was sent to, before its end.
	Host     []Line // Of the router's dependencies, before its end.
}

// sendSeparator stands between the sends of a request.
const sendSeparator = " | "

var serverName = regexp.MustCompile(`(?:^| \| )(\S+) weights=`)

// hostMessages are messages that change what a router believes or can do.
var hostMessages = []string{
	"starting", "stopping", "records in force", "settings reloaded", "table lost", "table regained",
	"took rows from a replica", "new weights named", "lease of orders", "log lines dropped",
}

// holderMessages are messages about a server that only the holder of the lease
// of orders writes.
var holderMessages = []string{
	"change of weights begins", "change of weights done", "order to load weights",
	"change of weights ended without success, it is planned anew",
}

// Tell reads logs and returns the story of the request. Lines that cannot be
// read are passed over; it returns their number.
func Tell(logs io.Reader, id string) (story Story, unread int, err error) {
	var lines []Line
	scanner := bufio.NewScanner(logs)
	scanner.Buffer(make([]byte, 0, 64<<10), maxLine)
	for scanner.Scan() {
		line, ok := parse(scanner.Text())
		if !ok {
			unread++
			continue
		}
		lines = append(lines, line)
	}
	if err := scanner.Err(); err != nil {
		return Story{}, unread, fmt.Errorf("reading logs: %w", err)
	}
	return tell(lines, id), unread, nil
}

// parse reads a line. Its own text begins with its time.
func parse(text string) (Line, bool) {
	at := strings.Index(text, "time=")
	if at < 0 {
		return Line{}, false
	}
	line := Line{Source: source(text[:at])}
	decoder := logfmt.NewDecoder(strings.NewReader(text[at:]))
	if !decoder.ScanRecord() {
		return Line{}, false
	}
	for decoder.ScanKeyval() {
		line.Fields = append(line.Fields, Field{Key: string(decoder.Key()), Value: string(decoder.Value())})
	}
	return line, decoder.Err() == nil
}

// source returns the last word of what stands before a line's own text.
func source(prefix string) string {
	words := strings.Fields(prefix)
	if len(words) == 0 {
		return ""
	}
	return words[len(words)-1]
}

func tell(lines []Line, id string) Story {
	story := Story{ID: id}
	for i, line := range lines {
		if line.Get("msg") != requestMessage || line.Get("id") != id {
			continue
		}
		story.Requests = append(story.Requests, line)
		before := lines[:i]
		for _, match := range serverName.FindAllStringSubmatch(line.Get("sends"), -1) {
			story.Servers = append(story.Servers, last(before, func(l Line) bool {
				return l.Get("server") == match[1] && (l.Source == line.Source || slices.Contains(holderMessages, l.Get("msg")))
			})...)
		}
		story.Host = append(story.Host, last(before, func(l Line) bool {
			return l.Source == line.Source && slices.Contains(hostMessages, l.Get("msg"))
		})...)
	}
	return story
}

// last returns the last of the lines that the condition holds for, oldest
// first.
func last(lines []Line, holds func(Line) bool) []Line {
	var found []Line
	for _, line := range slices.Backward(lines) {
		if len(found) == contextLines {
			break
		}
		if holds(line) {
			found = append(found, line)
		}
	}
	slices.Reverse(found)
	return found
}

// WriteTo writes the story as text.
func (s Story) WriteTo(w io.Writer) (int64, error) {
	var b strings.Builder
	if len(s.Requests) == 0 {
		fmt.Fprintf(&b, "no line tells of request %s: it did not reach the routers of these logs, its router ended before it did, or its line was dropped\n", s.ID)
	}
	for _, line := range s.Requests {
		writeRequest(&b, line)
	}
	writeContext(&b, "the servers before", s.Servers)
	writeContext(&b, "the router before", s.Host)
	n, err := io.WriteString(w, b.String())
	return int64(n), err
}

func writeRequest(b *strings.Builder, line Line) {
	fmt.Fprintf(b, "request %s, ended %s", line.Get("id"), line.Get("time"))
	if line.Source != "" {
		fmt.Fprintf(b, " on %s", line.Source)
	}
	b.WriteByte('\n')
	fmt.Fprintf(b, "  route %s to pool %s, by records version %s\n", line.Get("route"), line.Get("pool"), line.Get("records"))
	if sends := line.Get("sends"); sends != "" {
		for i, send := range strings.Split(sends, sendSeparator) {
			fmt.Fprintf(b, "  send %d: %s\n", i+1, send)
		}
	} else {
		b.WriteString("  it was sent to no server\n")
	}
	if reason := line.Get("reason"); reason != "" {
		fmt.Fprintf(b, "  refused: %s, %s (%s)\n", reason, line.Get("ran"), line.Get("detail"))
	}
	fmt.Fprintf(b, "  status %s after %s, first byte after %s\n", line.Get("status"), line.Get("took"), orNone(line.Get("first-byte")))
}

func orNone(text string) string {
	if text == "" {
		return "none"
	}
	return text
}

func writeContext(b *strings.Builder, title string, lines []Line) {
	if len(lines) == 0 {
		return
	}
	fmt.Fprintf(b, "%s:\n", title)
	for _, line := range lines {
		fmt.Fprintf(b, "  %s %s %s", line.Get("time"), line.Source, line.Get("msg"))
		for _, f := range line.Fields {
			if f.Key != "time" && f.Key != "level" && f.Key != "msg" {
				fmt.Fprintf(b, " %s=%s", f.Key, f.Value)
			}
		}
		b.WriteByte('\n')
	}
}
