// Package amrkv is a small stand-in of the KV cache store, from and to which
// engines copy cache blocks.
package amrkv

import (
	"io"
	"net/http"
	"sync/atomic"

	lru "github.com/hashicorp/golang-lru/v2"
)

const (
	defaultCapacity = 1 << 16 // Blocks.
	maxBlockBytes   = 1 << 20
)

// Store holds the most recently used blocks.
type Store struct {
	blocks *lru.Cache[string, []byte]
	out    atomic.Bool
}

// Option changes a setting of a store.
type Option func(*options)

type options struct {
	capacity int
}

// WithCapacity sets how many blocks the store holds.
func WithCapacity(blocks int) Option {
	return func(o *options) { o.capacity = max(1, blocks) }
}

// New returns an empty store.
func New(opts ...Option) *Store {
	o := options{capacity: defaultCapacity}
	for _, opt := range opts {
		opt(&o)
	}
	blocks, err := lru.New[string, []byte](o.capacity)
	if err != nil {
		panic(err) // The capacity is positive.
	}
	return &Store{blocks: blocks}
}

// Len returns the number of blocks.
func (s *Store) Len() int {
	return s.blocks.Len()
}

// SetOutage makes every call fail until it is called with false.
func (s *Store) SetOutage(out bool) {
	s.out.Store(out)
}

// Handler returns the store's HTTP interface.
func (s *Store) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("PUT /v1/blocks/{key}", s.put)
	mux.HandleFunc("GET /v1/blocks/{key}", s.get)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if s.out.Load() {
			http.Error(w, "the KV cache store is out", http.StatusServiceUnavailable)
			return
		}
		mux.ServeHTTP(w, r)
	})
}

func (s *Store) put(w http.ResponseWriter, r *http.Request) {
	data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBlockBytes))
	if err != nil {
		http.Error(w, err.Error(), http.StatusRequestEntityTooLarge)
		return
	}
	s.blocks.Add(r.PathValue("key"), data)
	w.WriteHeader(http.StatusNoContent)
}

// get serves HEAD too; the server then leaves the body out.
func (s *Store) get(w http.ResponseWriter, r *http.Request) {
	data, ok := s.blocks.Get(r.PathValue("key"))
	if !ok {
		http.Error(w, "no block has this key", http.StatusNotFound)
		return
	}
	w.Header().Set("Content-Type", "application/octet-stream")
	_, _ = w.Write(data) // The caller is gone when this fails.
}
