package amrengine

import (
	"bytes"
	"context"
	"encoding/hex"
	"encoding/json"
	"io"
	"net/http"
	"time"

	"amaranthreach.example/core/amrprompt"
)

const (
	maxTransferBytes = 1 << 20
	transferTimeout  = 10 * time.Second
)

type transferRequest struct {
	Keys []string `json:"keys"`
	To   string   `json:"to"`
	From string   `json:"from"`
}

type exportReply struct {
	Exported int `json:"exported"`
}

type importReply struct {
	Imported int `json:"imported"`
}

func (e *Engine) serveExport(w http.ResponseWriter, r *http.Request) {
	body, keys, ok := readTransfer(w, r)
	if !ok {
		return
	}
	exported := 0
	for _, k := range keys {
		if !e.holds(k) {
			continue
		}
		if status := transferBlock(r.Context(), http.MethodPut, body.To, k); status >= http.StatusMultipleChoices {
			break
		}
		exported++
	}
	writeJSON(w, http.StatusOK, exportReply{exported})
}

func (e *Engine) serveImport(w http.ResponseWriter, r *http.Request) {
	body, keys, ok := readTransfer(w, r)
	if !ok {
		return
	}
	incarnation := e.Incarnation()
	imported := 0
	for _, k := range keys {
		if !e.holds(k) {
			if transferBlock(r.Context(), http.MethodGet, body.From, k) != http.StatusOK {
				break
			}
			if e.pauseFor(r.Context(), e.settings.transferTime) != nil || !e.adopt(k, incarnation) {
				break
			}
		}
		imported++
	}
	writeJSON(w, http.StatusOK, importReply{imported})
}

func readTransfer(w http.ResponseWriter, r *http.Request) (transferRequest, []amrprompt.Key, bool) {
	var body transferRequest
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxTransferBytes)).Decode(&body); err != nil {
		writeError(w, http.StatusBadRequest, err.Error())
		return body, nil, false
	}
	keys := make([]amrprompt.Key, len(body.Keys))
	for i, text := range body.Keys {
		if n, err := hex.Decode(keys[i][:], []byte(text)); err != nil || n != len(keys[i]) {
			writeError(w, http.StatusBadRequest, "a key is not 16 hexadecimal bytes")
			return body, nil, false
		}
	}
	return body, keys, true
}

func (e *Engine) holds(k amrprompt.Key) bool {
	return e.CachedDepth([]amrprompt.Key{k}) == 1
}

// adopt adds an imported block to the cache.
func (e *Engine) adopt(k amrprompt.Key, incarnation string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.down || e.incarnation != incarnation {
		return false
	}
	e.scheduler.cache.store([]amrprompt.Key{k})
	return true
}

// transferBlock puts a block into a KV cache store or gets it from there. It
// returns the status, or 503 when the store cannot be reached.
func transferBlock(ctx context.Context, method, store string, k amrprompt.Key) int {
	ctx, cancel := context.WithTimeout(ctx, transferTimeout)
	defer cancel()
	key := hex.EncodeToString(k[:])
	req, err := http.NewRequestWithContext(ctx, method, store+"/v1/blocks/"+key, bytes.NewBufferString(key))
	if err != nil {
		return http.StatusBadRequest
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return http.StatusServiceUnavailable
	}
	defer resp.Body.Close()
	_, _ = io.Copy(io.Discard, resp.Body) // So that the connection is used again.
	return resp.StatusCode
}
