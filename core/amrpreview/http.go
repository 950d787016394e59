package amrpreview

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"

	"amaranthreach.example/core/amrhttp"
)

// Path is the path at which routers answer.
const Path = "/where"

const (
	maxQueryBytes  = 1 << 20
	maxAnswerBytes = 16 << 20 // A pool without groups may have thousands of servers.
	maxErrorBytes  = 1 << 10
)

// Handler returns a handler that answers queries by the function. Queries are sent by POST,
// since they have keys, which may not become part of a URL.
func Handler(answer func(Query) Answer) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		var q Query
		decoder := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxQueryBytes))
		decoder.DisallowUnknownFields()
		if err := decoder.Decode(&q); err != nil {
			http.Error(w, "the query cannot be read; send a JSON object of at most 1 MiB as amrctl does", http.StatusBadRequest)
			return
		}
		body, err := json.Marshal(answer(q))
		if err != nil {
			http.Error(w, "the answer cannot be encoded: "+err.Error(), http.StatusInternalServerError)
			return
		}
		w.Header().Set("Content-Type", "application/json")
		_, _ = w.Write(body) // Fails only if the operator has left.
	})
}

// Ask asks the router at the URL of its metrics address.
func Ask(ctx context.Context, client *http.Client, server string, q Query) (Answer, error) {
	body, err := json.Marshal(q)
	if err != nil {
		return Answer{}, err
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, strings.TrimSuffix(server, "/")+Path, bytes.NewReader(body))
	if err != nil {
		return Answer{}, err
	}
	request.Header.Set("Content-Type", "application/json")
	response, err := client.Do(request)
	if err != nil {
		return Answer{}, err
	}
	defer func() { _ = response.Body.Close() }() // Close never fails.
	if response.StatusCode != http.StatusOK {
		text, _ := io.ReadAll(io.LimitReader(response.Body, maxErrorBytes)) // What was read is shown.
		return Answer{}, fmt.Errorf("the router answers with status %d: %s; name the metrics address of an amr-direct router", response.StatusCode, strings.TrimSpace(string(text)))
	}
	var a Answer
	if err := amrhttp.DecodeJSON(response.Body, maxAnswerBytes, &a); err != nil {
		return Answer{}, fmt.Errorf("the answer of the router cannot be read: %w", err)
	}
	return a, nil
}
