package amrconfig

import (
	"context"

	"amaranthreach.example/core/amraudit"
)

// VerifyAudit reads the whole audit trail and checks that no entry is missing
// or edited.
func (s *Store) VerifyAudit(ctx context.Context) error {
	h, err := s.head(ctx)
	if err != nil {
		return err
	}
	var last amraudit.Entry
	for last.Revision < h.Revision {
		entries, err := s.entries(ctx, last.Revision)
		if err != nil {
			return err
		}
		if len(entries) == 0 {
			return amraudit.Gap.New("the trail ends at entry %d, before the head at %d; restore the rest from a backup", last.Revision, h.Revision)
		}
		for _, entry := range entries {
			if err := entry.Verify(last.Revision, last.Digest); err != nil {
				return err
			}
			last = entry
			if last.Revision == h.Revision {
				break
			}
		}
	}
	if last.Digest != h.Digest {
		return amraudit.Edited.New("the head does not name entry %d as the last; compare both with a backup", last.Revision)
	}
	return nil
}
