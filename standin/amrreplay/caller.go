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
	maxSends      = 4 // A caller sends again so often when its connection is cut.
	maxConnects   = 500
	connectPause  = 10 * time.Millisecond // Before all routers are tried again.
	idleConns     = 1024
	doneMarker    = "[DONE]"
	requestIDName = "X-Request-Id"
)

// outcome says what a caller got.
type outcome string

const (
	outcomeAnswered outcome = "answered" // The whole right answer.
	outcomeRefused  outcome = "refused"  // A refusal with a reason.
	outcomeCut      outcome = "cut"      // Neither.
	outcomeWrong    outcome = "wrong"    // An answer that is not the request's.
)

// call is what a caller saw of one request. Times count from the start of the
// replay.
type call struct {
	due         time.Duration
	sent        time.Duration
	first       time.Duration // First token; 0 for none.
	done        time.Duration
	sends       int
	id          string // Request id of the last answer.
	fingerprint uint64
	outcome     outcome
	reason      string
	ran         string
}

// caller sends requests to the routers that are ready, in turn, as a balancer
// would.
type caller struct {
	routers []*amrfleet.RouterProcess
	urls    []string // Of routers, which keep them over restarts.
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
		client:  &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: idleConns, DisableCompression: true}},
	}
}

func (c *caller) close() {
	c.client.CloseIdleConnections()
}

// requestBody is a request ready to be sent.
type requestBody struct {
	team        string
	key         string
	data        []byte
	fingerprint uint64
	answer      string // The one right answer.
}

type completionBody struct {
	Model      string `json:"model"`
	Prompt     string `json:"prompt"`
	MaxTokens  int    `json:"max_tokens"`
	Stream     bool   `json:"stream"`
	Idempotent bool   `json:"idempotent"`
}

func newRequestBody(r amrtrace.Request) requestBody {
	prompt := r.Prompt()
	data, err := json.Marshal(completionBody{
		Model:      r.Model,
		Prompt:     prompt,
		MaxTokens:  r.OutputTokens,
		Stream:     true,
		Idempotent: !r.Once,
	})
	if err != nil {
		panic(err) // Strings and numbers always marshal.
	}
	fingerprint := amrengine.Fingerprint(prompt)
	return requestBody{
		team:        r.Team,
		key:         r.Key,
		data:        data,
		fingerprint: fingerprint,
		answer:      amrengine.CompletionText(fingerprint, r.OutputTokens),
	}
}

// call sends a request and notes what came of it. When its connection is cut,
// it sends the request again to the next router, over a connection that no
// earlier request used: idle ones to the same router may be dead as well.
func (c *caller) call(ctx context.Context, body requestBody, got *call, now func() time.Duration) {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	got.sent = now()
	got.fingerprint = body.fingerprint
	for got.sends < maxSends {
		got.sends++
		got.outcome = c.send(ctx, body, got, now)
		if got.outcome != outcomeCut || ctx.Err() != nil {
			break
		}
		c.client.CloseIdleConnections()
	}
	got.done = now()
}

func (c *caller) send(ctx context.Context, body requestBody, got *call, now func() time.Duration) outcome {
	response, err := c.post(ctx, body)
	if err != nil {
		return outcomeCut
	}
	defer response.Body.Close()
	got.id = response.Header.Get(requestIDName)
	if response.StatusCode != http.StatusOK {
		return got.refused(response.Body)
	}
	return got.read(response.Body, body.answer, now)
}

var errNotServing = errors.New("no router is ready; wait")

// post tries each router, again and again, until one takes the connection.
func (c *caller) post(ctx context.Context, body requestBody) (response *http.Response, err error) {
	turn := c.next.Add(1)
	for range maxConnects {
		for i := range c.urls {
			router := (turn + uint64(i)) % uint64(len(c.urls))
			if !c.routers[router].Serving() {
				err = errNotServing
				continue
			}
			response, err = c.postTo(ctx, c.urls[router], body)
			if err == nil || !isDialError(err) {
				return response, err
			}
		}
		if amrpace.SleepUntil(ctx, c.clock, c.clock.Now().Add(connectPause)) != nil {
			break
		}
	}
	return nil, err
}

func (c *caller) postTo(ctx context.Context, url string, body requestBody) (*http.Response, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, url+"/v1/completions", bytes.NewReader(body.data))
	if err != nil {
		return nil, err
	}
	request.GetBody = nil // Otherwise the transport sends a request with a key again on its own.
	request.Header.Set("Authorization", "Bearer "+teamKey(body.team))
	request.Header.Set("Content-Type", "application/json")
	if body.key != "" {
		request.Header.Set("Idempotency-Key", body.key)
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

func (got *call) refused(r io.Reader) outcome {
	var body refusalBody
	if err := json.NewDecoder(r).Decode(&body); err != nil || body.Error == nil || body.Error.Code == "" {
		return outcomeCut
	}
	got.reason, got.ran = body.Error.Code, body.Error.Ran
	return outcomeRefused
}

type streamEvent struct {
	Choices []struct {
		Text string `json:"text"`
	} `json:"choices"`
	Error *refusalFields `json:"error"`
}

// read reads a stream up to its end.
func (got *call) read(r io.Reader, want string, now func() time.Duration) outcome {
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
			got.reason, got.ran = event.Error.Code, event.Error.Ran
			return outcomeRefused
		}
		for _, choice := range event.Choices {
			if choice.Text != "" && got.first == 0 {
				got.first = now()
			}
			text.WriteString(choice.Text)
		}
	}
}
