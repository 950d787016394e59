package lab

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Client sends requests to routers as a caller does.
type Client struct {
	record *Record
	mu     sync.Mutex
	next   int
	http   *http.Client
}

// NewClient returns a client that keeps its connections open.
func NewClient(record *Record) *Client {
	return &Client{record: record, http: &http.Client{Transport: &http.Transport{DisableCompression: true, MaxIdleConnsPerHost: 16}}}
}

// NewID returns the id of a new attempt.
func (c *Client) NewID() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.next++
	return fmt.Sprintf("%016x", uint64(0x1c41d07b00000000)+uint64(c.next))
}

// Answer is what the client gets.
type Answer struct {
	Status int
	Stamp  string
	Body   string
	Err    error // The connection ended before the end of the answer, or there was none.
	Header http.Header
}

// Send sends a request and reads its answer.
func (c *Client) Send(r *Router, method, path, id string, deadline time.Duration, header map[string]string, onEvent func()) Answer {
	ctx, cancel := context.WithTimeout(context.Background(), deadline+500*time.Millisecond)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, "http://"+r.Front+path, nil)
	if err != nil {
		return Answer{Err: err}
	}
	request.Host = Host
	request.Header.Set("Amaranthreach-Attempt-Id", id)
	request.Header.Set("Amaranthreach-Deadline-Ms", strconv.FormatInt(deadline.Milliseconds(), 10))
	request.Header.Set("Amaranthreach-Key", Key)
	for name, value := range header {
		request.Header.Set(name, value)
	}
	c.record.Add("%s sent to %s (%s)", id, r.Name, path)
	response, err := c.http.Do(request)
	if err != nil {
		c.record.Add("%s: no answer (%v)", id, err)
		return Answer{Err: err}
	}
	defer response.Body.Close()
	var body strings.Builder
	buffer := make([]byte, 4096)
	for err == nil {
		var n int
		n, err = response.Body.Read(buffer)
		body.Write(buffer[:n])
		if n > 0 && onEvent != nil {
			onEvent()
		}
	}
	if err == io.EOF {
		err = nil
	}
	a := Answer{Status: response.StatusCode, Stamp: response.Header.Get("Amaranthreach-Server-Stamp"), Body: body.String(), Err: err, Header: response.Header}
	c.record.Add("%s answered %d %s, %d bytes, whole: %v", id, a.Status, a.Stamp, len(a.Body), err == nil)
	return a
}

// StreamHeader returns the header of a request for a stream.
func StreamHeader(id string) map[string]string {
	return map[string]string{"Amaranthreach-Model": Model, "Amaranthreach-Token-Count": "600,80", "Amaranthreach-Prefix-Hash": "5c1e07a2:400," + id + ":200"}
}
