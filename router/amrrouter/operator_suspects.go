package amrrouter

import (
	"context"
	"fmt"

	"amaranthreach.example/core/amrsuspect"
	"amaranthreach.example/router/gen/operators"
)

// Suspects returns the requests that were running when a backend server crashed.
func (s *operatorsService) Suspects(ctx context.Context, _ *operators.SuspectsPayload) ([]*operators.Suspect, error) {
	listed, err := s.router.suspectChecker.store.List(ctx)
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

// Lift deletes the recorded crashes of a request, so that it may run again. Other
// routers see this when they next read the table.
func (s *operatorsService) Lift(ctx context.Context, p *operators.LiftPayload) error {
	fingerprint, ok := amrsuspect.ParseFingerprint(p.Fingerprint)
	if !ok {
		return operators.MakeBadRequest(fmt.Errorf("%q is no fingerprint; take one from: amrctl quarantine list", p.Fingerprint))
	}
	if err := s.router.suspectChecker.store.Lift(ctx, fingerprint); err != nil {
		return operatorError(err)
	}
	change := s.newChange(ctx, p.Operator, p.Reason, nil, 0)
	s.router.log.Info("quarantine lifted", "fingerprint", p.Fingerprint, "who", change.Author, "from", change.SourceAddress, "reason", p.Reason)
	return nil
}
