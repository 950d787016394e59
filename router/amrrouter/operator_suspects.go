package amrrouter

import (
	"context"
	"fmt"

	"amaranthreach.example/core/amrsuspect"
	"amaranthreach.example/router/gen/operators"
)

// Suspects returns the requests that were running when a backend server
// crashed.
func (s *operatorsService) Suspects(ctx context.Context, _ *operators.SuspectsPayload) ([]*operators.Suspect, error) {
	listed, err := s.router.suspects.store.List(ctx)
	if err != nil {
		return nil, operatorError(err)
	}
	all := make([]*operators.Suspect, len(listed))
	for i, suspect := range listed {
		all[i] = &operators.Suspect{
			Fingerprint: suspect.Fingerprint.String(),
			Team:        suspect.Team,
			Crashes:     suspect.Crashes,
			Quarantined: suspect.Quarantined(),
		}
	}
	return all, nil
}

// Lift drops the strikes of a request. Other routers learn of it when they next
// read the table.
func (s *operatorsService) Lift(ctx context.Context, p *operators.LiftPayload) error {
	fingerprint, ok := amrsuspect.Parse(p.Fingerprint)
	if !ok {
		return operators.MakeBadRequest(fmt.Errorf("%q is no fingerprint; take one from: amrctl quarantine list", p.Fingerprint))
	}
	if err := s.router.suspects.store.Lift(ctx, fingerprint); err != nil {
		return operatorError(err)
	}
	operator := s.change(ctx, p.Operator, p.Reason, nil, 0)
	s.router.log.Info("quarantine-lifted", "fingerprint", p.Fingerprint, "who", operator.Who, "from", operator.From, "reason", p.Reason)
	return nil
}
