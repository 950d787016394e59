package amrsidecar

import (
	"bytes"
	"context"
	"encoding/hex"
	"encoding/json"
	"errors"
	"io"
	"log/slog"
	"net/http"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"golang.org/x/sync/errgroup"

	"amaranthreach.example/core/amrgate"
	"amaranthreach.example/core/amrprompt"
	"amaranthreach.example/core/amrreason"
	"amaranthreach.example/core/amrsse"
	"amaranthreach.example/core/amrtick"
)

const (
	statusInterval = 200 * time.Millisecond
	statusTimeout  = 2 * time.Second
	maxStatusBytes = 64 << 10
	doneMarker     = "[DONE]"
)

var errNotReady = errors.New("the engine is not ready; wait")

// engine is a model engine beside the sidecar.
type engine struct {
	url    string
	client *http.Client
	clock  clockwork.Clock
	log    *slog.Logger

	observer engineObserver

	mu    sync.Mutex
	known backendState
}

func newEngine(url string, clock clockwork.Clock, log *slog.Logger, observer engineObserver) *engine {
	transport := &http.Transport{MaxIdleConnsPerHost: 256, DisableCompression: true}
	return &engine{url: url, client: &http.Client{Transport: transport}, clock: clock, log: log, observer: observer}
}

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

type completionEvent struct {
	Index        int     `json:"index"`
	Text         string  `json:"text"`
	FinishReason *string `json:"finish_reason"`
	Usage        *usage  `json:"usage"`
}

type usage struct {
	PromptTokens     int `json:"prompt_tokens"`
	CachedTokens     int `json:"cached_tokens"`
	CompletionTokens int `json:"completion_tokens"`
}

type engineStatus struct {
	Incarnation            string `json:"incarnation"`
	WeightsVersion         string `json:"weights_version"`
	BatchLimit             int    `json:"batch_limit"`
	PrefillTokensPerSecond int    `json:"prefill_tokens_per_second"`
	CapacityBlocks         int    `json:"capacity_blocks"`
}

func (e *engine) run(ctx context.Context, request *amrgate.DispatchRequest, relay func(piece) error) (result, error) {
	response, err := e.post(ctx, request)
	if err != nil {
		return result{}, err
	}
	defer response.Body.Close()
	reader := amrsse.NewReader(response.Body)
	var end result
	for {
		data, err := reader.Next()
		if err != nil {
			return result{}, e.lost(ctx)
		}
		if string(data) == doneMarker {
			return end, nil
		}
		var event completionEvent
		if err := json.Unmarshal(data, &event); err != nil {
			return result{}, failure{reason: amrreason.Internal, ran: amrreason.DidRun}
		}
		if event.Usage != nil {
			end = event.result()
			continue
		}
		if err := relay(piece{text: event.Text, tokens: 1}); err != nil {
			return result{}, err
		}
	}
}

func (e *engine) post(ctx context.Context, request *amrgate.DispatchRequest) (*http.Response, error) {
	body, err := json.Marshal(completionOf(request))
	if err != nil {
		return nil, failure{reason: amrreason.Internal, ran: amrreason.NotRun}
	}
	post, err := http.NewRequestWithContext(ctx, http.MethodPost, e.url+"/v1/completions", bytes.NewReader(body))
	if err != nil {
		return nil, failure{reason: amrreason.Internal, ran: amrreason.NotRun}
	}
	post.Header.Set("Content-Type", "application/json")
	response, err := e.client.Do(post)
	if err != nil {
		return nil, e.unreached(ctx, err)
	}
	switch response.StatusCode {
	case http.StatusOK:
		return response, nil
	case http.StatusConflict:
		_ = response.Body.Close()
		return nil, failure{reason: amrreason.WrongWeights, ran: amrreason.NotRun}
	default:
		_ = response.Body.Close()
		return nil, failure{reason: amrreason.EngineUnavailable, ran: amrreason.NotRun}
	}
}

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

func (event completionEvent) result() result {
	end := result{
		promptTokens:     event.Usage.PromptTokens,
		cachedTokens:     event.Usage.CachedTokens,
		completionTokens: event.Usage.CompletionTokens,
	}
	if event.FinishReason != nil {
		end.finishReason = *event.FinishReason
	}
	return end
}

// unreached says how far a request got whose answer never began. A refused
// connection shows that it did not run.
func (e *engine) unreached(ctx context.Context, err error) error {
	if ctx.Err() != nil {
		return ctx.Err()
	}
	if isDialError(err) {
		e.setReady(false)
		return failure{reason: amrreason.EngineUnavailable, ran: amrreason.NotRun}
	}
	return e.lost(ctx)
}

func (e *engine) lost(ctx context.Context) error {
	if ctx.Err() != nil {
		return ctx.Err()
	}
	e.setReady(false)
	return failure{reason: amrreason.EngineLost, ran: amrreason.RunUnknown}
}

func (e *engine) setReady(ready bool) {
	e.mu.Lock()
	e.known.ready = ready
	known := e.known
	e.mu.Unlock()
	e.observer.observe(known)
}

func (e *engine) state() backendState {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.known
}

func (e *engine) crashed(ctx context.Context, incarnation string) bool {
	e.poll(ctx)
	known := e.state()
	return !known.ready || known.incarnation != incarnation
}

// watch follows the engine's status and cache events until ctx is done.
func (e *engine) watch(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return e.followEvents(ctx) })
	group.Go(func() error { return e.followStatus(ctx) })
	return group.Wait()
}

func (e *engine) followStatus(ctx context.Context) error {
	e.poll(ctx)
	amrtick.Every(ctx, e.clock, statusInterval, func() { e.poll(ctx) })
	e.client.CloseIdleConnections()
	return nil
}

func (e *engine) poll(ctx context.Context) {
	status, err := e.fetchStatus(ctx)
	if err != nil {
		if ctx.Err() == nil {
			e.setReady(false)
		}
		return
	}
	known := backendState{
		ready:          true,
		incarnation:    status.Incarnation,
		weightsVersion: status.WeightsVersion,
		batchLimit:     status.BatchLimit,
		cacheBlocks:    status.CapacityBlocks,
		prefillRate:    status.PrefillTokensPerSecond,
	}
	e.mu.Lock()
	old := e.known.incarnation
	e.known = known
	e.mu.Unlock()
	if old != known.incarnation {
		e.log.Info("engine-incarnation", "incarnation", known.incarnation)
	}
	e.observer.observe(known)
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
		return engineStatus{}, errNotReady
	}
	var status engineStatus
	err = json.NewDecoder(io.LimitReader(response.Body, maxStatusBytes)).Decode(&status)
	return status, err
}
