package amrforward

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"amaranthreach.example/core/amrreason"
)

// Values of the Retry-After header of refusals.
const (
	notReadyRetry = 500 * time.Millisecond // Time for another router to take over the caller's connection.
	noServerRetry = 400 * time.Millisecond // Time for servers to return or to finish a change of weights.
	busyRetry     = 200 * time.Millisecond // Time for a server at capacity to finish a request.
	overloadRetry = time.Second            // Time for the queues of an overloaded pool to become shorter.
)

// refusalWriteTime is the time that a caller has at least to receive a refusal. The refusal
// fits into the buffer of the socket.
const refusalWriteTime = 5 * time.Second

// refusal is an error answer that the router itself gives to a request.
type refusal struct {
	code       amrreason.Code
	ran        amrreason.Ran
	retryAfter time.Duration // 0 omits the Retry-After header.
	detail     string        // Logged only; the caller does not receive it.
	message    string        // Sent to the caller in place of the message of the code, unless empty.
}

// status returns the HTTP status of the refusal. To callers, the statuses 408,
// 429 and 503 mean that the request did not run and never will. A request that
// may have run therefore gets 502 or 504.
func (r refusal) status() int {
	if r.ran != amrreason.NotRun {
		if r.code == amrreason.DeadlineExceeded {
			return http.StatusGatewayTimeout
		}
		return http.StatusBadGateway
	}
	switch r.code {
	case amrreason.DeadlineExceeded, amrreason.Quarantined:
		return http.StatusServiceUnavailable // The caller may send it again later.
	}
	return amrreason.Lookup(r.code).Status
}

// refusalBody is the JSON body of a refusal.
type refusalBody struct {
	Code      amrreason.Code `json:"code"`
	Ran       amrreason.Ran  `json:"ran"`
	Message   string         `json:"message"`
	Remedy    string         `json:"remedy"`
	RequestID string         `json:"request_id"`
}

// refuse sends the refusal to the caller. If the header of an answer was
// already written, it only records the refusal, and Serve aborts the answer.
func (x *exchange) refuse(r refusal) {
	x.refused = &r
	if x.headerWritten {
		return
	}
	reason := amrreason.Lookup(r.code)
	if r.message != "" {
		reason.Message = r.message
	}
	body, err := json.Marshal(refusalBody{Code: r.code, Ran: r.ran, Message: reason.Message, Remedy: reason.Remedy, RequestID: x.request.ID})
	if err != nil {
		panic(err) // A struct of strings can always be encoded.
	}
	header := x.w.Header()
	header.Set("Content-Type", "application/json")
	header.Set("Content-Length", strconv.Itoa(len(body)))
	if r.retryAfter > 0 {
		header.Set("Retry-After", strconv.FormatFloat(r.retryAfter.Seconds(), 'f', -1, 64))
	}
	x.status = r.status()
	x.beginAnswer(refusalWriteTime)
	x.w.WriteHeader(x.status)
	_, x.writeErr = x.w.Write(body)
}
