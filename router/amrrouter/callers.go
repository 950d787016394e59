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

// callersService serves callers.
type callersService struct {
	router *Router
}

type teamKey struct{}

const (
	recordsWait = 5 * time.Second // For the records after a start.
	recordsPoll = 10 * time.Millisecond
)

// APIKeyAuth finds the team of a bearer key.
func (s *callersService) APIKeyAuth(ctx context.Context, key string, _ *security.APIKeyScheme) (context.Context, error) {
	set := s.router.records(ctx)
	if set.Revision() == 0 {
		return ctx, s.router.refused(identityOf(ctx).id, "", refuse(amrreason.NotReady, "").withRetryAfter(time.Second))
	}
	digest := sha256.Sum256([]byte(key))
	team, _, ok := set.TeamByKey(hex.EncodeToString(digest[:]))
	if !ok {
		return ctx, s.router.refused(identityOf(ctx).id, "", refuse(amrreason.Unauthorized, ""))
	}
	return context.WithValue(ctx, teamKey{}, team), nil
}

// records returns the records in force. A router that has just started waits
// for them, so that the first requests need not be sent again.
func (r *Router) records(ctx context.Context) amrrecord.Set {
	set := r.follower.Current()
	if set.Revision() > 0 {
		return set
	}
	ticker := r.clock.NewTicker(recordsPoll)
	defer ticker.Stop()
	for waited := time.Duration(0); set.Revision() == 0 && waited < recordsWait; waited += recordsPoll {
		select {
		case <-ctx.Done():
			return set
		case <-ticker.Chan():
			set = r.follower.Current()
		}
	}
	return set
}

// Chat answers a chat completion.
func (s *callersService) Chat(ctx context.Context, p *callers.ChatPayload) (*callers.Answer, io.ReadCloser, error) {
	return s.answer(ctx, call{
		deployment:     p.Model,
		idempotencyKey: p.IdempotencyKey,
		timeout:        p.Timeout,
		priority:       p.TrafficPriority,
		idempotent:     p.Idempotent,
		prompt:         promptOf(p.Messages),
		maxTokens:      p.MaxTokens,
		stream:         p.Stream,
	}, chatFormat{})
}

// Complete answers a completion.
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

// Call passes a call to a plain service.
func (s *callersService) Call(ctx context.Context, p *callers.CallPayload, body io.ReadCloser) (*callers.Answer, io.ReadCloser, error) {
	defer body.Close()
	data, err := io.ReadAll(body)
	if err != nil {
		return nil, nil, s.router.refused(identityOf(ctx).id, "", unreadable(err))
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
		service: &amrgate.ServiceCall{
			Method:      http.MethodPost,
			Path:        p.Path,
			ContentType: contentType,
			Body:        data,
		},
	}, serviceFormat{})
}

// answer runs a call until its first event, so that a refusal has the status
// of its reason.
func (s *callersService) answer(ctx context.Context, c call, f format) (*callers.Answer, io.ReadCloser, error) {
	identity := identityOf(ctx)
	id := identity.id
	c.team, _ = ctx.Value(teamKey{}).(string)
	q, refused := s.router.newRequest(id, c)
	if refused == nil {
		refused = s.router.limits.admit(q)
	}
	if refused != nil {
		return nil, nil, s.router.refused(id, c.team, refused.withDeployment(c.deployment))
	}
	started := s.router.clock.Now()
	session := s.router.newSession(q)
	first, refused := session.next(ctx)
	if refused != nil {
		return nil, nil, s.router.refused(id, c.team, refused)
	}
	s.router.metrics.firstToken.WithLabelValues(c.deployment).Observe(s.router.clock.Since(started).Seconds())
	body := newBody(ctx, session, f, first)
	if !c.stream {
		if refused := body.collect(); refused != nil {
			return nil, nil, s.router.refused(id, c.team, refused)
		}
	}
	identity.status = body.status()
	answer := &callers.Answer{RequestID: id, ContentType: body.contentType()}
	return answer, body, nil
}

func (r *Router) newID() string {
	return r.ids.Next(r.clock.Now()).String()
}

// refused records a refusal and returns it as the callers' interface sends it.
func (r *Router) refused(id, team string, refused *refusal) *callers.Refusal {
	r.decisions.refused(id, team, refused, r.Revision(), r.clock.Now())
	r.metrics.refusals.WithLabelValues(string(refused.reason), string(refused.ran)).Inc()
	r.log.Info("request-refused", "request", id, "team", team, "reason", refused.reason, "ran", refused.ran, "detail", refused.detail)
	return refused.message(id)
}

// promptOf returns the text that the engine gets for chat messages.
func promptOf(messages []*callers.Message) string {
	var b strings.Builder
	for _, m := range messages {
		b.WriteString(m.Role)
		b.WriteString(": ")
		b.WriteString(m.Content)
		b.WriteString("\n")
	}
	return b.String()
}

func (s *callersService) encodingFailed(_ context.Context, _ http.ResponseWriter, err error) {
	s.router.log.Debug("answer-not-written", "error", err)
}

// format returns the body of a refusal. Errors of the generated code, such as
// an invalid body, become refusals too.
func (s *callersService) format(ctx context.Context, err error) goahttp.Statuser {
	var m *callers.Refusal
	if !errors.As(err, &m) {
		m = s.router.refused(identityOf(ctx).id, "", unreadable(err))
	}
	return bodyOf(m)
}

func bodyOf(m *callers.Refusal) refusalBody {
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

// unreadable returns the refusal of a request that the generated code could
// not decode.
func unreadable(err error) *refusal {
	var named *goa.ServiceError
	detail := err.Error()
	if errors.As(err, &named) {
		detail = named.Message
	}
	if strings.Contains(detail, "request body too large") {
		return refuse(amrreason.TooLarge, "body")
	}
	// The value may be the text of a prompt, which is not kept.
	detail, _, _ = strings.Cut(detail, " but got value")
	return refuse(amrreason.BadRequest, detail)
}

type refusalBody struct {
	Error refusalFields `json:"error"`
}

type refusalFields struct {
	Message   string  `json:"message"`
	Type      string  `json:"type"`
	Code      string  `json:"code"`
	Ran       string  `json:"ran"`
	Remedy    string  `json:"remedy"`
	Detail    *string `json:"detail,omitempty"`
	RequestID string  `json:"request_id"`
}

// StatusCode returns the status of the refusal's reason.
func (b refusalBody) StatusCode() int {
	return amrreason.Of(amrreason.Code(b.Error.Code)).Status
}
