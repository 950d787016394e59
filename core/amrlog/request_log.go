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
	// requestMessage is the message that a router logs when a request has ended.
	requestMessage = "request"

	// maxLineBytes is the maximum length of a log line. A longer one is an error.
	maxLineBytes = 1 << 20

	// contextLines is the maximum number of preceding lines that are listed for
	// each backend server, and for the router, of a request.
	contextLines = 6
)

// Line is a parsed line of a log.
type Line struct {
	Source string // Last word before the "time" field, such as a host name; empty if there is none.
	Fields []Field
}

// Field is a key and a value of a log line.
type Field struct {
	Key, Value string
}

// Get returns the value of the first field with the key, or "" if there is none.
func (l Line) Get(key string) string {
	for _, f := range l.Fields {
		if f.Key == key {
			return f.Value
		}
	}
	return ""
}

// RequestLog holds the log lines that explain what happened to a request.
type RequestLog struct {
	ID       string
	Requests []Line // Lines of the request, one for each router that it reached.
	Servers  []Line // Last lines about the backend servers of the request before it ended.
	Router   []Line // Last lines about the state of the router before the request ended.
}

// sendSeparator separates the sends in the "sends" field of a request's line.
const sendSeparator = " | "

// sendServer matches the name of the backend server at the start of each send.
var sendServer = regexp.MustCompile(`(?:^| \| )(\S+) weights=`)

// routerMessages lists the messages about changes of what a router knows or can
// do: its start and stop, its configuration, its connection to shared tables, the
// weights to load and the rollout lease. A report of dropped lines is included,
// because any of the others may be among them.
var routerMessages = []string{
	"starting", "stopping", "records in force", "settings reloaded", "table lost", "table regained",
	"took rows from a replica", "new weights named", "lease of orders", "log lines dropped",
}

// leaseHolderMessages lists the messages about a backend server that only the
// router with the rollout lease logs. They concern the server's requests at
// all routers.
var leaseHolderMessages = []string{
	"change of weights begins", "change of weights done", "order to load weights",
	"change of weights ended without success, it is planned anew",
}

// ReadRequestLog reads logs and returns the lines that explain what happened to
// the request with the id. Lines that cannot be parsed are skipped; their number
// is returned too. Only lines that precede the request's own line count as its
// context, so the logs should be in order of time. The error is that of logs, or
// bufio.ErrTooLong for a line longer than 1 MiB.
func ReadRequestLog(logs io.Reader, id string) (requestLog RequestLog, skipped int, err error) {
	var lines []Line
	scanner := bufio.NewScanner(logs)
	scanner.Buffer(make([]byte, 0, 64<<10), maxLineBytes)
	for scanner.Scan() {
		line, ok := parse(scanner.Text())
		if !ok {
			skipped++
			continue
		}
		lines = append(lines, line)
	}
	if err := scanner.Err(); err != nil {
		return RequestLog{}, skipped, fmt.Errorf("cannot read the logs: %w", err)
	}
	return collect(lines, id), skipped, nil
}

// parse parses a line in logfmt, which begins with its "time" field. The line may
// have a prefix, such as one that a log collector adds. The second result is
// false if the text is no such line.
func parse(text string) (Line, bool) {
	start := strings.Index(text, "time=")
	if start < 0 {
		return Line{}, false
	}
	line := Line{Source: source(text[:start])}
	decoder := logfmt.NewDecoder(strings.NewReader(text[start:]))
	if !decoder.ScanRecord() {
		return Line{}, false
	}
	for decoder.ScanKeyval() {
		line.Fields = append(line.Fields, Field{Key: string(decoder.Key()), Value: string(decoder.Value())})
	}
	return line, decoder.Err() == nil
}

// source returns the last word of a line's prefix, or "" if the prefix has no
// words.
func source(prefix string) string {
	words := strings.Fields(prefix)
	if len(words) == 0 {
		return ""
	}
	return words[len(words)-1]
}

// collect selects the lines about the request, its backend servers and its
// routers.
func collect(lines []Line, id string) RequestLog {
	requestLog := RequestLog{ID: id}
	for i, line := range lines {
		if line.Get("msg") != requestMessage || line.Get("id") != id {
			continue
		}
		requestLog.Requests = append(requestLog.Requests, line)
		before := lines[:i]
		for _, match := range sendServer.FindAllStringSubmatch(line.Get("sends"), -1) {
			requestLog.Servers = append(requestLog.Servers, last(before, func(l Line) bool {
				return l.Get("server") == match[1] && (l.Source == line.Source || slices.Contains(leaseHolderMessages, l.Get("msg")))
			})...)
		}
		requestLog.Router = append(requestLog.Router, last(before, func(l Line) bool {
			return l.Source == line.Source && slices.Contains(routerMessages, l.Get("msg"))
		})...)
	}
	return requestLog
}

// last returns the last contextLines of the lines that match, oldest first.
func last(lines []Line, matches func(Line) bool) []Line {
	var found []Line
	for _, line := range slices.Backward(lines) {
		if len(found) == contextLines {
			break
		}
		if matches(line) {
			found = append(found, line)
		}
	}
	slices.Reverse(found)
	return found
}

// WriteTo writes the lines to w as text for an operator. It implements
// io.WriterTo.
func (r RequestLog) WriteTo(w io.Writer) (int64, error) {
	var b strings.Builder
	if len(r.Requests) == 0 {
		fmt.Fprintf(&b, "no log line found for request %s: the request did not reach a router whose logs were read, the router process ended before the request did, or the line was dropped\n", r.ID)
	}
	for _, line := range r.Requests {
		writeRequest(&b, line)
	}
	writeContext(&b, "earlier log lines about these backend servers", r.Servers)
	writeContext(&b, "earlier log lines about the router", r.Router)
	n, err := io.WriteString(w, b.String())
	return int64(n), err
}

// writeRequest writes the fields of a request's line.
func writeRequest(b *strings.Builder, line Line) {
	fmt.Fprintf(b, "request %s ended at %s", line.Get("id"), line.Get("time"))
	if line.Source != "" {
		fmt.Fprintf(b, " on %s", line.Source)
	}
	b.WriteByte('\n')
	fmt.Fprintf(b, "  route %s, pool %s, records version %s\n", line.Get("route"), line.Get("pool"), line.Get("records"))
	if sends := line.Get("sends"); sends != "" {
		for i, send := range strings.Split(sends, sendSeparator) {
			fmt.Fprintf(b, "  send %d: %s\n", i+1, send)
		}
	} else {
		b.WriteString("  not sent to any backend server\n")
	}
	if reason := line.Get("reason"); reason != "" {
		fmt.Fprintf(b, "  refused: %s (ran: %s, detail: %s)\n", reason, line.Get("ran"), line.Get("detail"))
	}
	fmt.Fprintf(b, "  status %s after %s, time to first byte: %s\n", line.Get("status"), line.Get("took"), orNone(line.Get("first-byte")))
}

func orNone(text string) string {
	if text == "" {
		return "none"
	}
	return text
}

// writeContext writes the lines with all their fields under the title, or nothing
// if there are none.
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
