package amrsuspect

import (
	"time"

	lru "github.com/hashicorp/golang-lru/v2"
)

const (
	// MaxStruck is the number of struck fingerprints that a sidecar remembers.
	MaxStruck = 512

	// StruckFor is how long a sidecar remembers a strike.
	StruckFor = 10 * time.Minute
)

// Watch is a sidecar's memory of the requests that were running when its
// backend server was lost. It is not safe for concurrent use.
type Watch struct {
	struck *lru.Cache[Fingerprint, struckNote]
}

type struckNote struct {
	count int
	until time.Time
}

// NewWatch returns a watch that has seen no crash.
func NewWatch() *Watch {
	struck, err := lru.New[Fingerprint, struckNote](MaxStruck)
	if err != nil {
		panic(err) // Only for a size below one.
	}
	return &Watch{struck: struck}
}

// Lost notes that the backend server was lost while it ran the request.
func (w *Watch) Lost(now time.Time, f Fingerprint) {
	w.struck.Add(f, struckNote{count: w.Strikes(now, f) + 1, until: now.Add(StruckFor)})
}

// Finished notes that a run of the request ended well.
func (w *Watch) Finished(f Fingerprint) {
	w.struck.Remove(f)
}

// Strikes returns the number of strikes that the request has here.
func (w *Watch) Strikes(now time.Time, f Fingerprint) int {
	note, ok := w.struck.Peek(f)
	if !ok || now.After(note.until) {
		return 0
	}
	return note.count
}

// Latest returns at most n fingerprints, those struck last first.
func (w *Watch) Latest(now time.Time, n int) []Fingerprint {
	var latest []Fingerprint
	keys := w.struck.Keys()
	for i := len(keys) - 1; i >= 0 && len(latest) < n; i-- {
		if w.Strikes(now, keys[i]) > 0 {
			latest = append(latest, keys[i])
		}
	}
	return latest
}
