package amrengine

import (
	"context"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"path/filepath"
	"sort"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/datadriven"
	"golang.org/x/sync/errgroup"

	"amaranthreach.example/core/amrprompt"
	"amaranthreach.example/standin/amrweights"
)

// TestEngine runs the scripts in testdata/engine on the fake clock of a
// synctest bubble.
func TestEngine(t *testing.T) {
	scripts, err := filepath.Glob("testdata/engine/*")
	if err != nil || len(scripts) == 0 {
		t.Fatal("no scripts", err)
	}
	for _, path := range scripts {
		t.Run(filepath.Base(path), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				h := &harness{t: t, start: time.Now(), calls: make(map[string]*call)} //nolint:forbidigo // The bubble's clock.
				h.ctx, h.stop = context.WithCancel(t.Context())
				datadriven.RunTest(t, path, h.runCommand)
				h.stop()
				_ = h.group.Wait()
			})
		})
	}
}

// harness runs the commands of a script on engines that share a directory and a
// weight store.
type harness struct {
	t       *testing.T
	ctx     context.Context
	stop    context.CancelFunc
	start   time.Time
	group   errgroup.Group
	engines []*Engine
	calls   map[string]*call
}

// call is an HTTP request that may not have been answered yet.
type call struct {
	recorder *recorder
	cancel   context.CancelFunc
}

// recorder records a response, which the script can read while the engine still
// writes it.
type recorder struct {
	mu sync.Mutex
	*httptest.ResponseRecorder
	state string // open until the handler returns; then done, or cut if it aborted the connection.
}

func (r *recorder) setState(state string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.state = state
}

func (r *recorder) Write(p []byte) (int, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.ResponseRecorder.Write(p)
}

func (r *recorder) WriteHeader(code int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.ResponseRecorder.WriteHeader(code)
}

func (r *recorder) Flush() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.ResponseRecorder.Flush()
}

func (r *recorder) response() string {
	r.mu.Lock()
	defer r.mu.Unlock()
	body := strings.TrimSpace(strings.ReplaceAll(r.Body.String(), "\n\n", "\n"))
	return fmt.Sprintf("%s %d\n%s", r.state, r.Code, body)
}

func (h *harness) runCommand(t *testing.T, d *datadriven.TestData) string {
	switch d.Cmd {
	case "engines":
		h.newEngines(d)
	case "complete":
		h.complete(d)
	case "post":
		h.send(argument(d, "id", ""), h.engine(d), http.MethodPost, argument(d, "path", ""), d.Input, nil)
	case "get":
		h.send(argument(d, "id", ""), h.engine(d), http.MethodGet, argument(d, "path", ""), "", nil)
	case "advance":
		duration, err := time.ParseDuration(d.CmdArgs[0].Key)
		if err != nil {
			t.Fatal(err)
		}
		time.Sleep(duration) //nolint:forbidigo // The bubble's clock.
	case "hang-up":
		h.calls[argument(d, "id", "")].cancel()
	case "crash":
		h.engine(d).Crash()
	case "freeze":
		h.engine(d).Freeze(numberArgument[time.Duration](d, "ms", 0) * time.Millisecond)
	case "restart":
		h.engine(d).Restart()
	case "answer":
		synctest.Wait()
		return h.response(argument(d, "id", ""))
	case "log":
		synctest.Wait()
		return h.listRuns(h.engine(d))
	case "forecast":
		synctest.Wait()
		return h.forecast(d)
	case "state":
		synctest.Wait()
		return h.state(d)
	default:
		t.Fatalf("unknown command %s", d.Cmd)
	}
	synctest.Wait()
	return ""
}

func (h *harness) newEngines(d *datadriven.TestData) {
	directory, store := NewDirectory(), amrweights.New()
	for i := range numberArgument[int](d, "count", 1) {
		h.engines = append(h.engines, New(
			WithSeed(uint64(i)),
			WithCacheBlocks(numberArgument[int](d, "cache-blocks", 100)),
			WithBatchLimit(numberArgument[int](d, "batch-limit", 32)),
			WithQueueLimit(numberArgument[int](d, "queue-limit", 100)),
			WithFences(argument(d, "fences", "true") == "true"),
			WithPoison("poison"),
			WithEventDelay(numberArgument[time.Duration](d, "event-delay-ms", 0)*time.Millisecond),
			WithEventLoss(numberArgument[float64](d, "event-loss", 0)),
			WithStatusLag(numberArgument[time.Duration](d, "status-lag-ms", 0)*time.Millisecond),
			WithTimeScale(numberArgument[float64](d, "time-scale", 1)),
			WithDirectory(directory),
			WithWeightStore(store),
		))
	}
}

// promptOf returns a prompt and its block keys. Each block of the prompt
// repeats the name of the block; the suffix follows the last block.
func promptOf(blocks, suffix, weights string) (string, []amrprompt.Key) {
	var prompt strings.Builder
	for _, name := range strings.Split(blocks, ",") {
		if name != "" {
			prompt.WriteString(strings.Repeat(name, amrprompt.BytesPerBlock/len(name)+1)[:amrprompt.BytesPerBlock])
		}
	}
	prompt.WriteString(suffix)
	scope := amrprompt.Scope{Team: "recife", Deployment: "m1", WeightsVersion: weights}
	return prompt.String(), amrprompt.Keys(scope, prompt.String())
}

func (h *harness) forecast(d *datadriven.TestData) string {
	var pending []PendingRequest
	if blocks := argument(d, "pending", ""); blocks != "" {
		prompt, keys := promptOf(blocks, "", "w1")
		pending = append(pending, PendingRequest{RequestID: argument(d, "id", "pending"), Keys: keys, PromptTokens: amrprompt.CountTokens(prompt)})
	}
	_, keys := promptOf(argument(d, "blocks", ""), "", "w1")
	wait, blocks, up := h.engine(d).Forecast(pending, keys)
	return fmt.Sprintf("wait=%v blocks=%d up=%v", wait, blocks, up)
}

// complete sends a completion request whose prompt consists of named blocks and
// a suffix.
func (h *harness) complete(d *datadriven.TestData) {
	weights := argument(d, "weights", "w1")
	prompt, keys := promptOf(argument(d, "blocks", ""), argument(d, "suffix", ""), weights)
	body := completionRequest{
		RequestID:      argument(d, "id", ""),
		Prompt:         prompt,
		MaxTokens:      numberArgument[int](d, "max-tokens", 2),
		Stream:         argument(d, "stream", "false") == "true",
		Priority:       numberArgument[int](d, "priority", 0),
		WeightsVersion: weights,
		ResumeTokens:   numberArgument[int](d, "resume-tokens", 0),
	}
	for _, k := range keys {
		body.BlockKeys = append(body.BlockKeys, hex.EncodeToString(k[:]))
	}
	data, err := json.Marshal(body)
	if err != nil {
		h.t.Fatal(err)
	}
	header := http.Header{"Idempotency-Key": {argument(d, "key", "")}}
	h.send(body.RequestID, h.engine(d), http.MethodPost, "/v1/completions", string(data), header)
}

// send starts a request. It returns before the engine has answered.
func (h *harness) send(id string, e *Engine, method, path, body string, header http.Header) {
	ctx, cancel := context.WithCancel(h.ctx)
	c := &call{recorder: &recorder{ResponseRecorder: httptest.NewRecorder(), state: "open"}, cancel: cancel}
	h.calls[id] = c
	req := httptest.NewRequestWithContext(ctx, method, path, strings.NewReader(body))
	for name, values := range header {
		req.Header[name] = values
	}
	h.group.Go(func() error {
		defer func() {
			state := "done"
			if recover() != nil {
				state = "cut"
			}
			c.recorder.setState(state)
		}()
		e.Handler().ServeHTTP(c.recorder, req)
		return nil
	})
}

func (h *harness) response(id string) string {
	return h.calls[id].recorder.response()
}

func (h *harness) listRuns(e *Engine) string {
	var b strings.Builder
	for _, r := range e.Runs() {
		fmt.Fprintf(&b, "%s key=%q at=%v weights=%s prompt=%d cached=%d held=%d repeated=%d completion=%d %s\n", r.RequestID, r.IdempotencyKey,
			r.At.Sub(h.start), r.Weights, r.PromptTokens, r.CachedTokens, r.CachedAnywhereTokens, r.PreviouslyComputedTokens, r.CompletionTokens, r.State)
	}
	orders := e.Orders()
	sort.Slice(orders, func(i, j int) bool { return orders[i].At.Before(orders[j].At) })
	for _, o := range orders {
		fmt.Fprintf(&b, "order %s %s fence=%d at=%v\n", o.Kind, o.Value, o.Fence, o.At.Sub(h.start))
	}
	return b.String()
}

func (h *harness) state(d *datadriven.TestData) string {
	s := h.engine(d).State(nil)
	return fmt.Sprintf("up=%v weights=%s running=%d waiting=%d waiting-tokens=%d", s.Up, s.Weights, s.Running, s.Waiting, s.WaitingTokens)
}

func (h *harness) engine(d *datadriven.TestData) *Engine {
	return h.engines[numberArgument[int](d, "engine", 0)]
}

func argument(d *datadriven.TestData, name, defaultValue string) string {
	for _, a := range d.CmdArgs {
		if a.Key == name {
			return strings.Join(a.Vals, ",")
		}
	}
	return defaultValue
}

func numberArgument[T int | float64 | time.Duration](d *datadriven.TestData, name string, defaultValue T) T {
	text := argument(d, name, "")
	if text == "" {
		return defaultValue
	}
	var n T
	if err := json.Unmarshal([]byte(text), &n); err != nil {
		d.Fatalf(nil, "%s: %v", name, err)
	}
	return n
}
