package amrrouter

import (
	"context"
	"net/http"
)

const headerRequestID = "X-Request-Id"

type identityKey struct{}

// identity is the identity of a request and the status of its answer.
type identity struct {
	id     string
	status int // Of a plain service's answer; 0 for the status of the design.
}

// withIdentity gives each request an identity, which stands on every reply.
func (r *Router) withIdentity(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, request *http.Request) {
		identity := &identity{id: r.newID()}
		w.Header().Set(headerRequestID, identity.id)
		if r.Draining() {
			w.Header().Set("Connection", "close")
		}
		ctx := context.WithValue(request.Context(), identityKey{}, identity)
		next.ServeHTTP(&statusWriter{ResponseWriter: w, identity: identity}, request.WithContext(ctx))
	})
}

// identityOf returns the identity that withIdentity gave the request.
func identityOf(ctx context.Context) *identity {
	found, ok := ctx.Value(identityKey{}).(*identity)
	if !ok {
		return &identity{}
	}
	return found
}

// statusWriter passes on the status of a plain service.
type statusWriter struct {
	http.ResponseWriter
	identity *identity
}

// WriteHeader writes the status of the plain service in place of OK.
func (w *statusWriter) WriteHeader(status int) {
	if status == http.StatusOK && w.identity.status != 0 {
		status = w.identity.status
	}
	w.ResponseWriter.WriteHeader(status)
}

// Unwrap returns the writer for http.ResponseController.
func (w *statusWriter) Unwrap() http.ResponseWriter {
	return w.ResponseWriter
}
