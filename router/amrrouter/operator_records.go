package amrrouter

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"strings"
	"time"

	"amaranthreach.example/core/amraudit"
	"amaranthreach.example/core/amrconfig"
	"amaranthreach.example/core/amrrecord"
	"amaranthreach.example/router/gen/operators"
)

// changeTimeout bounds the attempts at one change.
const changeTimeout = 20 * time.Second

// Apply puts and deletes records, all or none.
func (s *operatorsService) Apply(ctx context.Context, p *operators.ApplyPayload) (*operators.Applied, error) {
	change := s.change(ctx, p.Operator, p.Reason, p.Token, p.Base)
	var errs []error
	for _, file := range p.Files {
		records, err := amrrecord.Parse(file.Name, []byte(file.Content))
		errs = append(errs, err)
		change.Put = append(change.Put, records...)
	}
	errs = append(errs, checkTwice(change.Put))
	if err := errors.Join(errs...); err != nil {
		return nil, operators.MakeBadRequest(err)
	}
	for _, name := range p.Delete {
		change.Delete = append(change.Delete, amrrecord.ParseID(name))
	}
	return s.apply(ctx, change, p.DryRun)
}

// Rollback brings back the records of an older revision as a new one.
func (s *operatorsService) Rollback(ctx context.Context, p *operators.RollbackPayload) (*operators.Applied, error) {
	change, err := s.router.store.RollbackTo(ctx, p.Revision, s.change(ctx, p.Operator, p.Reason, p.Token, p.Base))
	if err != nil {
		return nil, operatorError(err)
	}
	return s.apply(ctx, change, p.DryRun)
}

// Drain starts or ends the draining of a backend server by its record.
func (s *operatorsService) Drain(ctx context.Context, p *operators.DrainPayload) (*operators.Applied, error) {
	set, err := s.router.store.Load(ctx)
	if err != nil {
		return nil, operatorError(err)
	}
	record, ok := set.Get(amrrecord.ID{Kind: amrrecord.KindBackendServer, Name: p.Name})
	if !ok {
		return nil, operators.MakeNotFound(fmt.Errorf("there is no backend-server/%s; see the names with: amrctl get backend-server", p.Name))
	}
	server, _ := record.Spec.(amrrecord.BackendServer)
	server.Drain = !p.Undo
	record.Spec = server
	change := s.change(ctx, p.Operator, p.Reason, p.Token, set.Revision())
	change.Put = []amrrecord.Record{record}
	return s.apply(ctx, change, p.DryRun)
}

// Records returns records in force, or as they were at a revision.
func (s *operatorsService) Records(ctx context.Context, p *operators.RecordsPayload) (*operators.HeldRecords, error) {
	set, err := s.set(ctx, p.Revision)
	if err != nil {
		return nil, operatorError(err)
	}
	records := set.Records()
	if p.Variants {
		records = set.Variants()
	}
	result := &operators.HeldRecords{Revision: set.Revision(), Records: []*operators.HeldRecord{}}
	for _, r := range records {
		if kind := valueOf(p.Kind); kind != "" && kind != string(r.Kind()) {
			continue
		}
		if name := valueOf(p.Name); name != "" && name != r.Name {
			continue
		}
		document, err := documentOf(r)
		if err != nil {
			return nil, operatorError(err)
		}
		result.Records = append(result.Records, &operators.HeldRecord{Record: r.ID().String(), SchemaVersion: r.SchemaVersion, Document: document})
	}
	if len(result.Records) == 0 && p.Name != nil {
		return nil, operators.MakeNotFound(fmt.Errorf("there is no %s/%s at revision %d; see the names with: amrctl get", valueOf(p.Kind), *p.Name, set.Revision()))
	}
	return result, nil
}

// History returns the newest entries of the audit trail.
func (s *operatorsService) History(ctx context.Context, p *operators.HistoryPayload) (*operators.AuditEntries, error) {
	entries, err := s.router.store.History(ctx, valueOf(p.Record), p.Before, p.Limit)
	if err != nil {
		return nil, operatorError(err)
	}
	result := &operators.AuditEntries{Newest: s.router.Revision(), Entries: []*operators.AuditEntry{}}
	for _, e := range entries {
		changes, err := changesOf(e.Changes)
		if err != nil {
			return nil, operatorError(err)
		}
		result.Newest = max(result.Newest, e.Revision)
		result.Entries = append(result.Entries, &operators.AuditEntry{
			Revision: e.Revision,
			When:     e.When.UTC().Format(time.RFC3339),
			Who:      e.Who,
			From:     e.From,
			Reason:   e.Reason,
			Changes:  changes,
			Digest:   e.Digest,
		})
	}
	return result, nil
}

// Verify checks that no entry of the audit trail is missing or edited.
func (s *operatorsService) Verify(ctx context.Context, _ *operators.VerifyPayload) (*operators.VerifyResult, error) {
	entries, err := s.router.store.VerifyAudit(ctx)
	if err != nil {
		return nil, operatorError(err)
	}
	return &operators.VerifyResult{Entries: entries}, nil
}

func (s *operatorsService) change(ctx context.Context, operator, reason string, token *string, base uint64) amrconfig.Change {
	team, _ := ctx.Value(teamKey{}).(string)
	from, _ := ctx.Value(addressKey{}).(string)
	return amrconfig.Change{
		Token:  valueOf(token),
		Base:   base,
		Who:    team + "/" + operator,
		From:   from,
		Reason: reason,
	}
}

func (s *operatorsService) apply(ctx context.Context, change amrconfig.Change, dryRun bool) (*operators.Applied, error) {
	ctx, cancel := context.WithTimeout(ctx, changeTimeout)
	defer cancel()
	set, err := s.router.store.Load(ctx)
	if err != nil {
		return nil, operatorError(err)
	}
	preview, err := change.Preview(set)
	if err != nil {
		return nil, operatorError(err)
	}
	changes, err := changesOf(preview)
	if err != nil {
		return nil, operatorError(err)
	}
	result := &operators.Applied{Revision: set.Revision(), Changes: changes}
	if dryRun {
		return result, nil
	}
	result.Revision, err = s.router.store.Apply(ctx, change)
	if err != nil {
		return nil, operatorError(err)
	}
	s.router.follower.ObserveRevision(result.Revision)
	s.router.log.Info("records-changed", "revision", result.Revision, "who", change.Who, "from", change.From, "records", len(changes), "reason", change.Reason)
	return result, nil
}

func (s *operatorsService) set(ctx context.Context, revision uint64) (amrrecord.Set, error) {
	if revision == 0 {
		return s.router.store.Load(ctx)
	}
	return s.router.store.At(ctx, revision)
}

// checkTwice requires that no record is written twice in one change.
func checkTwice(records []amrrecord.Record) error {
	type variant struct {
		id      amrrecord.ID
		rollout bool
	}
	first := map[variant]amrrecord.Record{}
	var errs []error
	for _, r := range records {
		v := variant{r.ID(), !r.Rollout.IsZero()}
		if other, ok := first[v]; ok {
			errs = append(errs, amrrecord.Invalid.New("%s: %s stands at %s already; remove one of them", r.Position(), r.ID(), other.Position()))
		}
		first[v] = r
	}
	return errors.Join(errs...)
}

func changesOf(changes []amraudit.Change) ([]*operators.RecordChange, error) {
	all := make([]*operators.RecordChange, 0, len(changes))
	for _, c := range changes {
		before, err := documentsOf(c.Before)
		if err != nil {
			return nil, err
		}
		after, err := documentsOf(c.After)
		if err != nil {
			return nil, err
		}
		all = append(all, &operators.RecordChange{Record: c.Record, Before: before, After: after})
	}
	return all, nil
}

func documentsOf(documents []json.RawMessage) (string, error) {
	var parts []string
	for _, data := range documents {
		var r amrrecord.Record
		if err := json.Unmarshal(data, &r); err != nil {
			return "", err
		}
		document, err := documentOf(r)
		if err != nil {
			return "", err
		}
		parts = append(parts, document)
	}
	return strings.Join(parts, "---\n"), nil
}

// documentOf returns the record as YAML, or as JSON, which is YAML too, when
// this program does not know its schema version.
func documentOf(r amrrecord.Record) (string, error) {
	if !r.SchemaKnown() {
		data, err := json.Marshal(r)
		return string(data) + "\n", err
	}
	data, err := amrrecord.Marshal(r)
	return string(data), err
}
