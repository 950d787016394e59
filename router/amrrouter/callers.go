package amrrouter

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"io"
	"net/http"
	"strings"
	"time"

	goahttp "goa.design/goa/v3/http"
	goa "goa.design/goa/v3/pkg"
	"goa.design/goa/v3/security"

	"amaranthreach.example/core/amrgate"
	"amaranthreach.example/core/amrreason"
	"amaranthreach.example/core/amrrecord"
	"amaranthreach.example/router/gen/callers"
)

const (
	contentTypeJSON   = "application/json"
	contentTypeEvents = "text/event-stream"
)

// callersService implements the generated service for callers.
type callersService struct {
	router *Router
}

// teamContextKey is the context key of the name of the authenticated team.
type teamContextKey struct{}

const (
	// startupRecordsTimeout limits how long a request waits for the first
	// records after the start of the router.
	startupRecordsTimeout = 5 * time.Second

	// startupRecordsPollInterval is the time between two checks for these
	// records.
	startupRecordsPollInterval = 10 * time.Millisecond
)

// APIKeyAuth authenticates the caller. It returns a context that holds the name
// of the team to which the API key belongs.
func (s *callersService) APIKeyAuth(ctx context.Context, key string, _ *security.APIKeyScheme) (context.Context, error) {
	set := s.router.waitForRecords(ctx)
	if set.Revision() == 0 {
		return ctx, s.router.recordRefusal(responseInfoFrom(ctx).requestID, "", newRefusal(amrreason.NotReady, "").withRetryAfter(time.Second))
	}
	digest := sha256.Sum256([]byte(key))
	team, _, ok := set.TeamByKey(hex.EncodeToString(digest[:]))
	if !ok {
		return ctx, s.router.recordRefusal(responseInfoFrom(ctx).requestID, "", newRefusal(amrreason.Unauthorized, ""))
	}
	return context.WithValue(ctx, teamContextKey{}, team), nil
}

// waitForRecords returns the records in force. If the router has none yet, it
// waits up to startupRecordsTimeout for them, so that requests that arrive just
// after a start do not have to be retried. The result is the empty set, with
// revision 0, if none arrive or ctx is done.
func (r *Router) waitForRecords(ctx context.Context) amrrecord.Set {
	set := r.follower.Current()
	if set.Revision() > 0 {
		return set
	}
	ticker := r.clock.NewTicker(startupRecordsPollInterval)
	defer ticker.Stop()
	for waited := time.Duration(0); set.Revision() == 0 && waited < startupRecordsTimeout; waited += startupRecordsPollInterval {
		select {
		case <-ctx.Done():
			return set
		case <-ticker.Chan():
			set = r.follower.Current()
		}
	}
	return set
}

// Chat implements the chat completions endpoint.
func (s *callersService) Chat(ctx context.Context, p *callers.ChatPayload) (*callers.Answer, io.ReadCloser, error) {
	return s.answer(ctx, call{
		deployment:     p.Model,
		idempotencyKey: p.IdempotencyKey,
		timeout:        p.Timeout,
		priority:       p.TrafficPriority,
		idempotent:     p.Idempotent,
		prompt:         promptFromMessages(p.Messages),
		maxTokens:      p.MaxTokens,
		stream:         p.Stream,
	}, chatFormat{})
}

// Complete implements the completions endpoint.
func (s *callersService) Complete(ctx context.Context, p *callers.CompletePayload) (*callers.Answer, io.ReadCloser, error) {
	return s.answer(ctx, call{
		deployment:     p.Model,
		idempotencyKey: p.IdempotencyKey,
		timeout:        p.Timeout,
		priority:       p.TrafficPriority,
		idempotent:     p.Idempotent,
		prompt:         p.Prompt,
		maxTokens:      p.MaxTokens,
		stream:         p.Stream,
	}, completionFormat{})
}

// Call forwards a call to a deployment of type service and returns its response
// unchanged.
func (s *callersService) Call(ctx context.Context, p *callers.CallPayload, body io.ReadCloser) (*callers.Answer, io.ReadCloser, error) {
	defer body.Close()
	data, err := io.ReadAll(body)
	if err != nil {
		return nil, nil, s.router.recordRefusal(responseInfoFrom(ctx).requestID, "", newDecodeRefusal(err))
	}
	contentType := contentTypeJSON
	if p.ContentType != nil {
		contentType = *p.ContentType
	}
	return s.answer(ctx, call{
		deployment:     p.Deployment,
		idempotencyKey: p.IdempotencyKey,
		timeout:        p.Timeout,
		priority:       p.TrafficPriority,
		idempotent:     true,
		serviceCall: &amrgate.ServiceCall{
			Method:      http.MethodPost,
			Path:        p.Path,
			ContentType: contentType,
			Body:        data,
		},
	}, serviceFormat{})
}

// answer runs a call and returns its response. It waits for the first event of a
// streamed response, and for the end of any other response. A refusal during
// this wait can still be sent with the HTTP status of its reason.
func (s *callersService) answer(ctx context.Context, params call, f responseFormat) (*callers.Answer, io.ReadCloser, error) {
	responseInfo := responseInfoFrom(ctx)
	requestID := responseInfo.requestID
	params.team, _ = ctx.Value(teamContextKey{}).(string)
	q, refused := s.router.newRequest(requestID, params)
	if refused == nil {
		refused = s.router.teamLimits.admit(q)
	}
	if refused != nil {
		return nil, nil, s.router.recordRefusal(requestID, params.team, refused.withDeployment(params.deployment))
	}
	started := s.router.clock.Now()
	session := s.router.newSession(q)
	first, refused := session.nextEvent(ctx)
	if refused != nil {
		return nil, nil, s.router.recordRefusal(requestID, params.team, refused)
	}
	s.router.metrics.timeToFirstToken.WithLabelValues(params.deployment).Observe(s.router.clock.Since(started).Seconds())
	body := newBody(ctx, session, f, first)
	if !params.stream {
		if refused := body.readAll(); refused != nil {
			return nil, nil, s.router.recordRefusal(requestID, params.team, refused)
		}
	}
	responseInfo.status = body.status()
	answer := &callers.Answer{RequestID: requestID, ContentType: body.contentType()}
	return answer, body, nil
}

// newRequestID returns a unique request ID, which also names this router.
func (r *Router) newRequestID() string {
	return r.ids.Next(r.clock.Now()).String()
}

// recordRefusal records a refusal as a decision, in the metrics and in the log,
// and returns it in the form that the callers' API sends. The team is empty if
// the caller has not been authenticated or the request could not be decoded.
func (r *Router) recordRefusal(id, team string, refused *refusal) *callers.Refusal {
	r.decisions.recordRefusal(id, team, refused, r.Revision(), r.clock.Now())
	r.metrics.refusals.WithLabelValues(string(refused.reason), string(refused.ran)).Inc()
	r.log.Info("request refused", "request", id, "team", team, "reason", refused.reason, "ran", refused.ran, "detail", refused.detail)
	return refused.callersRefusal(id)
}

// promptFromMessages returns the prompt that the inference engine receives for
// chat messages: one line for each message, "role: content".
func promptFromMessages(messages []*callers.Message) string {
	var b strings.Builder
	for _, m := range messages {
		b.WriteString(m.Role)
		b.WriteString(": ")
		b.WriteString(m.Content)
		b.WriteString("\n")
	}
	return b.String()
}

// logEncodingError logs an error that occurred while a response was written.
func (s *callersService) logEncodingError(_ context.Context, _ http.ResponseWriter, err error) {
	s.router.log.Debug("cannot write the response", "error", err)
}

// formatError returns the response body for an error. An error of the generated
// code, such as an invalid request body, is recorded as a refusal first.
func (s *callersService) formatError(ctx context.Context, err error) goahttp.Statuser {
	var m *callers.Refusal
	if !errors.As(err, &m) {
		m = s.router.recordRefusal(responseInfoFrom(ctx).requestID, "", newDecodeRefusal(err))
	}
	return newRefusalBody(m)
}

// newRefusalBody returns the JSON body of a refusal.
func newRefusalBody(m *callers.Refusal) refusalBody {
	return refusalBody{Error: refusalFields{
		Message:   m.Refusal.Message,
		Type:      m.Refusal.Type,
		Code:      m.Refusal.Code,
		Ran:       m.Refusal.Ran,
		Remedy:    m.Refusal.Remedy,
		Detail:    m.Refusal.Detail,
		RequestID: m.RequestID,
	}}
}

// newDecodeRefusal returns the refusal of a request that could not be decoded. A
// body over the size limit is recognized by the text of the error of net/http,
// because the generated code keeps only the text of a decoding error.
func newDecodeRefusal(err error) *refusal {
	var serviceError *goa.ServiceError
	detail := err.Error()
	if errors.As(err, &serviceError) {
		detail = serviceError.Message
	}
	if strings.Contains(detail, "request body too large") {
		return newRefusal(amrreason.TooLarge, "body")
	}
	// The value may be a part of a prompt, which must not reach the logs or
	// the decisions.
	detail, _, _ = strings.Cut(detail, " but got value")
	return newRefusal(amrreason.BadRequest, detail)
}

// refusalBody is the JSON body of a refusal.
type refusalBody struct {
	Error refusalFields `json:"error"`
}

// refusalFields is the error object in the body of a refusal.
type refusalFields struct {
	Message   string  `json:"message"`
	Type      string  `json:"type"`
	Code      string  `json:"code"`
	Ran       string  `json:"ran"`
	Remedy    string  `json:"remedy"`
	Detail    *string `json:"detail,omitempty"`
	RequestID string  `json:"request_id"`
}

// StatusCode implements goahttp.Statuser. It returns the HTTP status of the
// reason.
func (b refusalBody) StatusCode() int {
	return amrreason.Lookup(amrreason.Code(b.Error.Code)).Status
}
