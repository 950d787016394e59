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

// operatorsService serves operators.
type operatorsService struct {
	router *Router
}

type addressKey struct{}

// withAddress notes the address of the operator for the audit trail.
func withAddress(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		host, _, err := net.SplitHostPort(r.RemoteAddr)
		if err != nil {
			host = r.RemoteAddr
		}
		next.ServeHTTP(w, r.WithContext(context.WithValue(r.Context(), addressKey{}, host)))
	})
}

// APIKeyAuth accepts the keys of teams of operators and those of the settings.
func (s *operatorsService) APIKeyAuth(ctx context.Context, key string, _ *security.APIKeyScheme) (context.Context, error) {
	sum := sha256.Sum256([]byte(key))
	if s.router.settings.isOperatorKey(sum) {
		return context.WithValue(ctx, teamKey{}, "settings"), nil
	}
	name, team, ok := s.router.follower.Current().TeamByKey(hex.EncodeToString(sum[:]))
	if !ok {
		return ctx, operators.MakeUnauthorized(fmt.Errorf("the key belongs to no team; send the key of a team of operators"))
	}
	if !team.Operator {
		return ctx, operators.MakeForbidden(fmt.Errorf("team %s is no team of operators; use another key", name))
	}
	return context.WithValue(ctx, teamKey{}, name), nil
}

// Explain says why a request went where it did, or why it did not run.
func (s *operatorsService) Explain(ctx context.Context, p *operators.ExplainPayload) (*operators.Explanation, error) {
	d, err := s.router.find(ctx, p.ID)
	if err != nil {
		return nil, operatorError(err)
	}
	return explanationOf(d), nil
}

// find returns the decision on a request: from memory, from the router that
// made it, or from the object store when that router is gone.
func (r *Router) find(ctx context.Context, request string) (amrexplain.Decision, error) {
	if d, ok := r.decisions.get(request); ok {
		return d, nil
	}
	id, err := amrexplain.ParseID(request)
	if err != nil {
		return amrexplain.Decision{}, err
	}
	if peer, ok := r.hosts.named(id.Router); ok {
		if d, ok := r.peers.find(ctx, peer.Address, request); ok {
			return d, nil
		}
	}
	return r.decisions.recorder.Find(ctx, request)
}

// WhyNot returns refusals by team, deployment, reason and time.
func (s *operatorsService) WhyNot(ctx context.Context, p *operators.WhyNotPayload) (*operators.Refusals, error) {
	now := s.router.clock.Now()
	since, err := timeOr(p.Since, now.Add(-time.Hour))
	if err != nil {
		return nil, err
	}
	until, err := timeOr(p.Until, now)
	if err != nil {
		return nil, err
	}
	found, err := s.router.decisions.recorder.WhyNot(ctx, amrexplain.Query{
		Team:       valueOf(p.Team),
		Deployment: valueOf(p.Deployment),
		Reason:     amrreason.Code(valueOf(p.Reason)),
		Since:      since,
		Until:      until,
		Limit:      p.Limit,
	})
	if err != nil {
		return nil, operatorError(err)
	}
	result := &operators.Refusals{Complete: found.Complete, Refusals: []*operators.Explanation{}}
	for _, d := range found.Decisions {
		result.Refusals = append(result.Refusals, explanationOf(d))
	}
	return result, nil
}

func explanationOf(d amrexplain.Decision) *operators.Explanation {
	e := &operators.Explanation{
		RequestID:    d.RequestID,
		Summary:      d.Summary(),
		Text:         d.Text(),
		At:           d.At.Format(time.RFC3339Nano),
		Team:         d.Team,
		Deployment:   d.Deployment,
		Policy:       optional(d.Policy),
		Revision:     d.Revision,
		Outcome:      string(d.Outcome),
		Reason:       string(d.Reason),
		Ran:          string(d.Ran),
		Detail:       optional(d.Detail),
		PromptTokens: d.PromptTokens,
		CachedTokens: d.CachedTokens,
	}
	for _, c := range d.Candidates {
		e.Candidates = append(e.Candidates, &operators.Candidate{
			BackendServer: c.BackendServer,
			Cost:          c.Cost.String(),
			Wait:          optional(c.Wait.String()),
			CachedTokens:  &c.CachedTokens,
		})
	}
	for _, a := range d.Attempts {
		e.Attempts = append(e.Attempts, &operators.Attempt{
			BackendServer: a.BackendServer,
			Result:        string(a.Result),
			After:         optional(a.After.String()),
			Reason:        optional(string(a.Reason)),
			Ran:           optional(string(a.Ran)),
		})
	}
	return e
}

// operatorError returns the error of the operators' interface for an error of
// the records, the audit trail, the decisions or the platform.
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

func timeOr(text *string, otherwise time.Time) (time.Time, error) {
	if valueOf(text) == "" {
		return otherwise, nil
	}
	t, err := time.Parse(time.RFC3339, *text)
	if err != nil {
		return t, operators.MakeBadRequest(fmt.Errorf("%q is no time; write it like 2026-01-05T10:00:00Z", *text))
	}
	return t, nil
}

func valueOf(s *string) string {
	if s == nil {
		return ""
	}
	return *s
}

func optional(s string) *string {
	if s == "" {
		return nil
	}
	return &s
}
