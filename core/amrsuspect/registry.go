package amrsuspect

import (
	"time"

	lru "github.com/hashicorp/golang-lru/v2"
)

const (
	// MaxTracked is the largest number of suspects that a router tracks.
	MaxTracked = 4096

	// ReportTTL is the time for which a reported crash counts as a strike while
	// the table does not show it.
	ReportTTL = time.Minute

	// AbandonedAfter is the time after which a router that keeps seeing the
	// same trial in the table considers the router of the trial lost.
	AbandonedAfter = 2 * time.Minute

	// UnchangedRowTTL is the time after which a router that keeps seeing the
	// same row in the table requests its deletion, unless the request is
	// quarantined.
	UnchangedRowTTL = time.Hour
)

// Registry is a router's view of the suspects. It combines the rows of the
// table with crashes that sidecars and other routers have reported and that the
// table may not show yet. It is not safe for concurrent use.
type Registry struct {
	rows    map[Fingerprint]observedRow // Rows at the last call of Observe.
	reports *lru.Cache[Fingerprint, crashReport]

	// cleared holds the last crash of each request that has completed since.
	// Sidecars may go on reporting that crash for some time.
	cleared *lru.Cache[Fingerprint, string]
}

// observedRow is the version of a row and the time since which this router has
// observed that version.
type observedRow struct {
	version uint64
	since   time.Time
}

// crashReport is a reported crash, which counts until the given time.
type crashReport struct {
	crash string
	until time.Time
}

// NewRegistry returns a registry without suspects.
func NewRegistry() *Registry {
	reports, err := lru.New[Fingerprint, crashReport](MaxTracked)
	if err != nil {
		panic(err) // New fails only if the size is less than 1.
	}
	cleared, err := lru.New[Fingerprint, string](MaxTracked)
	if err != nil {
		panic(err) // New fails only if the size is less than 1.
	}
	return &Registry{rows: make(map[Fingerprint]observedRow), reports: reports, cleared: cleared}
}

// RecordReport records a crash, reported by a sidecar or by another router,
// that the table may not show yet. It ignores a crash after which the request
// has completed.
func (r *Registry) RecordReport(now time.Time, f Fingerprint, crash string) {
	if r.ClearedCrash(f) == crash && crash != "" {
		return
	}
	r.reports.Add(f, crashReport{crash: crash, until: now.Add(ReportTTL)})
}

// Clear records that the request is no longer a suspect. Further reports of the
// last reported crash are ignored.
func (r *Registry) Clear(f Fingerprint) {
	if report, ok := r.reports.Get(f); ok {
		r.cleared.Add(f, report.crash)
	}
	r.reports.Remove(f)
	delete(r.rows, f)
}

// ClearedCrash returns the name of the last crash after which the request has
// completed. It is empty if there is none.
func (r *Registry) ClearedCrash(f Fingerprint) string {
	crash, _ := r.cleared.Get(f)
	return crash
}

// Suspected reports whether the request is a suspect and may run only as a
// trial. The crash is empty unless it is one that the table may not show yet.
func (r *Registry) Suspected(now time.Time, f Fingerprint) (crash string, suspected bool) {
	if report, ok := r.reports.Get(f); ok && now.Before(report.until) {
		return report.crash, true
	}
	_, suspected = r.rows[f]
	return "", suspected
}

// Observe replaces the suspects known from the table by the given ones. It
// returns those to delete from the table because they have not changed for
// UnchangedRowTTL.
func (r *Registry) Observe(now time.Time, suspects []Suspect) []Suspect {
	rows := make(map[Fingerprint]observedRow, len(suspects))
	var stale []Suspect
	for _, s := range suspects {
		observed := observedRow{version: s.Version, since: now}
		if previous, ok := r.rows[s.Fingerprint]; ok && previous.version == s.Version {
			observed.since = previous.since
		}
		rows[s.Fingerprint] = observed
		if !s.Quarantined() && now.Sub(observed.since) >= UnchangedRowTTL {
			stale = append(stale, s)
		}
	}
	r.rows = rows
	return stale
}

// Abandoned reports whether this router has seen the suspect unchanged for at
// least AbandonedAfter. A trial in progress does not take that long, so that
// its router must be lost.
func (r *Registry) Abandoned(now time.Time, s Suspect) bool {
	observed, ok := r.rows[s.Fingerprint]
	return ok && observed.version == s.Version && now.Sub(observed.since) >= AbandonedAfter
}
