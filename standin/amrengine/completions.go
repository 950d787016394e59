package amrengine

import (
	"bytes"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"net/http"
	"strings"

	"github.com/zeebo/xxh3"

	"amaranthreach.example/core/amrprompt"
)

const (
	maxBodyBytes     = 64 << 20
	defaultMaxTokens = 16
	retryAfter       = "1" // Seconds.
)

type completionRequest struct {
	RequestID      string   `json:"request_id"`
	Prompt         string   `json:"prompt"`
	MaxTokens      int      `json:"max_tokens"`
	Stream         bool     `json:"stream"`
	Priority       int      `json:"priority"`
	WeightsVersion string   `json:"weights_version"`
	BlockKeys      []string `json:"block_keys"`
	ResumeText     string   `json:"resume_text"`
	ResumeTokens   int      `json:"resume_tokens"`
}

type completionReply struct {
	ID           string `json:"id"`
	Text         string `json:"text"`
	FinishReason string `json:"finish_reason"`
	Usage        usage  `json:"usage"`
}

type usage struct {
	PromptTokens     int `json:"prompt_tokens"`
	CachedTokens     int `json:"cached_tokens"`
	CompletionTokens int `json:"completion_tokens"`
}

type streamToken struct {
	Index int    `json:"index"`
	Text  string `json:"text"`
}

type streamEnd struct {
	FinishReason string `json:"finish_reason"`
	Usage        usage  `json:"usage"`
}

// progress is what a handler sees of its job.
type progress struct {
	emitted int
	outcome Outcome
	cached  int
}

func (e *Engine) serveCompletions(w http.ResponseWriter, r *http.Request) {
	var body completionRequest
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBodyBytes)).Decode(&body); err != nil {
		writeError(w, http.StatusBadRequest, err.Error())
		return
	}
	j, err := newJob(body)
	if err != nil {
		writeError(w, http.StatusBadRequest, err.Error())
		return
	}
	j.idempotencyKey = r.Header.Get("Idempotency-Key")
	j.poison = e.poisoned(body.Prompt)
	j.fingerprint = Fingerprint(body.Prompt)
	if status, message := e.submit(j); status != 0 {
		if status == http.StatusServiceUnavailable {
			w.Header().Set("Retry-After", retryAfter)
		}
		writeError(w, status, message)
		return
	}
	defer e.cancel(j)
	a := answer{job: j, seed: j.fingerprint}
	if body.Stream {
		e.stream(w, r, a)
		return
	}
	e.whole(w, r, a)
}

func newJob(body completionRequest) (*job, error) {
	tokens := amrprompt.CountTokens(body.Prompt)
	count := min(len(body.BlockKeys), tokens/amrprompt.TokensPerBlock)
	keys := make([]amrprompt.Key, count)
	for i := range keys {
		if n, err := hex.Decode(keys[i][:], []byte(body.BlockKeys[i])); err != nil || n != len(keys[i]) {
			return nil, fmt.Errorf("block key %d is not %d hexadecimal bytes", i, len(keys[i]))
		}
	}
	maxTokens := body.MaxTokens
	if maxTokens <= 0 {
		maxTokens = defaultMaxTokens
	}
	return &job{
		id:           body.RequestID,
		weights:      body.WeightsVersion,
		priority:     body.Priority,
		keys:         keys,
		promptTokens: tokens,
		resumeTokens: max(0, body.ResumeTokens),
		maxTokens:    maxTokens,
	}, nil
}

// submit hands the job to the scheduler. A status other than 0 says why not.
func (e *Engine) submit(j *job) (status int, message string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.advance()
	switch {
	case e.down:
		panic(http.ErrAbortHandler)
	case e.loading:
		return http.StatusServiceUnavailable, "the engine is loading weights"
	case j.weights != "" && j.weights != e.weights:
		return http.StatusConflict, "weights " + j.weights + " are not loaded, " + e.weights + " are"
	case len(e.scheduler.waiting) >= e.settings.queueLimit:
		return http.StatusServiceUnavailable, "the queue is full"
	}
	e.scheduler.submit(j, e.settings.clock.Now())
	e.progress()
	return 0, ""
}

func (e *Engine) cancel(j *job) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if j.outcome != "" || e.down {
		return
	}
	e.advance()
	e.scheduler.cancel(j, OutcomeCanceled, e.settings.clock.Now())
	e.progress()
}

func (e *Engine) serveCancel(w http.ResponseWriter, r *http.Request) {
	if j := e.find(r.PathValue("id")); j != nil {
		e.cancel(j)
		w.WriteHeader(http.StatusNoContent)
		return
	}
	writeError(w, http.StatusNotFound, "no request has this id")
}

func (e *Engine) find(id string) *job {
	e.mu.Lock()
	defer e.mu.Unlock()
	if p := e.scheduler.prefill; p != nil && p.id == id {
		return p
	}
	for _, jobs := range [][]*job{e.scheduler.waiting, e.scheduler.decoding} {
		for _, j := range jobs {
			if j.id == id {
				return j
			}
		}
	}
	return nil
}

// await waits for progress of the job. It reports false when the connection is
// to be cut.
func (e *Engine) await(r *http.Request, j *job) (progress, bool) {
	select {
	case <-j.wake:
	case <-r.Context().Done():
		return progress{}, false
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	p := progress{emitted: j.emitted, outcome: j.outcome, cached: j.cached}
	return p, p.outcome != OutcomeCrashed
}

func (e *Engine) whole(w http.ResponseWriter, r *http.Request, a answer) {
	var p progress
	for p.outcome == "" {
		var ok bool
		if p, ok = e.await(r, a.job); !ok {
			panic(http.ErrAbortHandler)
		}
	}
	if p.outcome == OutcomeWrongWeights {
		writeError(w, http.StatusConflict, "other weights were loaded while the request waited")
		return
	}
	writeJSON(w, http.StatusOK, completionReply{
		ID:           a.job.id,
		Text:         a.text(a.job.resumeTokens, p.emitted),
		FinishReason: finishReason(p.outcome),
		Usage:        a.usage(p),
	})
}

func (e *Engine) stream(w http.ResponseWriter, r *http.Request, a answer) {
	flusher := http.NewResponseController(w)
	sent := a.job.resumeTokens
	var buffer bytes.Buffer
	for {
		p, ok := e.await(r, a.job)
		if !ok {
			panic(http.ErrAbortHandler)
		}
		if p.outcome == OutcomeWrongWeights {
			writeError(w, http.StatusConflict, "other weights were loaded while the request waited")
			return
		}
		if sent == a.job.resumeTokens {
			w.Header().Set("Content-Type", "text/event-stream")
		}
		buffer.Reset()
		for ; sent < p.emitted; sent++ {
			writeEvent(&buffer, streamToken{Index: sent, Text: a.token(sent)})
		}
		if p.outcome != "" {
			writeEvent(&buffer, streamEnd{FinishReason: finishReason(p.outcome), Usage: a.usage(p)})
			buffer.WriteString("data: [DONE]\n\n")
		}
		if _, err := w.Write(buffer.Bytes()); err != nil || flusher.Flush() != nil || p.outcome != "" {
			return
		}
	}
}

// Fingerprint identifies a prompt in the log of runs.
func Fingerprint(prompt string) uint64 {
	return xxh3.HashString(prompt)
}

// Text returns the answer of so many tokens that an engine generates for the
// prompt with the fingerprint.
func Text(fingerprint uint64, tokens int) string {
	return answer{seed: fingerprint}.text(0, tokens)
}

// answer is the text that the engine generates for a prompt.
type answer struct {
	job  *job
	seed uint64
}

const letters = "abcdefghijklmnopqrstuvwxyz"

// token returns token i: a space and three letters.
func (a answer) token(i int) string {
	h := xxh3.HashSeed([]byte{byte(i), byte(i >> 8), byte(i >> 16), byte(i >> 24)}, a.seed)
	n := uint64(len(letters))
	return string([]byte{' ', letters[h%n], letters[h/n%n], letters[h/n/n%n]})
}

func (a answer) text(from, to int) string {
	var b strings.Builder
	for i := from; i < to; i++ {
		b.WriteString(a.token(i))
	}
	return b.String()
}

func (a answer) usage(p progress) usage {
	return usage{
		PromptTokens:     a.job.promptTokens,
		CachedTokens:     p.cached,
		CompletionTokens: p.emitted,
	}
}

func finishReason(o Outcome) string {
	if o == OutcomeFinished {
		return "length"
	}
	return string(o)
}

func writeEvent(b *bytes.Buffer, v any) {
	b.WriteString("data: ")
	_ = json.NewEncoder(b).Encode(v) // A buffer takes every write, and ends the line.
	b.WriteByte('\n')
}
