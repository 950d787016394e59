package amrsuspect

import (
	"context"
	"encoding/json"
	"slices"
	"strings"

	"github.com/joomcode/errorx"

	"amaranthreach.example/core/amrplatform"
)

const (
	rowPrefix = "suspect/"

	// MaxCrashes is the number of crashes that quarantines a request.
	MaxCrashes = 2

	maxWrites = 5 // Of one row that others change as well.
)

var (
	namespace = errorx.NewNamespace("suspect")

	// Busy says that the request runs on trial elsewhere: try again after a
	// pause.
	Busy = namespace.NewType("busy", errorx.Temporary())

	// Quarantined says that the request crashed too many backend servers:
	// change it, or lift its quarantine.
	Quarantined = namespace.NewType("quarantined")

	// Corrupt says that a row of the table cannot be read as a suspect: delete
	// it.
	Corrupt = namespace.NewType("corrupt")
)

// Suspect is a struck request as the table shows it.
type Suspect struct {
	Fingerprint Fingerprint
	Version     uint64
	Row
}

// Row is what the table keeps of a struck request.
type Row struct {
	Team    string   `json:"team"`
	Crashes []string `json:"crashes"`          // Backend servers that were lost, with their incarnations.
	Trial   string   `json:"trial,omitempty"`  // Token of the trial that is under way.
	Router  string   `json:"router,omitempty"` // Which makes the trial.
}

// Quarantined reports whether the request runs no more.
func (r Row) Quarantined() bool {
	return len(r.Crashes) >= MaxCrashes
}

func (r Row) withCrash(crash string) Row {
	if crash != "" && !slices.Contains(r.Crashes, crash) {
		r.Crashes = append(slices.Clone(r.Crashes), crash)
	}
	return r
}

func (r Row) withTrial(token, router string) Row {
	r.Trial, r.Router = token, router
	return r
}

// Trial is the permission to run a struck request once.
type Trial struct {
	Fingerprint Fingerprint
	Team        string
	Token       string
	Router      string
}

// Store keeps struck requests in the platform's table. It is safe for
// concurrent use.
type Store struct {
	table amrplatform.Table
}

// NewStore returns a store over the table.
func NewStore(table amrplatform.Table) *Store {
	return &Store{table: table}
}

// Begin obtains the permission for the trial. The crash, if not empty, is one
// that the table may not show yet. It returns false when the request is not
// struck, and an error of kind Busy, Quarantined or of the platform's kinds
// when it may not run now. A trial of another router for which abandoned
// reports true counts as a crash.
func (s *Store) Begin(ctx context.Context, trial Trial, crash string, abandoned func(Suspect) bool) (struck bool, err error) {
	var row Row
	err = s.update(ctx, trial.Fingerprint, func(found Suspect) (*Row, error) {
		row = found.withCrash(crash)
		row.Team = trial.Team
		switch {
		case found.Quarantined():
			return nil, nil
		case row.Trial != "" && row.Trial != trial.Token:
			if !abandoned(found) {
				return nil, Busy.New("the request runs on trial at router %s: try again after a pause", row.Router)
			}
			row = row.withCrash("abandoned/" + row.Trial)
		case len(row.Crashes) == 0:
			return nil, nil
		}
		if row.Quarantined() {
			row = row.withTrial("", "")
		} else {
			row = row.withTrial(trial.Token, trial.Router)
		}
		return &row, nil
	})
	if err == nil && row.Quarantined() {
		err = Quarantined.New("the request crashed %s: change it or lift its quarantine", strings.Join(row.Crashes, " and "))
	}
	return len(row.Crashes) > 0, err
}

// Cleared ends a trial that went well: the request is no longer struck.
func (s *Store) Cleared(ctx context.Context, trial Trial) error {
	return s.end(ctx, trial, func(Row) *Row { return nil })
}

// Released ends a trial that did not run.
func (s *Store) Released(ctx context.Context, trial Trial) error {
	return s.end(ctx, trial, func(row Row) *Row { return &row })
}

// Crashed ends a trial during which the backend server was lost.
func (s *Store) Crashed(ctx context.Context, trial Trial, crash string) error {
	return s.end(ctx, trial, func(row Row) *Row {
		row = row.withCrash(crash)
		return &row
	})
}

// Strike notes a crash outside of a trial.
func (s *Store) Strike(ctx context.Context, f Fingerprint, team, crash string) error {
	return s.update(ctx, f, func(found Suspect) (*Row, error) {
		row := found.withCrash(crash)
		row.Team = team
		return &row, nil
	})
}

// List returns the struck requests, in the order of their fingerprints.
func (s *Store) List(ctx context.Context) ([]Suspect, error) {
	items, err := s.table.Scan(ctx, rowPrefix, "", MaxKnown)
	if err != nil {
		return nil, err
	}
	suspects := make([]Suspect, 0, len(items))
	for _, item := range items {
		if suspect, err := decode(item); err == nil {
			suspects = append(suspects, suspect)
		}
	}
	return suspects, nil
}

// Lift drops the strikes of a request. It returns an error of kind NotFound
// when the request is not struck.
func (s *Store) Lift(ctx context.Context, f Fingerprint) error {
	found, err := s.get(ctx, f)
	if err != nil {
		return err
	}
	if found.Version == 0 {
		return amrplatform.NotFound.New("no request with the fingerprint %s is struck: list those that are", f)
	}
	return s.Drop(ctx, found)
}

// Drop removes a suspect if it stands as given.
func (s *Store) Drop(ctx context.Context, suspect Suspect) error {
	key := rowPrefix + suspect.Fingerprint.String()
	return s.table.Commit(ctx, amrplatform.Txn{
		Checks:  []amrplatform.Check{{Key: key, Version: suspect.Version}},
		Deletes: []string{key},
	})
}

// end ends a trial that still stands. change returns the row to write, or nil
// to drop it.
func (s *Store) end(ctx context.Context, trial Trial, change func(Row) *Row) error {
	return s.retry(ctx, trial.Fingerprint, func(found Suspect) error {
		if found.Trial != trial.Token {
			return nil
		}
		row := change(found.withTrial("", ""))
		if row == nil {
			return s.Drop(ctx, found)
		}
		return s.put(ctx, found, *row)
	})
}

// update writes the row that change returns. A nil row means that there is
// nothing to write.
func (s *Store) update(ctx context.Context, f Fingerprint, change func(Suspect) (*Row, error)) error {
	return s.retry(ctx, f, func(found Suspect) error {
		row, err := change(found)
		if err != nil || row == nil {
			return err
		}
		return s.put(ctx, found, *row)
	})
}

// retry reads the row and writes, again after a conflict or a lost answer.
func (s *Store) retry(ctx context.Context, f Fingerprint, write func(Suspect) error) error {
	for range maxWrites {
		found, err := s.get(ctx, f)
		if err != nil {
			return err
		}
		err = write(found)
		if !errorx.IsOfType(err, amrplatform.Conflict) && !errorx.IsOfType(err, amrplatform.OutcomeUnknown) {
			return err
		}
	}
	return Busy.New("other writers were faster: try again after a pause")
}

// get returns the suspect, at version 0 when the request is not struck.
func (s *Store) get(ctx context.Context, f Fingerprint) (Suspect, error) {
	item, err := s.table.Get(ctx, rowPrefix+f.String())
	if errorx.IsOfType(err, amrplatform.NotFound) {
		return Suspect{Fingerprint: f}, nil
	}
	if err != nil {
		return Suspect{}, err
	}
	return decode(item)
}

func (s *Store) put(ctx context.Context, found Suspect, row Row) error {
	data, err := json.Marshal(row)
	if err != nil {
		return Corrupt.Wrap(err, "cannot encode the row: report this as a fault of the program")
	}
	key := rowPrefix + found.Fingerprint.String()
	return s.table.Commit(ctx, amrplatform.Txn{
		Checks: []amrplatform.Check{{Key: key, Version: found.Version}},
		Puts:   []amrplatform.Put{{Key: key, Value: data}},
	})
}

func decode(item amrplatform.Item) (Suspect, error) {
	f, ok := Parse(strings.TrimPrefix(item.Key, rowPrefix))
	if !ok {
		return Suspect{}, Corrupt.New("%q names no fingerprint: delete the row", item.Key)
	}
	suspect := Suspect{Fingerprint: f, Version: item.Version}
	if err := json.Unmarshal(item.Value, &suspect.Row); err != nil {
		return Suspect{}, Corrupt.Wrap(err, "cannot read the row: delete it")
	}
	return suspect, nil
}
