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
	retryAfter       = "1" // Value of the Retry-After header, in seconds.
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

// jobProgress is a snapshot of the state of a job for its HTTP handler.
type jobProgress struct {
	generatedTokens int
	outcome         RunState
	cachedTokens    int
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
	j.poison = e.containsPoison(body.Prompt)
	j.fingerprint = Fingerprint(body.Prompt)
	if status, message := e.submit(j); status != 0 {
		if status == http.StatusServiceUnavailable {
			w.Header().Set("Retry-After", retryAfter)
		}
		writeError(w, status, message)
		return
	}
	defer e.cancel(j)
	c := completion{job: j, seed: j.fingerprint}
	if body.Stream {
		e.streamCompletion(w, r, c)
		return
	}
	e.writeCompletion(w, r, c)
}

// newJob returns the job for a request. It ignores block keys beyond the last
// full block of the prompt, and returns an error if one of the others is
// malformed.
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

// submit adds the job to the scheduler and returns status 0. If the engine
// rejects the job, submit returns the HTTP status and the message of the
// response. If the engine is down, it panics with http.ErrAbortHandler.
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
	e.advanceAndArmTimer()
	return 0, ""
}

// cancel ends the job as canceled. It has no effect on a job that has ended.
func (e *Engine) cancel(j *job) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if j.outcome != "" || e.down {
		return
	}
	e.advance()
	e.scheduler.cancel(j, RunCanceled, e.settings.clock.Now())
	e.advanceAndArmTimer()
}

func (e *Engine) serveCancel(w http.ResponseWriter, r *http.Request) {
	if j := e.findJob(r.PathValue("id")); j != nil {
		e.cancel(j)
		w.WriteHeader(http.StatusNoContent)
		return
	}
	writeError(w, http.StatusNotFound, "no request has this id")
}

// findJob returns the job of the request with the ID, or nil if there is none.
func (e *Engine) findJob(id string) *job {
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

// awaitProgress waits until the job has progressed and returns its state. It
// reports false if the handler must abort the connection, which is the case
// when the engine has crashed or the client has disconnected.
func (e *Engine) awaitProgress(r *http.Request, j *job) (jobProgress, bool) {
	select {
	case <-j.updated:
	case <-r.Context().Done():
		return jobProgress{}, false
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	p := jobProgress{generatedTokens: j.generatedTokens, outcome: j.outcome, cachedTokens: j.cachedTokens}
	return p, p.outcome != RunCrashed
}

// writeCompletion waits for the end of the job and writes the completion in one
// response.
func (e *Engine) writeCompletion(w http.ResponseWriter, r *http.Request, c completion) {
	var p jobProgress
	for p.outcome == "" {
		var ok bool
		if p, ok = e.awaitProgress(r, c.job); !ok {
			panic(http.ErrAbortHandler)
		}
	}
	if p.outcome == RunWrongWeights {
		writeError(w, http.StatusConflict, "other weights were loaded while the request waited")
		return
	}
	writeJSON(w, http.StatusOK, completionReply{
		ID:           c.job.id,
		Text:         c.text(c.job.resumeTokens, p.generatedTokens),
		FinishReason: finishReason(p.outcome),
		Usage:        c.usage(p),
	})
}

// streamCompletion writes the completion as server-sent events while the job
// generates it. The status is written with the first event, so that a job which
// never starts can still be answered with status 409.
func (e *Engine) streamCompletion(w http.ResponseWriter, r *http.Request, c completion) {
	flusher := http.NewResponseController(w)
	sent := c.job.resumeTokens
	var buffer bytes.Buffer
	for {
		p, ok := e.awaitProgress(r, c.job)
		if !ok {
			panic(http.ErrAbortHandler)
		}
		if p.outcome == RunWrongWeights {
			writeError(w, http.StatusConflict, "other weights were loaded while the request waited")
			return
		}
		if sent == c.job.resumeTokens {
			w.Header().Set("Content-Type", "text/event-stream")
		}
		buffer.Reset()
		for ; sent < p.generatedTokens; sent++ {
			writeEvent(&buffer, streamToken{Index: sent, Text: c.token(sent)})
		}
		if p.outcome != "" {
			writeEvent(&buffer, streamEnd{FinishReason: finishReason(p.outcome), Usage: c.usage(p)})
			buffer.WriteString("data: [DONE]\n\n")
		}
		if _, err := w.Write(buffer.Bytes()); err != nil || flusher.Flush() != nil || p.outcome != "" {
			return
		}
	}
}

// Fingerprint returns a hash of the prompt. It identifies the prompt in a Run
// and determines the text of the completion.
func Fingerprint(prompt string) uint64 {
	return xxh3.HashString(prompt)
}

// CompletionText returns the completion with the number of tokens that every
// engine generates for the prompt with the fingerprint.
func CompletionText(fingerprint uint64, tokens int) string {
	return completion{seed: fingerprint}.text(0, tokens)
}

// completion generates the text of a completion. The text depends on nothing
// but the seed, so all engines generate the same one for a prompt.
type completion struct {
	job  *job
	seed uint64
}

const letters = "abcdefghijklmnopqrstuvwxyz"

// token returns token i of the text, which is a space and three letters.
func (c completion) token(i int) string {
	h := xxh3.HashSeed([]byte{byte(i), byte(i >> 8), byte(i >> 16), byte(i >> 24)}, c.seed)
	n := uint64(len(letters))
	return string([]byte{' ', letters[h%n], letters[h/n%n], letters[h/n/n%n]})
}

// text returns the tokens from the index from up to, but not including, to.
func (c completion) text(from, to int) string {
	var b strings.Builder
	for i := from; i < to; i++ {
		b.WriteString(c.token(i))
	}
	return b.String()
}

func (c completion) usage(p jobProgress) usage {
	return usage{
		PromptTokens:     c.job.promptTokens,
		CachedTokens:     p.cachedTokens,
		CompletionTokens: p.generatedTokens,
	}
}

// finishReason returns "length" for a finished run, since every completion is
// as long as the request allows, and the outcome for any other run.
func finishReason(outcome RunState) string {
	if outcome == RunFinished {
		return "length"
	}
	return string(outcome)
}

func writeEvent(b *bytes.Buffer, v any) {
	b.WriteString("data: ")
	_ = json.NewEncoder(b).Encode(v) // Writing to a buffer does not fail. Encode ends the line.
	b.WriteByte('\n')
}
