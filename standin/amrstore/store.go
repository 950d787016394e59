// Package amrstore serves the platform's services from memory over HTTP, as a
// stand-in for the real ones.
package amrstore

import (
	"net/http"

	"amaranthreach.example/core/amrmemory"
	"amaranthreach.example/core/amrplatform"
)

// Store serves a platform held in memory.
type Store struct {
	platform *amrmemory.Platform
}

// New returns a store that serves the platform.
func New(platform *amrmemory.Platform) *Store {
	return &Store{platform: platform}
}

// Handler returns the handler of the services.
func (s *Store) Handler() http.Handler {
	return amrplatform.NewHandler(s.platform, s.platform, s.platform)
}
