package amrrouter

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"strings"

	"goa.design/goa/v3/security"

	"amaranthreach.example/core/amrreason"
	"amaranthreach.example/router/gen/operators"
)

// settingsOperator names the operator whose key stands in the settings.
const settingsOperator = "settings"

// operatorsService serves operators.
type operatorsService struct {
	router *Router
}

// APIKeyAuth accepts the keys of teams of operators.
func (s *operatorsService) APIKeyAuth(ctx context.Context, key string, _ *security.APIKeyScheme) (context.Context, error) {
	set := s.router.follower.Current()
	digest := sha256.Sum256([]byte(key))
	if s.router.settings.isOperatorKey(digest) {
		return context.WithValue(ctx, teamKey{}, settingsOperator), nil
	}
	name, team, ok := set.TeamByKey(hex.EncodeToString(digest[:]))
	if !ok {
		return ctx, operators.MakeUnauthorized(fmt.Errorf("the key belongs to no team; send the key of a team of operators"))
	}
	if !team.Operator {
		return ctx, operators.MakeForbidden(fmt.Errorf("team %s is no team of operators; use another key", name))
	}
	return context.WithValue(ctx, teamKey{}, name), nil
}

// Explain says why a request went where it did, or why it did not run.
func (s *operatorsService) Explain(_ context.Context, p *operators.ExplainPayload) (*operators.Explanation, error) {
	d, ok := s.router.decisions.kept.Get(p.ID)
	if !ok {
		return nil, operators.MakeNotFound(fmt.Errorf("no decision is kept for request %s; check the id", p.ID))
	}
	return d.explanation(), nil
}

func (d *decision) explanation() *operators.Explanation {
	d.mu.Lock()
	defer d.mu.Unlock()
	e := &operators.Explanation{
		RequestID:    d.requestID,
		Team:         d.team,
		Deployment:   d.deployment,
		Revision:     d.revision,
		Outcome:      d.outcome,
		PromptTokens: d.promptTokens,
		CachedTokens: d.cachedTokens,
		Summary:      d.summary(),
	}
	if d.reason != "" {
		e.Reason = string(d.reason)
		e.Ran = string(d.ran)
	}
	for _, c := range d.candidates {
		e.Candidates = append(e.Candidates, &operators.Candidate{BackendServer: c.name, Cost: c.cost.String()})
	}
	for _, a := range d.attempts {
		e.Attempts = append(e.Attempts, &operators.Attempt{BackendServer: a.server, Result: a.result})
	}
	return e
}

// summary tells in plain words what happened.
func (d *decision) summary() string {
	var b strings.Builder
	switch d.outcome {
	case "answered":
		last := d.attempts[len(d.attempts)-1]
		fmt.Fprintf(&b, "The request was answered by %s. %d of its %d prompt tokens were in the cache.", last.server, d.cachedTokens, d.promptTokens)
	case "refused":
		reason := amrreason.Of(d.reason)
		fmt.Fprintf(&b, "The request was refused: %s %s", reason.Message, reason.Remedy)
	default:
		b.WriteString("The request is running.")
	}
	return b.String()
}
