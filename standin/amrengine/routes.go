package amrengine

import (
	"encoding/json"
	"net/http"
	"time"
)

func (e *Engine) routes() *http.ServeMux {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/completions", e.serveCompletions)
	mux.HandleFunc("POST /v1/requests/{id}/cancel", e.serveCancel)
	mux.HandleFunc("GET /v1/status", e.serveStatus)
	mux.HandleFunc("GET /v1/cache/events", e.serveEvents)
	mux.HandleFunc("POST /v1/cache/export", e.serveExport)
	mux.HandleFunc("POST /v1/cache/import", e.serveImport)
	mux.HandleFunc("POST /v1/orders", e.serveOrder)
	return mux
}

type statusReply struct {
	Incarnation            string `json:"incarnation"`
	Model                  string `json:"model"`
	WeightsVersion         string `json:"weights_version"`
	Role                   string `json:"role"`
	Running                int    `json:"running"`
	Waiting                int    `json:"waiting"`
	WaitingTokens          int    `json:"waiting_tokens"`
	BatchLimit             int    `json:"batch_limit"`
	CachedBlocks           int    `json:"cached_blocks"`
	CapacityBlocks         int    `json:"capacity_blocks"`
	PrefillTokensPerSecond int    `json:"prefill_tokens_per_second"`
}

type statusSample struct {
	at     time.Time
	status statusReply
}

func (e *Engine) serveStatus(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	e.progress()
	status := e.status()
	e.mu.Unlock()
	writeJSON(w, http.StatusOK, status)
}

// status returns the state as it was before the status lag. The caller holds
// mu.
func (e *Engine) status() statusReply {
	if e.settings.statusLag <= 0 {
		return e.present()
	}
	e.sample()
	return e.samples[0].status
}

// sample notes the state for a later status and drops what is too old to be
// asked for. The caller holds mu.
func (e *Engine) sample() {
	if e.settings.statusLag <= 0 {
		return
	}
	now := e.settings.clock.Now()
	e.samples = append(e.samples, statusSample{now, e.present()})
	oldest := now.Add(-e.settings.scaled(e.settings.statusLag))
	first := 0
	for first+1 < len(e.samples) && !e.samples[first+1].at.After(oldest) {
		first++
	}
	e.samples = e.samples[first:]
}

func (e *Engine) present() statusReply {
	return statusReply{
		Incarnation:            e.incarnation,
		Model:                  e.settings.model,
		WeightsVersion:         e.weights,
		Role:                   e.role,
		Running:                e.scheduler.running(),
		Waiting:                len(e.scheduler.waiting),
		WaitingTokens:          e.scheduler.waitingTokens(e.settings.clock.Now()),
		BatchLimit:             e.settings.batchLimit,
		CachedBlocks:           len(e.scheduler.cache.blocks),
		CapacityBlocks:         e.settings.cacheBlocks,
		PrefillTokensPerSecond: int(e.settings.prefillRate * e.settings.timeScale),
	}
}

type errorReply struct {
	Error string `json:"error"`
}

func writeError(w http.ResponseWriter, status int, message string) {
	writeJSON(w, status, errorReply{message})
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v) // The caller is gone when this fails.
}
