package amrrouter

import (
	"fmt"
	"math"
	"net/http"
	"time"

	"amaranthreach.example/core/amrreason"
	"amaranthreach.example/router/gen/callers"
)

// refusal is the final answer to a request that got no whole answer.
type refusal struct {
	reason     amrreason.Code
	ran        amrreason.Ran
	detail     string
	retryAfter time.Duration
	deployment string // That the caller asked for, where it is known.
}

// Error returns the reason.
func (r *refusal) Error() string {
	return fmt.Sprintf("refused: %s (%s) %s", r.reason, r.ran, r.detail)
}

func refuse(code amrreason.Code, detail string) *refusal {
	return &refusal{reason: code, ran: amrreason.Of(code).Ran, detail: detail}
}

// withRan returns the refusal with another statement of whether the request
// ran.
func (r *refusal) withRan(ran amrreason.Ran) *refusal {
	next := *r
	next.ran = ran
	return &next
}

// withDeployment returns the refusal with the deployment that was asked for.
func (r *refusal) withDeployment(name string) *refusal {
	next := *r
	next.deployment = name
	return &next
}

// withRetryAfter returns the refusal with the time after which to try again.
func (r *refusal) withRetryAfter(after time.Duration) *refusal {
	next := *r
	next.retryAfter = after
	return &next
}

// message returns the refusal as the callers' interface sends it.
func (r *refusal) message(requestID string) *callers.Refusal {
	reason := amrreason.Of(r.reason)
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

// errorName returns the name of the error that the design gives to a status.
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
