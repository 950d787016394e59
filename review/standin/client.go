package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"time"
)

// client is a stand-in of a client that keeps its connection for many requests.
type client struct {
	address string
	conn    net.Conn
	reader  *bufio.Reader
	carried int // Requests answered on this connection.
}

// answer is what a client saw of an answer.
type answer struct {
	status   int
	stamp    string
	body     string
	events   []string // IDs of the whole events.
	software map[string]bool
	err      error // The connection ended, or the client gave up, before the answer was complete.
	gaveUp   bool
	kept     bool // The connection had carried an answer before.
}

var attempts atomic.Int64

// newAttempt returns the ID of a client attempt.
func newAttempt() string {
	return fmt.Sprintf("%08x%08x", time.Now().UnixNano()&0xffffffff, attempts.Add(1))
}

func (c *client) close() {
	if c.conn != nil {
		c.conn.Close()
		c.conn = nil
	}
}

type call struct {
	method, path, id string
	model, prefix    string
	lastEvent        string
	resumes          string
	body             string
	deadline         time.Duration
	gap              time.Duration // Time without an event after which the client leaves a stream.
}

// do sends the request and reads the answer.
func (c *client) do(q call) (a answer) {
	if c.conn == nil {
		conn, err := net.DialTimeout("tcp", c.address, time.Second)
		if err != nil {
			return answer{err: err}
		}
		c.conn, c.reader, c.carried = conn, bufio.NewReader(conn), 0
	}
	a.kept = c.carried > 0
	var b strings.Builder
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\nAmaranthreach-Attempt-Id: %s\r\nAmaranthreach-Deadline-Ms: %d\r\nAmaranthreach-Key: %s\r\n", q.method, q.path, hostName, q.id, q.deadline.Milliseconds(), apiKey)
	if q.model != "" {
		fmt.Fprintf(&b, "Amaranthreach-Model: %s\r\nAmaranthreach-Token-Count: 826,73\r\nAmaranthreach-Prefix-Hash: %s\r\n", q.model, q.prefix)
	}
	if q.lastEvent != "" {
		fmt.Fprintf(&b, "Last-Event-Id: %s\r\nResumes: %s\r\n", q.lastEvent, q.resumes)
	}
	if q.method == "POST" {
		fmt.Fprintf(&b, "Content-Length: %d\r\n", len(q.body))
	}
	b.WriteString("\r\n" + q.body)
	end := time.Now().Add(q.deadline)
	c.conn.SetDeadline(end)
	fail := func(err error) answer {
		var timeout net.Error
		a.gaveUp = errors.As(err, &timeout) && timeout.Timeout()
		a.err = err
		c.close()
		return a
	}
	if _, err := io.WriteString(c.conn, b.String()); err != nil {
		return fail(err)
	}
	limit := func() {
		if q.gap > 0 {
			if at := time.Now().Add(q.gap); at.Before(end) {
				c.conn.SetReadDeadline(at)
			}
		}
	}
	limit()
	r, err := http.ReadResponse(c.reader, &http.Request{Method: q.method})
	if err != nil {
		return fail(err)
	}
	a.status, a.stamp = r.StatusCode, r.Header.Get("Amaranthreach-Server-Stamp")
	if q.gap > 0 && a.status == 200 {
		err = a.readEvents(r.Body, limit)
	} else {
		var body []byte
		body, err = io.ReadAll(r.Body)
		a.body = string(body)
	}
	if err != nil {
		return fail(err)
	}
	c.carried++
	if r.Close {
		c.close()
	}
	return a
}

// readEvents reads a stream to its end. It calls got after each event.
func (a *answer) readEvents(body io.Reader, got func()) error {
	a.software = map[string]bool{}
	reader := bufio.NewReader(body)
	id, software := "", ""
	for {
		line, err := reader.ReadString('\n')
		if err == io.EOF {
			return nil
		}
		if err != nil {
			return err
		}
		line = strings.TrimRight(line, "\n")
		switch {
		case strings.HasPrefix(line, "id: "):
			id = line[4:]
		case strings.HasPrefix(line, "data: "):
			software = line[strings.LastIndex(line, " ")+1:]
		case line == "" && id != "":
			a.events = append(a.events, id)
			a.software[software] = true
			id = ""
			got()
		}
	}
}
