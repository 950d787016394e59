package amrrouter

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"net"
	"net/http"
	"time"

	"github.com/joomcode/errorx"
	"goa.design/goa/v3/security"

	"amaranthreach.example/core/amraudit"
	"amaranthreach.example/core/amrconfig"
	"amaranthreach.example/core/amrexplain"
	"amaranthreach.example/core/amrplatform"
	"amaranthreach.example/core/amrreason"
	"amaranthreach.example/router/gen/operators"
)

// operatorsService implements the generated service for operators.
type operatorsService struct {
	router *Router
}

// operatorAddressKey is the context key of the operator's IP address.
type operatorAddressKey struct{}

// withOperatorAddress returns a handler that stores the remote IP address in the
// request's context, from which it is written to the audit trail.
func withOperatorAddress(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		host, _, err := net.SplitHostPort(r.RemoteAddr)
		if err != nil {
			host = r.RemoteAddr
		}
		next.ServeHTTP(w, r.WithContext(context.WithValue(r.Context(), operatorAddressKey{}, host)))
	})
}

// APIKeyAuth authenticates the operator. It accepts the operator keys of the
// settings, and the keys of teams whose record marks them as operators. It returns
// a context that holds the name of the team, which is "settings" for a key of the
// settings.
func (s *operatorsService) APIKeyAuth(ctx context.Context, key string, _ *security.APIKeyScheme) (context.Context, error) {
	digest := sha256.Sum256([]byte(key))
	if s.router.settings.isOperatorKey(digest) {
		return context.WithValue(ctx, teamContextKey{}, "settings"), nil
	}
	name, team, ok := s.router.follower.Current().TeamByKey(hex.EncodeToString(digest[:]))
	if !ok {
		return ctx, operators.MakeUnauthorized(fmt.Errorf("the key belongs to no team; send the key of a team of operators"))
	}
	if !team.Operator {
		return ctx, operators.MakeForbidden(fmt.Errorf("team %s is no team of operators; use another key", name))
	}
	return context.WithValue(ctx, teamContextKey{}, name), nil
}

// Explain returns the decision about a request: why it was routed as it was, or
// why it was refused.
func (s *operatorsService) Explain(ctx context.Context, p *operators.ExplainPayload) (*operators.Explanation, error) {
	d, err := s.router.findDecision(ctx, p.ID)
	if err != nil {
		return nil, operatorError(err)
	}
	return newExplanation(d), nil
}

// findDecision returns the decision about a request. It looks in memory first, then
// asks the router that the request ID names, and last reads the object store,
// which has the decisions of routers that have stopped.
func (r *Router) findDecision(ctx context.Context, request string) (amrexplain.Decision, error) {
	if d, ok := r.decisions.get(request); ok {
		return d, nil
	}
	id, err := amrexplain.ParseID(request)
	if err != nil {
		return amrexplain.Decision{}, err
	}
	if peer, ok := r.hostRegistry.otherRouter(id.Router); ok {
		if d, ok := r.peerClient.findDecision(ctx, peer.Address, request); ok {
			return d, nil
		}
	}
	return r.decisions.recorder.Find(ctx, request)
}

// WhyNot returns the refusals that match the given team, deployment, reason and
// period. The period is the last hour by default.
func (s *operatorsService) WhyNot(ctx context.Context, p *operators.WhyNotPayload) (*operators.Refusals, error) {
	now := s.router.clock.Now()
	since, err := parseTimeOr(p.Since, now.Add(-time.Hour))
	if err != nil {
		return nil, err
	}
	until, err := parseTimeOr(p.Until, now)
	if err != nil {
		return nil, err
	}
	found, err := s.router.decisions.recorder.FindRefusals(ctx, amrexplain.RefusalQuery{
		Team:       stringValue(p.Team),
		Deployment: stringValue(p.Deployment),
		Reason:     amrreason.Code(stringValue(p.Reason)),
		Since:      since,
		Until:      until,
		Limit:      p.Limit,
	})
	if err != nil {
		return nil, operatorError(err)
	}
	result := &operators.Refusals{Complete: found.Complete, Refusals: []*operators.Explanation{}}
	for _, d := range found.Decisions {
		result.Refusals = append(result.Refusals, newExplanation(d))
	}
	return result, nil
}

// newExplanation returns the decision in the form of the operators' API.
func newExplanation(d amrexplain.Decision) *operators.Explanation {
	e := &operators.Explanation{
		RequestID:    d.RequestID,
		Summary:      d.Summary(),
		Text:         d.Text(),
		At:           d.At.Format(time.RFC3339Nano),
		Team:         d.Team,
		Deployment:   d.Deployment,
		Policy:       nonEmptyString(d.Policy),
		Revision:     d.Revision,
		Outcome:      string(d.Outcome),
		Reason:       string(d.Reason),
		Ran:          string(d.Ran),
		Detail:       nonEmptyString(d.Detail),
		PromptTokens: d.PromptTokens,
		CachedTokens: d.CachedTokens,
	}
	for _, c := range d.Candidates {
		e.Candidates = append(e.Candidates, &operators.Candidate{
			BackendServer: c.BackendServer,
			Cost:          c.Cost.String(),
			Wait:          nonEmptyString(c.Wait.String()),
			CachedTokens:  &c.CachedTokens,
		})
	}
	for _, a := range d.Attempts {
		e.Attempts = append(e.Attempts, &operators.Attempt{
			BackendServer: a.BackendServer,
			Result:        string(a.Result),
			After:         nonEmptyString(a.After.String()),
			Reason:        nonEmptyString(string(a.Reason)),
			Ran:           nonEmptyString(string(a.Ran)),
		})
	}
	return e
}

// operatorError returns the error of the operators' API that corresponds to an
// error of the records, the audit trail, the decisions or the platform.
func operatorError(err error) error {
	switch {
	case errorx.IsOfType(err, amrconfig.Conflict):
		return operators.MakeConflict(err)
	case errorx.IsOfType(err, amraudit.Gap), errorx.IsOfType(err, amraudit.Edited):
		return operators.MakeTampered(err)
	case errorx.IsOfType(err, amrexplain.NotFound), errorx.IsOfType(err, amrplatform.NotFound):
		return operators.MakeNotFound(err)
	case errorx.IsTemporary(err):
		return operators.MakeUnavailable(err)
	default:
		return operators.MakeBadRequest(err)
	}
}

// parseTimeOr returns the RFC 3339 time in text, or the fallback if text is nil or
// empty.
func parseTimeOr(text *string, fallback time.Time) (time.Time, error) {
	if stringValue(text) == "" {
		return fallback, nil
	}
	t, err := time.Parse(time.RFC3339, *text)
	if err != nil {
		return t, operators.MakeBadRequest(fmt.Errorf("%q is no time; write it like 2026-01-05T10:00:00Z", *text))
	}
	return t, nil
}

// stringValue returns the string that s points to, or "" if s is nil.
func stringValue(s *string) string {
	if s == nil {
		return ""
	}
	return *s
}

// nonEmptyString returns a pointer to s, or nil if s is empty.
func nonEmptyString(s string) *string {
	if s == "" {
		return nil
	}
	return &s
}
