package amrrouter

import (
	"context"
	"net/http"
)

// headerRequestID is the response header that holds the request ID.
const headerRequestID = "X-Request-Id"

// responseInfoKey is the context key of the request's responseInfo.
type responseInfoKey struct{}

// responseInfo holds the ID of a request and the status of its response. The
// API design fixes the status of a successful response at 200, so the status of
// a plain service is passed to statusWriter through the request's context.
type responseInfo struct {
	requestID string
	status    int // HTTP status from a plain service; 0 keeps the status of the API design.
}

// withRequestID returns a handler that assigns an ID to each request and sets it
// as a header of every response. While the router drains, it also asks
// callers to close the connection.
func (r *Router) withRequestID(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, request *http.Request) {
		responseInfo := &responseInfo{requestID: r.newRequestID()}
		w.Header().Set(headerRequestID, responseInfo.requestID)
		if r.Draining() {
			w.Header().Set("Connection", "close")
		}
		ctx := context.WithValue(request.Context(), responseInfoKey{}, responseInfo)
		next.ServeHTTP(&statusWriter{ResponseWriter: w, responseInfo: responseInfo}, request.WithContext(ctx))
	})
}

// responseInfoFrom returns the responseInfo that withRequestID stored in ctx, or
// an empty one if there is none.
func responseInfoFrom(ctx context.Context) *responseInfo {
	info, ok := ctx.Value(responseInfoKey{}).(*responseInfo)
	if !ok {
		return &responseInfo{}
	}
	return info
}

// statusWriter is an http.ResponseWriter that replaces the status 200 of the
// generated code by the status of a plain service.
type statusWriter struct {
	http.ResponseWriter
	responseInfo *responseInfo
}

// WriteHeader implements http.ResponseWriter.
func (w *statusWriter) WriteHeader(status int) {
	if status == http.StatusOK && w.responseInfo.status != 0 {
		status = w.responseInfo.status
	}
	w.ResponseWriter.WriteHeader(status)
}

// Unwrap returns the underlying writer. http.ResponseController needs it to flush
// streamed responses.
func (w *statusWriter) Unwrap() http.ResponseWriter {
	return w.ResponseWriter
}
