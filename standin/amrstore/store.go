// Package amrstore simulates the platform's services: it serves an in-memory
// platform over HTTP.
package amrstore

import (
	"net/http"

	"amaranthreach.example/core/amrmemory"
	"amaranthreach.example/core/amrplatform"
)

// Store serves an in-memory platform over HTTP. Create it with New.
type Store struct {
	platform *amrmemory.Platform
}

// New returns a store that serves the platform.
func New(platform *amrmemory.Platform) *Store {
	return &Store{platform: platform}
}

// Handler returns the handler of the platform's services.
func (s *Store) Handler() http.Handler {
	return amrplatform.NewHandler(s.platform, s.platform, s.platform)
}
