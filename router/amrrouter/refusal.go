package amrrouter

import (
	"fmt"
	"math"
	"net/http"
	"time"

	"amaranthreach.example/core/amrreason"
	"amaranthreach.example/router/gen/callers"
)

// refusal is the reason for which a request is refused or an attempt failed.
type refusal struct {
	reason     amrreason.Code
	ran        amrreason.Ran // Whether the request ran.
	detail     string        // Field, limit or object concerned, such as a backend server.
	retryAfter time.Duration // 0 if the refusal does not say when to retry.
	deployment string        // Requested deployment; empty if it is not known.
}

// Error implements error.
func (r *refusal) Error() string {
	return fmt.Sprintf("refused: %s (%s) %s", r.reason, r.ran, r.detail)
}

// newRefusal returns a refusal with the reason. Whether the request ran is set to
// what the reason implies.
func newRefusal(code amrreason.Code, detail string) *refusal {
	return &refusal{reason: code, ran: amrreason.Lookup(code).Ran, detail: detail}
}

// withRan returns a copy of the refusal that states whether the request ran.
func (r *refusal) withRan(ran amrreason.Ran) *refusal {
	next := *r
	next.ran = ran
	return &next
}

// withDeployment returns a copy of the refusal with the requested deployment.
func (r *refusal) withDeployment(name string) *refusal {
	next := *r
	next.deployment = name
	return &next
}

// withRetryAfter returns a copy of the refusal with the time after which the
// caller may retry.
func (r *refusal) withRetryAfter(after time.Duration) *refusal {
	next := *r
	next.retryAfter = after
	return &next
}

// callersRefusal returns the refusal in the form of the callers' API.
func (r *refusal) callersRefusal(requestID string) *callers.Refusal {
	reason := amrreason.Lookup(r.reason)
	m := &callers.Refusal{
		Name:      errorName(reason.Status),
		RequestID: requestID,
		Refusal: &callers.RefusalBody{
			Message:   reason.Message,
			Type:      errorName(reason.Status),
			Code:      string(r.reason),
			Ran:       string(r.ran),
			Remedy:    reason.Remedy,
			RequestID: requestID,
		},
	}
	if r.detail != "" {
		m.Refusal.Detail = &r.detail
	}
	if seconds := int(math.Ceil(r.retryAfter.Seconds())); seconds > 0 {
		m.RetryAfter = &seconds
	}
	return m
}

// errorName returns the name of the error that the API design assigns to the HTTP
// status.
func errorName(status int) string {
	switch status {
	case http.StatusBadRequest:
		return "bad_request"
	case http.StatusUnauthorized:
		return "unauthorized"
	case http.StatusForbidden:
		return "forbidden"
	case http.StatusNotFound:
		return "not_found"
	case http.StatusConflict:
		return "conflict"
	case http.StatusRequestEntityTooLarge:
		return "too_large"
	case http.StatusUnprocessableEntity:
		return "unprocessable"
	case http.StatusTooManyRequests:
		return "too_many_requests"
	case 499:
		return "client_closed"
	case http.StatusBadGateway:
		return "bad_gateway"
	case http.StatusServiceUnavailable:
		return "service_unavailable"
	case http.StatusGatewayTimeout:
		return "gateway_timeout"
	default:
		return "internal"
	}
}
