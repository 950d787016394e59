package amrsuspect

import (
	"time"

	lru "github.com/hashicorp/golang-lru/v2"
)

const (
	// MaxKnown is the number of struck fingerprints that a router knows.
	MaxKnown = 4096

	// HeardFor is how long a strike counts that the table does not show.
	HeardFor = time.Minute

	// AbandonedAfter is how long a router sees the same trial before it takes
	// the trial's router for lost.
	AbandonedAfter = 2 * time.Minute

	// ForgetAfter is how long a router sees a single strike unchanged before
	// it drops it from the table.
	ForgetAfter = time.Hour
)

// Registry is what a router knows of struck requests. It is not safe for
// concurrent use.
type Registry struct {
	rows  map[Fingerprint]seenRow // As the table showed them last.
	heard *lru.Cache[Fingerprint, heardNote]

	// cleared holds the last crash after which the request ran well: sidecars
	// may tell of it for a while.
	cleared *lru.Cache[Fingerprint, string]
}

// seenRow is a row and when this router first saw it as it is.
type seenRow struct {
	version uint64
	since   time.Time
}

type heardNote struct {
	crash string
	until time.Time
}

// NewRegistry returns a registry that knows of no struck request.
func NewRegistry() *Registry {
	heard, err := lru.New[Fingerprint, heardNote](MaxKnown)
	if err != nil {
		panic(err) // Only for a size below one.
	}
	cleared, err := lru.New[Fingerprint, string](MaxKnown)
	if err != nil {
		panic(err) // Only for a size below one.
	}
	return &Registry{rows: make(map[Fingerprint]seenRow), heard: heard, cleared: cleared}
}

// Heard notes a crash that the table may not show yet.
func (r *Registry) Heard(now time.Time, f Fingerprint, crash string) {
	if r.ClearedCrash(f) == crash && crash != "" {
		return
	}
	r.heard.Add(f, heardNote{crash: crash, until: now.Add(HeardFor)})
}

// Cleared notes that the request is no longer struck.
func (r *Registry) Cleared(f Fingerprint) {
	if note, ok := r.heard.Get(f); ok {
		r.cleared.Add(f, note.crash)
	}
	r.heard.Remove(f)
	delete(r.rows, f)
}

// ClearedCrash names the last crash after which the request ran well, or is
// empty.
func (r *Registry) ClearedCrash(f Fingerprint) string {
	crash, _ := r.cleared.Get(f)
	return crash
}

// Struck reports whether the request may run only on trial, and names a crash
// that the table may not show yet.
func (r *Registry) Struck(now time.Time, f Fingerprint) (crash string, struck bool) {
	if note, ok := r.heard.Get(f); ok && now.Before(note.until) {
		return note.crash, true
	}
	_, struck = r.rows[f]
	return "", struck
}

// Observe takes the suspects that the table shows, and returns those that are
// to be dropped from it.
func (r *Registry) Observe(now time.Time, suspects []Suspect) []Suspect {
	rows := make(map[Fingerprint]seenRow, len(suspects))
	var stale []Suspect
	for _, s := range suspects {
		seen := seenRow{version: s.Version, since: now}
		if before, ok := r.rows[s.Fingerprint]; ok && before.version == s.Version {
			seen.since = before.since
		}
		rows[s.Fingerprint] = seen
		if !s.Quarantined() && now.Sub(seen.since) >= ForgetAfter {
			stale = append(stale, s)
		}
	}
	r.rows = rows
	return stale
}

// Abandoned reports whether this router has seen the suspect's trial for so
// long that the trial's router must be lost.
func (r *Registry) Abandoned(now time.Time, s Suspect) bool {
	seen, ok := r.rows[s.Fingerprint]
	return ok && seen.version == s.Version && now.Sub(seen.since) >= AbandonedAfter
}
