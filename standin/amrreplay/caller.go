package amrreplay

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"

	"amaranthreach.example/core/amrsse"
	"amaranthreach.example/standin/amrengine"
	"amaranthreach.example/standin/amrfleet"
	"amaranthreach.example/standin/amrpace"
	"amaranthreach.example/standin/amrtrace"
)

const (
	// A caller sends a request at most this many times if its connection
	// breaks.
	maxSends = 4
	// A caller tries to connect to all routers at most this many times for
	// each send.
	maxConnectRounds     = 500
	connectRetryInterval = 10 * time.Millisecond // A caller waits this long between two rounds.
	maxIdleConns         = 1024
	doneMarker           = "[DONE]"
	requestIDHeader      = "X-Request-Id"
)

// outcome is the result of a request as its caller received it.
type outcome string

const (
	outcomeAnswered outcome = "answered" // The caller received the complete and correct answer.
	outcomeRefused  outcome = "refused"  // The caller received a refusal with a reason.
	outcomeCut      outcome = "cut"      // The answer ended early, or the caller received none.
	// The caller received an answer with a wrong text or a malformed event.
	outcomeWrong outcome = "wrong"
)

// call records one request as its caller observed it. Times are wall times
// since the start of the replay.
type call struct {
	due         time.Duration
	sent        time.Duration
	firstToken  time.Duration // firstToken is 0 if no token was received.
	finished    time.Duration
	sends       int
	requestID   string // requestID is the id in the last answer.
	fingerprint uint64
	outcome     outcome
	reason      string
	ran         string
}

// caller sends requests to the ready routers in round-robin order, as a load
// balancer does.
type caller struct {
	routers []*amrfleet.RouterProcess
	urls    []string // urls holds the URL of each router; restarts do not change it.
	client  *http.Client
	clock   clockwork.Clock
	timeout time.Duration
	next    atomic.Uint64
}

func newCaller(clock clockwork.Clock, routers []*amrfleet.RouterProcess, timeout time.Duration) *caller {
	urls := make([]string, len(routers))
	for i, r := range routers {
		urls[i] = r.CallersURL()
	}
	return &caller{
		routers: routers,
		urls:    urls,
		clock:   clock,
		timeout: timeout,
		client:  &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: maxIdleConns, DisableCompression: true}},
	}
}

func (c *caller) close() {
	c.client.CloseIdleConnections()
}

// encodedRequest is a request that is ready to be sent.
type encodedRequest struct {
	team        string
	key         string
	body        []byte
	fingerprint uint64
	wantAnswer  string // wantAnswer is the text of the correct answer.
}

type completionBody struct {
	Model      string `json:"model"`
	Prompt     string `json:"prompt"`
	MaxTokens  int    `json:"max_tokens"`
	Stream     bool   `json:"stream"`
	Idempotent bool   `json:"idempotent"`
}

func encodeRequest(r amrtrace.Request) encodedRequest {
	prompt := r.Prompt()
	body, err := json.Marshal(completionBody{
		Model:      r.Model,
		Prompt:     prompt,
		MaxTokens:  r.OutputTokens,
		Stream:     true,
		Idempotent: !r.NonIdempotent,
	})
	if err != nil {
		panic(err) // Strings, numbers and booleans can always be marshaled.
	}
	fingerprint := amrengine.Fingerprint(prompt)
	return encodedRequest{
		team:        r.Team,
		key:         r.Key,
		body:        body,
		fingerprint: fingerprint,
		wantAnswer:  amrengine.CompletionText(fingerprint, r.OutputTokens),
	}
}

// call sends a request and records the outcome in result. If the connection
// breaks, it sends the request again to the next router, up to maxSends times
// in all, over a new connection, because idle connections to the same router
// may be broken as well.
func (c *caller) call(ctx context.Context, encoded encodedRequest, result *call, elapsed func() time.Duration) {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	result.sent = elapsed()
	result.fingerprint = encoded.fingerprint
	for result.sends < maxSends {
		result.sends++
		result.outcome = c.send(ctx, encoded, result, elapsed)
		if result.outcome != outcomeCut || ctx.Err() != nil {
			break
		}
		c.client.CloseIdleConnections()
	}
	result.finished = elapsed()
}

func (c *caller) send(ctx context.Context, encoded encodedRequest, result *call, elapsed func() time.Duration) outcome {
	response, err := c.postToAny(ctx, encoded)
	if err != nil {
		return outcomeCut
	}
	defer response.Body.Close()
	result.requestID = response.Header.Get(requestIDHeader)
	if response.StatusCode != http.StatusOK {
		return result.readRefusal(response.Body)
	}
	return result.readStream(response.Body, encoded.wantAnswer, elapsed)
}

var errNotServing = errors.New("no router is ready; wait until one is")

// postToAny posts the request to the next ready router that accepts a
// connection, and returns its response. It tries all routers up to
// maxConnectRounds times. Once a connection was made, it returns any error
// without trying another router, since the request may have been sent.
func (c *caller) postToAny(ctx context.Context, encoded encodedRequest) (response *http.Response, err error) {
	turn := c.next.Add(1)
	for range maxConnectRounds {
		for i := range c.urls {
			router := (turn + uint64(i)) % uint64(len(c.urls))
			if !c.routers[router].Serving() {
				err = errNotServing
				continue
			}
			response, err = c.postTo(ctx, c.urls[router], encoded)
			if err == nil || !isDialError(err) {
				return response, err
			}
		}
		if amrpace.SleepUntil(ctx, c.clock, c.clock.Now().Add(connectRetryInterval)) != nil {
			break
		}
	}
	return nil, err
}

func (c *caller) postTo(ctx context.Context, url string, encoded encodedRequest) (*http.Response, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, url+"/v1/completions", bytes.NewReader(encoded.body))
	if err != nil {
		return nil, err
	}
	request.GetBody = nil // Without this, the transport itself retries a request that has an idempotency key.
	request.Header.Set("Authorization", "Bearer "+teamAPIKey(encoded.team))
	request.Header.Set("Content-Type", "application/json")
	if encoded.key != "" {
		request.Header.Set("Idempotency-Key", encoded.key)
	}
	return c.client.Do(request)
}

type refusalBody struct {
	Error *refusalFields `json:"error"`
}

type refusalFields struct {
	Code string `json:"code"`
	Ran  string `json:"ran"`
}

// readRefusal decodes a refusal and records its reason. A body that is not a
// complete refusal counts as a broken connection.
func (c *call) readRefusal(r io.Reader) outcome {
	var body refusalBody
	if err := json.NewDecoder(r).Decode(&body); err != nil || body.Error == nil || body.Error.Code == "" {
		return outcomeCut
	}
	c.reason, c.ran = body.Error.Code, body.Error.Ran
	return outcomeRefused
}

type streamEvent struct {
	Choices []struct {
		Text string `json:"text"`
	} `json:"choices"`
	Error *refusalFields `json:"error"`
}

// readStream reads an event stream up to its end and compares the text with
// want. It records the time of the first token.
func (c *call) readStream(r io.Reader, want string, elapsed func() time.Duration) outcome {
	reader := amrsse.NewReader(r)
	var text strings.Builder
	for {
		data, err := reader.Next()
		if err != nil {
			return outcomeCut
		}
		if string(data) == doneMarker {
			if text.String() != want {
				return outcomeWrong
			}
			return outcomeAnswered
		}
		var event streamEvent
		if err := json.Unmarshal(data, &event); err != nil {
			return outcomeWrong
		}
		if event.Error != nil {
			c.reason, c.ran = event.Error.Code, event.Error.Ran
			return outcomeRefused
		}
		for _, choice := range event.Choices {
			if choice.Text != "" && c.firstToken == 0 {
				c.firstToken = elapsed()
			}
			text.WriteString(choice.Text)
		}
	}
}
