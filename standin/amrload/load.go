// Package amrload generates an open-loop load of completion requests at a constant
// mean rate, and measures the time to the first token and to the end of the
// response.
package amrload

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"golang.org/x/sync/errgroup"

	"amaranthreach.example/core/amrsse"
	"amaranthreach.example/standin/amrpace"
)

const (
	maxPreparedSends = 64   // Maximum number of requests that are prepared before they are due.
	idleConns        = 1024 // Maximum number of idle connections to a target.
	requestTimeout   = time.Minute
	doneMarker       = "[DONE]" // Data of the last event of a complete stream.
)

// Load describes an open-loop load: requests are sent at random times with a given
// mean rate, whether or not earlier ones have been answered. Routers and engines
// accept the same requests.
type Load struct {
	URLs         []string // Base URLs of routers or engines, used in turn.
	Key          string   // API key of the team.
	Model        string
	Rate         float64         // Mean number of requests per second.
	Duration     time.Duration   // Time during which requests are sent.
	PromptTokens int             // Length of each prompt.
	OutputTokens int             // Maximum length of each response.
	Clock        clockwork.Clock // If nil, the real clock is used.
}

// Result contains the measurements of a run. All times start when a request is due,
// so that they include delays of the load generator itself.
type Result struct {
	Sent       int
	Answered   int                // Number of complete responses.
	Failed     map[string]int     // Number of other requests by status or error.
	Lateness   *amrpace.Histogram // Time until a request was sent.
	FirstToken *amrpace.Histogram // Time until the first event of a response, which has the first token.
	Total      *amrpace.Histogram // Time until the end of a response.
}

// Run sends the requests and returns the measurements when all have completed or
// failed. Failed requests are counted in the result. The error is that of ctx if it
// is done first.
func (l Load) Run(ctx context.Context) (Result, error) {
	if l.Clock == nil {
		l.Clock = clockwork.NewRealClock()
	}
	transport := &http.Transport{MaxIdleConnsPerHost: idleConns, DisableCompression: true}
	defer transport.CloseIdleConnections()
	s := &sender{
		load:   l,
		client: &http.Client{Transport: transport, Timeout: requestTimeout},
		prompt: strings.Repeat("text", l.PromptTokens),
		result: Result{
			Failed:     make(map[string]int),
			Lateness:   amrpace.NewHistogram(),
			FirstToken: amrpace.NewHistogram(),
			Total:      amrpace.NewHistogram(),
		},
	}
	sends := make(chan amrpace.ScheduledSend, maxPreparedSends)
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return s.prepare(ctx, sends) })
	group.Go(func() error { return amrpace.Run(ctx, l.Clock, sends) })
	err := group.Wait()
	return s.result, err
}

// sender sends the requests of a load and collects the measurements.
type sender struct {
	load   Load
	client *http.Client
	prompt string

	mu     sync.Mutex
	result Result
}

// requestBody is the body of a completion request.
type requestBody struct {
	RequestID string `json:"request_id"`
	Model     string `json:"model"`
	Prompt    string `json:"prompt"`
	MaxTokens int    `json:"max_tokens"`
	Stream    bool   `json:"stream"`
}

// prepare writes the requests with their due times to sends, and closes it. The times
// between requests have an exponential distribution. The random numbers have a
// fixed seed, so that these times are the same in each run with the same rate.
func (s *sender) prepare(ctx context.Context, sends chan<- amrpace.ScheduledSend) error {
	defer close(sends)
	random := rand.New(rand.NewPCG(1, 1))
	start := s.load.Clock.Now()
	offset := time.Duration(0)
	for i := 0; ; i++ {
		offset += time.Duration(random.ExpFloat64() / s.load.Rate * float64(time.Second))
		if offset >= s.load.Duration {
			return nil
		}
		due := start.Add(offset)
		body, err := json.Marshal(requestBody{fmt.Sprintf("load-%d", i), s.load.Model, s.prompt, s.load.OutputTokens, true})
		if err != nil {
			return err
		}
		url := s.load.URLs[i%len(s.load.URLs)]
		select {
		case sends <- amrpace.ScheduledSend{Due: due, Do: func() { s.send(ctx, url, body, due) }}:
		case <-ctx.Done():
			return nil
		}
	}
}

// send sends a request and records its measurements.
func (s *sender) send(ctx context.Context, url string, body []byte, due time.Time) {
	lateness := s.load.Clock.Since(due)
	first, failure := s.stream(ctx, url, body, due)
	total := s.load.Clock.Since(due)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.result.Sent++
	s.result.Lateness.Record(lateness)
	if failure != "" {
		s.result.Failed[failure]++
		return
	}
	s.result.Answered++
	s.result.FirstToken.Record(first)
	s.result.Total.Record(total)
}

// stream sends a request and reads the response to its end. It returns the time from
// due to the first event, or the reason why there was no complete response.
func (s *sender) stream(ctx context.Context, url string, body []byte, due time.Time) (first time.Duration, failure string) {
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, url+"/v1/completions", bytes.NewReader(body))
	if err != nil {
		return 0, err.Error()
	}
	request.Header.Set("Content-Type", "application/json")
	request.Header.Set("Authorization", "Bearer "+s.load.Key)
	response, err := s.client.Do(request)
	if err != nil {
		return 0, "request failed"
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return 0, response.Status
	}
	reader := amrsse.NewReader(response.Body)
	for {
		data, err := reader.Next()
		if err != nil {
			return 0, "response truncated"
		}
		if first == 0 {
			first = s.load.Clock.Since(due)
		}
		if string(data) == doneMarker {
			return first, ""
		}
	}
}
