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
	strike Strike
	until  time.Time
}

// Strike is the part of a request in crashes of one backend server.
type Strike struct {
	Fingerprint Fingerprint
	Count       int
	Crash       string // Names the last crash.
}

// NewWatch returns a watch that has seen no crash.
func NewWatch() *Watch {
	struck, err := lru.New[Fingerprint, struckNote](MaxStruck)
	if err != nil {
		panic(err) // Only for a size below one.
	}
	return &Watch{struck: struck}
}

// Lost notes that the backend server was lost while it ran the request. The
// name of the crash is the same for all requests that it hit.
func (w *Watch) Lost(now time.Time, f Fingerprint, crash string) {
	before, _ := w.Struck(now, f)
	strike := Strike{Fingerprint: f, Count: before.Count + 1, Crash: crash}
	w.struck.Add(f, struckNote{strike: strike, until: now.Add(StruckFor)})
}

// Finished notes that a run of the request ended well.
func (w *Watch) Finished(f Fingerprint) {
	w.struck.Remove(f)
}

// Struck returns the strike of the request, if it has one here.
func (w *Watch) Struck(now time.Time, f Fingerprint) (Strike, bool) {
	note, ok := w.struck.Peek(f)
	if !ok || now.After(note.until) {
		return Strike{}, false
	}
	return note.strike, true
}
