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

// transferRequest is the body of a request to export blocks to the KV cache
// store with the URL To or to import them from the one with the URL From.
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

// serveExport copies those of the requested blocks that are cached to a KV
// cache store. It stops at the first block that the store does not accept and
// responds with the number of exported blocks.
func (e *Engine) serveExport(w http.ResponseWriter, r *http.Request) {
	body, keys, ok := readTransfer(w, r)
	if !ok {
		return
	}
	exported := 0
	for _, k := range keys {
		if !e.isCached(k) {
			continue
		}
		if status := transferBlock(r.Context(), http.MethodPut, body.To, k); status >= http.StatusMultipleChoices {
			break
		}
		exported++
	}
	writeJSON(w, http.StatusOK, exportReply{exported})
}

// serveImport copies those of the requested blocks that are not cached from a
// KV cache store. It stops at the first block that cannot be imported, since
// blocks behind a gap are of no use, and responds with the number of leading
// blocks that are cached.
func (e *Engine) serveImport(w http.ResponseWriter, r *http.Request) {
	body, keys, ok := readTransfer(w, r)
	if !ok {
		return
	}
	incarnation := e.Incarnation()
	imported := 0
	for _, k := range keys {
		if !e.isCached(k) {
			if transferBlock(r.Context(), http.MethodGet, body.From, k) != http.StatusOK {
				break
			}
			if e.sleep(r.Context(), e.settings.transferTime) != nil || !e.storeImported(k, incarnation) {
				break
			}
		}
		imported++
	}
	writeJSON(w, http.StatusOK, importReply{imported})
}

// readTransfer parses the body of a request. If the body is invalid, it
// responds with status 400 and reports false.
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

func (e *Engine) isCached(k amrprompt.Key) bool {
	return e.CachedPrefixBlocks([]amrprompt.Key{k}) == 1
}

// storeImported adds an imported block to the cache. It reports false if the
// incarnation has ended.
func (e *Engine) storeImported(k amrprompt.Key, incarnation string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.down || e.incarnation != incarnation {
		return false
	}
	e.scheduler.cache.store([]amrprompt.Key{k})
	return true
}

// transferBlock stores a block in a KV cache store with PUT or reads it with
// GET and returns the status of the response. It returns 400 if the URL of the
// store is invalid and 503 if the store cannot be reached. The stand-in has no
// contents of blocks; it sends the key in their place.
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
	_, _ = io.Copy(io.Discard, resp.Body) // The connection is reused only if the body was read.
	return resp.StatusCode
}
