package amrsite

import (
	"cmp"
	"context"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// Headers that tests check in the requests that backend servers receive.
const (
	TeamHeader     = "Amaranthreach-Tenant"
	KeyHeader      = "Amaranthreach-Key"
	DeadlineHeader = "Amaranthreach-Deadline-Ms"
)

const (
	tokensHeader = "Amaranthreach-Token-Count" // Prompt tokens and maximum number of output tokens.
	partsHeader  = "Amaranthreach-Prefix-Hash" // Parts of the prompt, as "ID:TOKENS,...".
	saltHeader   = "Amaranthreach-Cache-Salt"
)

// poisonQuery is the query parameter that makes a Server drop the connection of
// the request, as if the request had crashed it.
const poisonQuery = "poison"

// CrashingPart begins the ID of a part of prompts that crashes each Server which
// begins to respond to it, unless the part is the last one.
const CrashingPart = "bad"

// Request is a client's request to a router.
type Request struct {
	ID          string
	Route       string        // One of the routes that PutConfig writes.
	Key         string        // API key of the team.
	Model       string        // Requested model; only used on the routes for streams.
	Timeout     time.Duration // Sent in DeadlineHeader.
	PromptParts string        // Parts of the prompt as "ID:TOKENS,..."; only used on the routes for streams.
	Content     string        // Distinguishes requests that are otherwise the same.
	Poison      string        // If not empty, each server that runs the request drops its connection.
	Resumes     string        // ID of the request that brought the first event of the stream which this one takes up; empty for a new stream.
	LastEventID string        // ID of the last event of that stream that the client got.
	Tokens      string        // "PROMPT,OUTPUT" tokens; empty for defaultTokens.
	BeginsAfter time.Duration // Time for which it waits at an engine before it begins.
	Flood       int           // If not 0, the number of large events that an engine sends at once in place of its stream, or of pieces of that size by which a broken response of a service is longer.
	UploadBytes int           // Length of the body; 0 for a short one.
}

// defaultTokens are the prompt tokens and the maximum number of output tokens of a
// Request.
const defaultTokens = "1460,80"

// waitQuery is the query parameter with the value of Request.BeginsAfter.
const waitQuery = "begins-after"

// floodQuery is the query parameter with the value of Request.Flood.
const floodQuery = "flood"

// NewHTTPRequest returns the HTTP request to the router at the address.
func (r Request) NewHTTPRequest(ctx context.Context, address string) (*http.Request, error) {
	url := "http://" + address + "/" + r.Route + "/x?y=1" + r.Content
	if r.Poison != "" {
		url += "&" + poisonQuery + "=" + r.Poison
	}
	if r.Flood > 0 {
		url += "&" + floodQuery + "=" + strconv.Itoa(r.Flood)
	}
	if r.BeginsAfter > 0 {
		url += "&" + waitQuery + "=" + r.BeginsAfter.String()
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, url, strings.NewReader(r.body()))
	if err != nil {
		return nil, err
	}
	request.Host = Host
	h := request.Header
	h.Set("Amaranthreach-Attempt-Id", r.ID)
	h.Set(DeadlineHeader, strconv.FormatInt(r.Timeout.Milliseconds(), 10))
	h.Set(KeyHeader, r.Key)
	if r.Stream() {
		h.Set("Amaranthreach-Model", r.Model)
		h.Set(tokensHeader, cmp.Or(r.Tokens, defaultTokens))
		h.Set(partsHeader, r.PromptParts)
		if r.LastEventID != "" {
			h.Set("Last-Event-Id", r.LastEventID)
			h.Set("Resumes", r.Resumes)
		}
	}
	return request, nil
}

// body returns the body of the request.
func (r Request) body() string {
	if r.UploadBytes > 0 {
		return strings.Repeat("x", r.UploadBytes)
	}
	return "body"
}

// Stream reports whether the response is a stream of events.
func (r Request) Stream() bool {
	return r.Route == StreamRoute || r.Route == ResumableStreamRoute || r.Route == PatientStreamRoute
}

// CrashingPart returns the ID of the part of the prompt that crashes servers, or "".
func (r Request) CrashingPart() string {
	return crashingPart(r.PromptParts)
}

// crashingPart returns the ID of the first part of "ID:TOKENS,..." that crashes
// servers, or "". The last part does not.
func crashingPart(promptParts string) string {
	parts := strings.Split(promptParts, ",")
	for _, part := range parts[:len(parts)-1] {
		if id, _, _ := strings.Cut(part, ":"); strings.HasPrefix(id, CrashingPart) {
			return id
		}
	}
	return ""
}

// Repeatable reports whether a router may run the request more than once.
func (r Request) Repeatable() bool {
	return r.Route == IdempotentRoute || r.Route == ResumableStreamRoute || r.Route == PatientStreamRoute
}

// Response is the response to a Request.
type Response struct {
	Status int
	Stamp  string // Value of the header with the server's stamp; empty for responses of the router itself.
	Header http.Header
	Body   string // The part of the body that was received, up to maxBodyKept bytes.
	Err    error  // Error while the body was read, or nil.
}

// maxBodyKept is the number of bytes of a body that are kept, which is more than any
// complete response has. To keep an endless body would take longer than to receive it,
// so that it would seem to end late.
const maxBodyKept = 1 << 20

// Send sends the request to the router at the address and reads the response. It
// returns an error if it did not receive the header of a response; an error in the
// body is part of the Response.
func (r Request) Send(ctx context.Context, client *http.Client, address string) (Response, error) {
	request, err := r.NewHTTPRequest(ctx, address)
	if err != nil {
		return Response{}, err
	}
	response, err := client.Do(request)
	if err != nil {
		return Response{}, err
	}
	defer response.Body.Close()
	body, err := io.ReadAll(io.LimitReader(response.Body, maxBodyKept))
	if err == nil {
		_, err = io.Copy(io.Discard, response.Body)
	}
	return Response{
		Status: response.StatusCode, Stamp: response.Header.Get("Amaranthreach-Server-Stamp"),
		Header: response.Header, Body: string(body), Err: err,
	}, nil
}

// IsComplete reports whether the response is successful and has the complete body of
// the server with the stamp. For a stream, events is the number of its events.
func (r Request) IsComplete(response Response, events int) bool {
	server, found := strings.CutPrefix(response.Stamp, stampPrefix)
	if response.Status != http.StatusOK || response.Err != nil || !found {
		return false
	}
	if r.Stream() {
		last, _ := strconv.Atoi(r.LastEventID) // 0 for a new stream.
		return response.Body == strings.TrimPrefix(StreamBody(events), StreamBody(last))
	}
	return response.Body == serviceBody+server
}

// ServerOfStamp returns the name of the server with the stamp, or "" if it is none.
func ServerOfStamp(stamp string) string {
	server, found := strings.CutPrefix(stamp, stampPrefix)
	if !found {
		return ""
	}
	return server
}

// StreamBody returns the body of a complete stream with the number of events.
func StreamBody(events int) string {
	var b strings.Builder
	for id := 1; id <= events; id++ {
		writeEvent(&b, id)
	}
	return b.String()
}
