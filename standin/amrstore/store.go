// Package amrstore simulates the platform's services: it serves an in-memory
// platform over HTTP.
package amrstore

import (
	"net/http"

	"amaranthreach.example/core/amrmemory"
	"amaranthreach.example/core/amrplatform"
)

// Server serves an in-memory platform over HTTP. Create it with New.
type Server struct {
	platform *amrmemory.Platform
}

// New returns a server of the platform.
func New(platform *amrmemory.Platform) *Server {
	return &Server{platform: platform}
}

// Handler returns the handler of the platform's services.
func (s *Server) Handler() http.Handler {
	return amrplatform.NewHandler(s.platform, s.platform, s.platform)
}
