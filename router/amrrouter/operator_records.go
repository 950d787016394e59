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

// changeTimeout limits the time to apply one change, including its retries.
const changeTimeout = 20 * time.Second

// Apply puts and deletes records in one transaction.
func (s *operatorsService) Apply(ctx context.Context, p *operators.ApplyPayload) (*operators.Applied, error) {
	newChange := s.newChange(ctx, p.Operator, p.Reason, p.Token, p.Base)
	var errs []error
	for _, file := range p.Files {
		records, err := amrrecord.Parse(file.Name, []byte(file.Content))
		errs = append(errs, err)
		newChange.Put = append(newChange.Put, records...)
	}
	errs = append(errs, checkDuplicates(newChange.Put))
	if err := errors.Join(errs...); err != nil {
		return nil, operators.MakeBadRequest(err)
	}
	for _, name := range p.Delete {
		newChange.Delete = append(newChange.Delete, amrrecord.ParseID(name))
	}
	return s.apply(ctx, newChange, p.DryRun)
}

// Rollback restores the records of an earlier revision as a new revision.
func (s *operatorsService) Rollback(ctx context.Context, p *operators.RollbackPayload) (*operators.Applied, error) {
	newChange, err := s.router.store.RollbackTo(ctx, p.Revision, s.newChange(ctx, p.Operator, p.Reason, p.Token, p.Base))
	if err != nil {
		return nil, operatorError(err)
	}
	return s.apply(ctx, newChange, p.DryRun)
}

// Drain changes the record of a backend server so that the server starts draining,
// or stops draining if Undo is set.
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
	newChange := s.newChange(ctx, p.Operator, p.Reason, p.Token, set.Revision())
	newChange.Put = []amrrecord.Record{record}
	return s.apply(ctx, newChange, p.DryRun)
}

// Records returns the records of the newest or of the given revision, filtered by
// kind and name.
func (s *operatorsService) Records(ctx context.Context, p *operators.RecordsPayload) (*operators.HeldRecords, error) {
	recordSet, err := s.recordSet(ctx, p.Revision)
	if err != nil {
		return nil, operatorError(err)
	}
	records := recordSet.Records()
	if p.Variants {
		records = recordSet.Variants()
	}
	result := &operators.HeldRecords{Revision: recordSet.Revision(), Records: []*operators.HeldRecord{}}
	for _, r := range records {
		if kind := stringValue(p.Kind); kind != "" && kind != string(r.Kind()) {
			continue
		}
		if name := stringValue(p.Name); name != "" && name != r.Name {
			continue
		}
		document, err := marshalDocument(r)
		if err != nil {
			return nil, operatorError(err)
		}
		result.Records = append(result.Records, &operators.HeldRecord{Record: r.ID().String(), SchemaVersion: r.SchemaVersion, Document: document})
	}
	if len(result.Records) == 0 && p.Name != nil {
		return nil, operators.MakeNotFound(fmt.Errorf("there is no %s/%s at revision %d; see the names with: amrctl get", stringValue(p.Kind), *p.Name, recordSet.Revision()))
	}
	return result, nil
}

// History returns the newest entries of the audit trail.
func (s *operatorsService) History(ctx context.Context, p *operators.HistoryPayload) (*operators.AuditEntries, error) {
	entries, err := s.router.store.History(ctx, stringValue(p.Record), p.Before, p.Limit)
	if err != nil {
		return nil, operatorError(err)
	}
	result := &operators.AuditEntries{Newest: s.router.Revision(), Entries: []*operators.AuditEntry{}}
	for _, e := range entries {
		changes, err := newRecordChanges(e.Changes)
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

// Verify checks that no entry of the audit trail is missing or modified.
func (s *operatorsService) Verify(ctx context.Context, _ *operators.VerifyPayload) (*operators.VerifyResult, error) {
	entries, err := s.router.store.VerifyAudit(ctx)
	if err != nil {
		return nil, operatorError(err)
	}
	return &operators.VerifyResult{Entries: entries}, nil
}

// newChange returns a change without records, made by the authenticated operator.
func (s *operatorsService) newChange(ctx context.Context, operator, reason string, token *string, base uint64) amrconfig.Change {
	team, _ := ctx.Value(teamContextKey{}).(string)
	from, _ := ctx.Value(operatorAddressKey{}).(string)
	return amrconfig.Change{
		Token:         stringValue(token),
		Base:          base,
		Author:        team + "/" + operator,
		SourceAddress: from,
		Reason:        reason,
	}
}

// apply applies the change, or returns only the records that it would change if
// dryRun is set.
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
	changes, err := newRecordChanges(preview)
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
	s.router.log.Info("records changed", "revision", result.Revision, "who", change.Author, "from", change.SourceAddress, "records", len(changes), "reason", change.Reason)
	return result, nil
}

// recordSet returns the records of the revision, or the newest ones for revision 0.
func (s *operatorsService) recordSet(ctx context.Context, revision uint64) (amrrecord.Set, error) {
	if revision == 0 {
		return s.router.store.Load(ctx)
	}
	return s.router.store.AtRevision(ctx, revision)
}

// checkDuplicates returns an error if records contains the same record more than
// once. A record and its variant that is being rolled out count as different.
func checkDuplicates(records []amrrecord.Record) error {
	type variant struct {
		id      amrrecord.ID
		rollout bool
	}
	seen := map[variant]amrrecord.Record{}
	var errs []error
	for _, r := range records {
		v := variant{r.ID(), !r.Rollout.IsZero()}
		if other, ok := seen[v]; ok {
			errs = append(errs, amrrecord.Invalid.New("%s: %s stands at %s already; remove one of them", r.Position(), r.ID(), other.Position()))
		}
		seen[v] = r
	}
	return errors.Join(errs...)
}

// newRecordChanges returns the changes in the form of the operators' API.
func newRecordChanges(changes []amraudit.Change) ([]*operators.RecordChange, error) {
	all := make([]*operators.RecordChange, 0, len(changes))
	for _, c := range changes {
		before, err := marshalDocuments(c.Before)
		if err != nil {
			return nil, err
		}
		after, err := marshalDocuments(c.After)
		if err != nil {
			return nil, err
		}
		all = append(all, &operators.RecordChange{Record: c.Record, Before: before, After: after})
	}
	return all, nil
}

// marshalDocuments returns the JSON documents of records as a stream of YAML
// documents.
func marshalDocuments(documents []json.RawMessage) (string, error) {
	var parts []string
	for _, data := range documents {
		var r amrrecord.Record
		if err := json.Unmarshal(data, &r); err != nil {
			return "", err
		}
		document, err := marshalDocument(r)
		if err != nil {
			return "", err
		}
		parts = append(parts, document)
	}
	return strings.Join(parts, "---\n"), nil
}

// marshalDocument returns the record as YAML. A record whose schema version is not
// known to this program is returned as JSON, which is valid YAML.
func marshalDocument(r amrrecord.Record) (string, error) {
	if !r.SchemaKnown() {
		data, err := json.Marshal(r)
		return string(data) + "\n", err
	}
	data, err := amrrecord.Marshal(r)
	return string(data), err
}
