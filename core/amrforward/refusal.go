package amrforward

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"amaranthreach.example/core/amrreason"
)

// Times after which a refused caller is told to come back.
const (
	notReadyRetry = 500 * time.Millisecond // Until another router takes its connection.
	noServerRetry = 400 * time.Millisecond // Until servers return or finish a change.
	busyRetry     = 200 * time.Millisecond // Until a full server has room.
	overloadRetry = time.Second            // Until the queues of an overloaded pool are shorter.
)

// refusal is a final answer of the router itself.
type refusal struct {
	code       amrreason.Code
	ran        amrreason.Ran
	retryAfter time.Duration // 0 for none.
	detail     string        // For the log.
}

// status returns the HTTP status. The statuses 408, 429 and 503 promise that
// the request did not run and never will.
func (r refusal) status() int {
	if r.ran != amrreason.NotRun {
		if r.code == amrreason.DeadlineExceeded {
			return http.StatusGatewayTimeout
		}
		return http.StatusBadGateway
	}
	switch r.code {
	case amrreason.DeadlineExceeded, amrreason.Quarantined:
		return http.StatusServiceUnavailable // It may be sent again later.
	}
	return amrreason.Of(r.code).Status
}

// refusalBody is the body of a refusal.
type refusalBody struct {
	Code      amrreason.Code `json:"code"`
	Ran       amrreason.Ran  `json:"ran"`
	Message   string         `json:"message"`
	Remedy    string         `json:"remedy"`
	RequestID string         `json:"request_id"`
}

// refuse answers the caller with the refusal. Where an answer has begun, Serve
// breaks it off.
func (x *exchange) refuse(r refusal) {
	x.refused = &r
	if x.began {
		return
	}
	reason := amrreason.Of(r.code)
	body, err := json.Marshal(refusalBody{Code: r.code, Ran: r.ran, Message: reason.Message, Remedy: reason.Remedy, RequestID: x.request.ID})
	if err != nil {
		panic(err) // Strings can always be encoded.
	}
	header := x.w.Header()
	header.Set("Content-Type", "application/json")
	header.Set("Content-Length", strconv.Itoa(len(body)))
	if r.retryAfter > 0 {
		header.Set("Retry-After", strconv.FormatFloat(r.retryAfter.Seconds(), 'f', -1, 64))
	}
	x.status = r.status()
	x.w.WriteHeader(x.status)
	_, x.writeErr = x.w.Write(body)
}
