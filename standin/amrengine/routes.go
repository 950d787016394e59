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

// statusSample is the status at a point in time. Samples let the engine report
// an outdated status.
type statusSample struct {
	at     time.Time
	status statusReply
}

func (e *Engine) serveStatus(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	e.advanceAndArmTimer()
	status := e.status()
	e.mu.Unlock()
	writeJSON(w, http.StatusOK, status)
}

// status returns the status as it was one status lag ago, or the oldest recorded
// one. The caller holds mu.
func (e *Engine) status() statusReply {
	if e.settings.statusLag <= 0 {
		return e.currentStatus()
	}
	e.recordSample()
	return e.samples[0].status
}

// recordSample appends the current status to the samples and drops those that
// are too old to be reported. It does nothing without a status lag. The caller
// holds mu.
func (e *Engine) recordSample() {
	if e.settings.statusLag <= 0 {
		return
	}
	now := e.settings.clock.Now()
	e.samples = append(e.samples, statusSample{now, e.currentStatus()})
	cutoff := now.Add(-e.settings.scaled(e.settings.statusLag))
	first := 0
	for first+1 < len(e.samples) && !e.samples[first+1].at.After(cutoff) {
		first++
	}
	e.samples = e.samples[first:]
}

// currentStatus returns the status without lag. The caller holds mu.
func (e *Engine) currentStatus() statusReply {
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
	_ = json.NewEncoder(w).Encode(v) // An error means that the client has disconnected.
}
