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
	// rowPrefix is the prefix of the keys of the table's rows. The fingerprint
	// follows in hexadecimal.
	rowPrefix = "suspect/"

	// MaxCrashes is the number of crashes after which a request is quarantined.
	MaxCrashes = 2

	// maxWrites is the largest number of attempts to write a row that other
	// writers change at the same time.
	maxWrites = 5
)

var (
	namespace = errorx.NewNamespace("suspect")

	// Busy is the type of errors for a request that is running as a trial
	// elsewhere, or whose row others are changing. Retry after a pause.
	Busy = namespace.NewType("busy", errorx.Temporary())

	// Quarantined is the type of errors for a request that has crashed too many
	// backend servers. It runs again only if its content is changed or after
	// Store.Lift.
	Quarantined = namespace.NewType("quarantined")

	// Corrupt is the type of errors for a row that cannot be decoded. It should
	// be deleted.
	Corrupt = namespace.NewType("corrupt")
)

// Suspect is a request with strikes, as stored in the table.
type Suspect struct {
	Fingerprint Fingerprint
	Version     uint64 // Version of the row; 0 if there is no row.
	Row
}

// Row is the value of the table's row for a suspect.
type Row struct {
	Team    string   `json:"team"`
	Crashes []string `json:"crashes"`          // Names of the crashes: the lost backend servers with their incarnations, or abandoned trials.
	Trial   string   `json:"trial,omitempty"`  // Token of the trial in progress; empty if there is none.
	Router  string   `json:"router,omitempty"` // Name of the router that runs the trial.
}

// Quarantined reports whether the request must not run any more.
func (r Row) Quarantined() bool {
	return len(r.Crashes) >= MaxCrashes
}

// withCrash returns the row with the crash added, unless it is empty or already
// there.
func (r Row) withCrash(crash string) Row {
	if crash != "" && !slices.Contains(r.Crashes, crash) {
		r.Crashes = append(slices.Clone(r.Crashes), crash)
	}
	return r
}

// withTrial returns the row with the given trial in progress. An empty token
// means no trial.
func (r Row) withTrial(token, router string) Row {
	r.Trial, r.Router = token, router
	return r
}

// Trial identifies a single run of a suspect.
type Trial struct {
	Fingerprint Fingerprint
	Team        string
	Token       string // Unique token of the trial.
	Router      string // Name of the router that runs the trial.
}

// Store stores the suspects in the platform's table. It is safe for concurrent
// use.
type Store struct {
	table amrplatform.Table
}

// NewStore returns a Store that uses the table.
func NewStore(table amrplatform.Table) *Store {
	return &Store{table: table}
}

// BeginTrial starts the trial, which its caller must end with Clear,
// ReleaseTrial or RecordTrialCrash. If the crash is not empty, it is first
// added to the suspect, because the table may not show it yet. BeginTrial
// returns false and no error if the request is not a suspect and may run
// without a trial. If the request must not run now, it returns an error of type
// Busy, Quarantined or Corrupt, or one of the types of package amrplatform.
// Another trial in progress makes the request busy, unless abandoned returns
// true for it. In that case the other trial counts as a crash.
func (s *Store) BeginTrial(ctx context.Context, trial Trial, crash string, abandoned func(Suspect) bool) (struck bool, err error) {
	var row Row
	err = s.update(ctx, trial.Fingerprint, func(found Suspect) (*Row, error) {
		row = found.withCrash(crash)
		row.Team = trial.Team
		switch {
		case found.Quarantined():
			return nil, nil
		case row.Trial != "" && row.Trial != trial.Token:
			if !abandoned(found) {
				return nil, Busy.New("a trial of the request is in progress at router %s: retry after a pause", row.Router)
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
		err = Quarantined.New("the request is quarantined after the crashes %s: change it or lift the quarantine", strings.Join(row.Crashes, " and "))
	}
	return len(row.Crashes) > 0, err
}

// Clear ends a trial that has completed, and deletes the suspect.
func (s *Store) Clear(ctx context.Context, trial Trial) error {
	return s.end(ctx, trial, func(Row) *Row { return nil })
}

// ReleaseTrial ends a trial in which the request did not run to its end. The
// suspect keeps its crashes.
func (s *Store) ReleaseTrial(ctx context.Context, trial Trial) error {
	return s.end(ctx, trial, func(row Row) *Row { return &row })
}

// RecordTrialCrash ends a trial in which the backend server crashed, and adds
// the crash to the suspect.
func (s *Store) RecordTrialCrash(ctx context.Context, trial Trial, crash string) error {
	return s.end(ctx, trial, func(row Row) *Row {
		row = row.withCrash(crash)
		return &row
	})
}

// RecordCrash adds a crash that happened outside of a trial.
func (s *Store) RecordCrash(ctx context.Context, f Fingerprint, team, crash string) error {
	return s.update(ctx, f, func(found Suspect) (*Row, error) {
		row := found.withCrash(crash)
		row.Team = team
		return &row, nil
	})
}

// List returns at most MaxTracked suspects, in the order of their fingerprints.
// It skips rows that cannot be decoded.
func (s *Store) List(ctx context.Context) ([]Suspect, error) {
	items, err := s.table.Scan(ctx, rowPrefix, "", MaxTracked)
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

// Lift removes all strikes of a request and lifts its quarantine. It returns an
// error of type amrplatform.NotFound if the request is not a suspect.
func (s *Store) Lift(ctx context.Context, f Fingerprint) error {
	found, err := s.get(ctx, f)
	if err != nil {
		return err
	}
	if found.Version == 0 {
		return amrplatform.NotFound.New("no request with the fingerprint %s is struck: list those that are", f)
	}
	return s.Delete(ctx, found)
}

// Delete deletes the suspect if its row still has the given version. Otherwise
// it returns an error of type amrplatform.Conflict.
func (s *Store) Delete(ctx context.Context, suspect Suspect) error {
	key := rowPrefix + suspect.Fingerprint.String()
	return s.table.Commit(ctx, amrplatform.Txn{
		Checks:  []amrplatform.Check{{Key: key, Version: suspect.Version}},
		Deletes: []string{key},
	})
}

// end ends the trial, and does nothing if the trial is no longer the one in
// progress. It writes the row that change returns for the row without the
// trial, or deletes the row if change returns nil.
func (s *Store) end(ctx context.Context, trial Trial, change func(Row) *Row) error {
	return s.retryWrite(ctx, trial.Fingerprint, func(found Suspect) error {
		if found.Trial != trial.Token {
			return nil
		}
		row := change(found.withTrial("", ""))
		if row == nil {
			return s.Delete(ctx, found)
		}
		return s.put(ctx, found, *row)
	})
}

// update writes the row that change returns for the current suspect. It writes
// nothing if change returns nil or an error.
func (s *Store) update(ctx context.Context, f Fingerprint, change func(Suspect) (*Row, error)) error {
	return s.retryWrite(ctx, f, func(found Suspect) error {
		row, err := change(found)
		if err != nil || row == nil {
			return err
		}
		return s.put(ctx, found, *row)
	})
}

// retryWrite calls write with the current suspect. After a conflict, or if it
// is unknown whether the table was changed, it reads the row and calls write
// again, up to maxWrites times in all.
func (s *Store) retryWrite(ctx context.Context, f Fingerprint, write func(Suspect) error) error {
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
	return Busy.New("the row is being changed by other writers: retry after a pause")
}

// get returns the suspect. If the request is not a suspect, the version is 0.
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

// put writes the row of the suspect if its version is still the given one.
func (s *Store) put(ctx context.Context, found Suspect, row Row) error {
	data, err := json.Marshal(row)
	if err != nil {
		return Corrupt.Wrap(err, "cannot encode the row: report this bug")
	}
	key := rowPrefix + found.Fingerprint.String()
	return s.table.Commit(ctx, amrplatform.Txn{
		Checks: []amrplatform.Check{{Key: key, Version: found.Version}},
		Puts:   []amrplatform.Put{{Key: key, Value: data}},
	})
}

func decode(item amrplatform.Item) (Suspect, error) {
	f, ok := ParseFingerprint(strings.TrimPrefix(item.Key, rowPrefix))
	if !ok {
		return Suspect{}, Corrupt.New("%q names no fingerprint: delete the row", item.Key)
	}
	suspect := Suspect{Fingerprint: f, Version: item.Version}
	if err := json.Unmarshal(item.Value, &suspect.Row); err != nil {
		return Suspect{}, Corrupt.Wrap(err, "cannot read the row: delete it")
	}
	return suspect, nil
}
