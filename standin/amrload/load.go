// Package amrload sends requests at a steady rate in open loop and measures
// the time to the first token and to the end of the answer.
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
	sendsAhead     = 64
	idleConns      = 1024
	requestTimeout = time.Minute
	doneMarker     = "[DONE]"
)

// Load is a steady rate of requests. Router and engine take them alike.
type Load struct {
	URLs         []string // Of routers or engines, used in turn.
	Key          string   // Bearer key of the team.
	Model        string
	Rate         float64 // Requests per second.
	Duration     time.Duration
	PromptTokens int
	OutputTokens int
	Clock        clockwork.Clock // Nil for the real one.
}

// Result is what came of a load.
type Result struct {
	Sent     int
	Answered int
	Failed   map[string]int // By status or error.
	Lateness *amrpace.Histogram
	First    *amrpace.Histogram // From when a request was due to its first token.
	Whole    *amrpace.Histogram // From when a request was due to the end of its answer.
}

// Run sends the requests and waits for their answers.
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
			Failed:   make(map[string]int),
			Lateness: amrpace.NewHistogram(),
			First:    amrpace.NewHistogram(),
			Whole:    amrpace.NewHistogram(),
		},
	}
	sends := make(chan amrpace.ScheduledSend, sendsAhead)
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return s.prepare(ctx, sends) })
	group.Go(func() error { return amrpace.Run(ctx, l.Clock, sends) })
	err := group.Wait()
	return s.result, err
}

// sender sends the requests of a load.
type sender struct {
	load   Load
	client *http.Client
	prompt string

	mu     sync.Mutex
	result Result
}

type requestBody struct {
	RequestID string `json:"request_id"`
	Model     string `json:"model"`
	Prompt    string `json:"prompt"`
	MaxTokens int    `json:"max_tokens"`
	Stream    bool   `json:"stream"`
}

func (s *sender) prepare(ctx context.Context, sends chan<- amrpace.ScheduledSend) error {
	defer close(sends)
	random := rand.New(rand.NewPCG(1, 1))
	begin := s.load.Clock.Now()
	at := time.Duration(0)
	for i := 0; ; i++ {
		at += time.Duration(random.ExpFloat64() / s.load.Rate * float64(time.Second))
		if at >= s.load.Duration {
			return nil
		}
		due := begin.Add(at)
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

func (s *sender) send(ctx context.Context, url string, body []byte, due time.Time) {
	lateness := s.load.Clock.Since(due)
	first, failure := s.stream(ctx, url, body, due)
	whole := s.load.Clock.Since(due)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.result.Sent++
	s.result.Lateness.Record(lateness)
	if failure != "" {
		s.result.Failed[failure]++
		return
	}
	s.result.Answered++
	s.result.First.Record(first)
	s.result.Whole.Record(whole)
}

// stream reads an answer to its end. It returns the time to the first event,
// or why there was no whole answer.
func (s *sender) stream(ctx context.Context, url string, body []byte, due time.Time) (first time.Duration, failure string) {
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, url+"/v1/completions", bytes.NewReader(body))
	if err != nil {
		return 0, err.Error()
	}
	request.Header.Set("Content-Type", "application/json")
	request.Header.Set("Authorization", "Bearer "+s.load.Key)
	response, err := s.client.Do(request)
	if err != nil {
		return 0, "connection"
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return 0, response.Status
	}
	reader := amrsse.NewReader(response.Body)
	for {
		data, err := reader.Next()
		if err != nil {
			return 0, "cut"
		}
		if first == 0 {
			first = s.load.Clock.Since(due)
		}
		if string(data) == doneMarker {
			return first, ""
		}
	}
}
