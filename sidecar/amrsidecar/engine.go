package amrsidecar

import (
	"bytes"
	"context"
	"encoding/hex"
	"encoding/json"
	"errors"
	"log/slog"
	"net/http"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"golang.org/x/sync/errgroup"

	"amaranthreach.example/core/amrgate"
	"amaranthreach.example/core/amrhttp"
	"amaranthreach.example/core/amrprompt"
	"amaranthreach.example/core/amrreason"
	"amaranthreach.example/core/amrsse"
	"amaranthreach.example/core/amrtick"
)

const (
	statusInterval = 200 * time.Millisecond // Time between two polls of the status.
	statusTimeout  = 2 * time.Second
	maxStatusBytes = 64 << 10
	doneMarker     = "[DONE]" // Last event of a completion stream.
)

var errBadStatus = errors.New("engine answered with an HTTP status other than 200; wait for the next poll")

// engine is a model engine as the backend server. It streams completions and
// reports its status and its cache events over HTTP.
type engine struct {
	url    string
	client *http.Client
	clock  clockwork.Clock
	log    *slog.Logger

	observer engineObserver

	mu        sync.Mutex
	lastState backendState
}

func newEngine(url string, clock clockwork.Clock, log *slog.Logger, observer engineObserver) *engine {
	transport := amrhttp.NewRoundTripper(&http.Transport{MaxIdleConnsPerHost: 256, DisableCompression: true})
	return &engine{url: url, client: &http.Client{Transport: transport}, clock: clock, log: log, observer: observer}
}

// completionRequest is the body of a completion request.
type completionRequest struct {
	RequestID      string   `json:"request_id"`
	Prompt         string   `json:"prompt"`
	MaxTokens      int      `json:"max_tokens"`
	Stream         bool     `json:"stream"`
	Priority       int      `json:"priority"`
	WeightsVersion string   `json:"weights_version,omitempty"`
	BlockKeys      []string `json:"block_keys,omitempty"`
	ResumeText     string   `json:"resume_text,omitempty"`
	ResumeTokens   int      `json:"resume_tokens,omitempty"`
}

// completionEvent is one event of a completion stream. If an event has a usage, its
// text is ignored.
type completionEvent struct {
	Index        int     `json:"index"`
	Text         string  `json:"text"`
	FinishReason *string `json:"finish_reason"`
	Usage        *usage  `json:"usage"`
}

// usage counts the tokens of a completion.
type usage struct {
	PromptTokens     int `json:"prompt_tokens"`
	CachedTokens     int `json:"cached_tokens"`
	CompletionTokens int `json:"completion_tokens"`
}

// engineStatus is the engine's answer to a poll of its status.
type engineStatus struct {
	Incarnation            string `json:"incarnation"`
	WeightsVersion         string `json:"weights_version"`
	BatchLimit             int    `json:"batch_limit"`
	PrefillTokensPerSecond int    `json:"prefill_tokens_per_second"`
	CapacityBlocks         int    `json:"capacity_blocks"`
}

// run sends the request as a streamed completion and relays its text.
func (e *engine) run(ctx context.Context, request *amrgate.DispatchRequest, relay func(answerChunk) error) (attemptResult, error) {
	response, err := e.post(ctx, request)
	if err != nil {
		return attemptResult{}, err
	}
	defer response.Body.Close()
	reader := amrsse.NewReader(response.Body)
	var result attemptResult
	for {
		data, err := reader.Next()
		if err != nil {
			return attemptResult{}, e.lostError(ctx, err)
		}
		if string(data) == doneMarker {
			return result, nil
		}
		var event completionEvent
		if err := json.Unmarshal(data, &event); err != nil {
			return attemptResult{}, attemptError{reason: amrreason.Internal, ran: amrreason.DidRun}
		}
		if event.Usage != nil {
			result = event.attemptResult()
			continue
		}
		if err := relay(answerChunk{text: event.Text, tokens: 1}); err != nil {
			return attemptResult{}, err
		}
	}
}

// post sends the completion request and returns the response if the engine
// accepted it. The caller closes the response's body.
func (e *engine) post(ctx context.Context, request *amrgate.DispatchRequest) (*http.Response, error) {
	body, err := json.Marshal(completionOf(request))
	if err != nil {
		return nil, attemptError{reason: amrreason.Internal, ran: amrreason.NotRun}
	}
	post, err := http.NewRequestWithContext(ctx, http.MethodPost, e.url+"/v1/completions", bytes.NewReader(body))
	if err != nil {
		return nil, attemptError{reason: amrreason.Internal, ran: amrreason.NotRun}
	}
	post.Header.Set("Content-Type", "application/json")
	response, err := e.client.Do(post)
	if err != nil {
		return nil, e.postError(ctx, err)
	}
	switch response.StatusCode {
	case http.StatusOK:
		return response, nil
	case http.StatusConflict:
		_ = response.Body.Close()
		return nil, attemptError{reason: amrreason.WrongWeights, ran: amrreason.NotRun}
	default:
		_ = response.Body.Close()
		return nil, attemptError{reason: amrreason.EngineUnavailable, ran: amrreason.NotRun}
	}
}

// completionOf returns the engine's form of the request.
func completionOf(request *amrgate.DispatchRequest) completionRequest {
	keys := amrprompt.DecodeKeys(request.GetBlockKeys())
	names := make([]string, len(keys))
	for i, key := range keys {
		names[i] = hex.EncodeToString(key[:])
	}
	return completionRequest{
		RequestID:      request.GetRequestId(),
		Prompt:         request.GetPrompt(),
		MaxTokens:      int(request.GetMaxTokens()),
		Stream:         true,
		Priority:       int(request.GetPriority()),
		WeightsVersion: request.GetWeightsVersion(),
		BlockKeys:      names,
		ResumeText:     request.GetResumeText(),
		ResumeTokens:   int(request.GetResumeTokens()),
	}
}

// attemptResult returns the result of the attempt from the event that has the
// usage.
func (event completionEvent) attemptResult() attemptResult {
	result := attemptResult{
		promptTokens:     event.Usage.PromptTokens,
		cachedTokens:     event.Usage.CachedTokens,
		completionTokens: event.Usage.CompletionTokens,
	}
	if event.FinishReason != nil {
		result.finishReason = *event.FinishReason
	}
	return result
}

// postError returns the error for a request that got no response. If the
// connection could not be established, the request has not run. If ctx is done,
// postError returns its error.
func (e *engine) postError(ctx context.Context, err error) error {
	if ctx.Err() != nil {
		return ctx.Err()
	}
	if isDialError(err) {
		e.setReady(false)
		return attemptError{reason: amrreason.EngineUnavailable, ran: amrreason.NotRun, cause: err}
	}
	return e.lostError(ctx, err)
}

// lostError returns the error for a request whose connection broke by err, and marks the
// engine as not ready until the next successful poll. If ctx is done, lostError
// returns its error.
func (e *engine) lostError(ctx context.Context, err error) error {
	if ctx.Err() != nil {
		return ctx.Err()
	}
	e.setReady(false)
	return attemptError{reason: amrreason.EngineLost, ran: amrreason.RunUnknown, cause: err}
}

// setReady sets whether the engine is ready, and passes the state to the observer.
func (e *engine) setReady(ready bool) {
	e.mu.Lock()
	e.lastState.ready = ready
	state := e.lastState
	e.mu.Unlock()
	e.observer.observeState(state)
}

// state returns the last known state: that found by the last poll, or not ready if
// a connection failed since.
func (e *engine) state() backendState {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.lastState
}

// crashed polls the engine and reports whether it is down or runs as another
// incarnation.
func (e *engine) crashed(ctx context.Context, incarnation string) bool {
	e.poll(ctx)
	state := e.state()
	return !state.ready || state.incarnation != incarnation
}

// watch polls the engine's status and cache events until ctx is done.
func (e *engine) watch(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return e.followEvents(ctx) })
	group.Go(func() error { return e.followStatus(ctx) })
	return group.Wait()
}

// followStatus polls the status every statusInterval until ctx is done.
func (e *engine) followStatus(ctx context.Context) error {
	e.poll(ctx)
	amrtick.Every(ctx, e.clock, statusInterval, func() { e.poll(ctx) })
	e.client.CloseIdleConnections()
	return nil
}

// poll fetches the status, stores it as the state and passes it to the observer.
// An engine whose status cannot be fetched is not ready.
func (e *engine) poll(ctx context.Context) {
	status, err := e.fetchStatus(ctx)
	if err != nil {
		if ctx.Err() == nil {
			e.setReady(false)
		}
		return
	}
	state := backendState{
		ready:          true,
		incarnation:    status.Incarnation,
		weightsVersion: status.WeightsVersion,
		batchLimit:     status.BatchLimit,
		cacheBlocks:    status.CapacityBlocks,
		prefillRate:    status.PrefillTokensPerSecond,
	}
	e.mu.Lock()
	previous := e.lastState.incarnation
	e.lastState = state
	e.mu.Unlock()
	if previous != state.incarnation {
		e.log.Info("engine process started or restarted", "incarnation", state.incarnation)
	}
	e.observer.observeState(state)
}

func (e *engine) fetchStatus(ctx context.Context) (engineStatus, error) {
	ctx, cancel := context.WithTimeout(ctx, statusTimeout)
	defer cancel()
	get, err := http.NewRequestWithContext(ctx, http.MethodGet, e.url+"/v1/status", nil)
	if err != nil {
		return engineStatus{}, err
	}
	response, err := e.client.Do(get)
	if err != nil {
		return engineStatus{}, err
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return engineStatus{}, errBadStatus
	}
	var status engineStatus
	err = amrhttp.DecodeJSON(response.Body, maxStatusBytes, &status)
	return status, err
}
