package amrengine

import (
	"bytes"
	"encoding/hex"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/matryer/is"

	"amaranthreach.example/core/amrprompt"
	"amaranthreach.example/standin/amrkv"
)

// TestTransfer checks that an engine can export its cached blocks to a KV cache
// store, that another engine can import them and reuses them for a prompt, and
// that an import during an outage of the store imports nothing.
func TestTransfer(t *testing.T) {
	is := is.New(t)
	store := amrkv.New()
	storeServer := httptest.NewServer(store.Handler())
	defer storeServer.Close()
	from, to := New(WithTimeScale(1000)), New(WithTimeScale(1000))
	prompt := strings.Repeat("text", 3*amrprompt.TokensPerBlock)
	scope := amrprompt.Scope{Team: "recife", Deployment: defaultModel, WeightsVersion: defaultWeights}
	keys := amrprompt.Keys(scope, prompt)
	var texts []string
	for _, k := range keys {
		texts = append(texts, hex.EncodeToString(k[:]))
	}

	complete := completionRequest{Prompt: prompt, BlockKeys: texts[:2], MaxTokens: 1}
	is.Equal(post(t, from, "/v1/completions", complete).(map[string]any)["usage"].(map[string]any)["cached_tokens"], 0.0)
	is.Equal(post(t, from, "/v1/cache/export", transferRequest{Keys: texts, To: storeServer.URL}), map[string]any{"exported": 2.0})
	is.Equal(store.Len(), 2)
	is.Equal(post(t, to, "/v1/cache/import", transferRequest{Keys: texts, From: storeServer.URL}), map[string]any{"imported": 2.0})
	is.Equal(to.CachedPrefixBlocks(keys), 2)
	complete.BlockKeys = texts
	usage := post(t, to, "/v1/completions", complete).(map[string]any)["usage"].(map[string]any)
	is.Equal(usage["cached_tokens"], float64(2*amrprompt.TokensPerBlock))

	store.SetOutage(true)
	cold := New(WithTimeScale(1000))
	is.Equal(post(t, cold, "/v1/cache/import", transferRequest{Keys: texts, From: storeServer.URL}), map[string]any{"imported": 0.0})
}

func post(t *testing.T, e *Engine, path string, body any) any {
	t.Helper()
	is := is.New(t)
	data, err := json.Marshal(body)
	is.NoErr(err)
	w := httptest.NewRecorder()
	e.Handler().ServeHTTP(w, httptest.NewRequest(http.MethodPost, path, bytes.NewReader(data)))
	is.Equal(w.Code, http.StatusOK)
	var reply any
	is.NoErr(json.Unmarshal(w.Body.Bytes(), &reply))
	return reply
}
