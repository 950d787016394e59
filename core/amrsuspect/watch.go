package amrsuspect

import (
	"time"

	lru "github.com/hashicorp/golang-lru/v2"
)

const (
	// MaxWatched is the largest number of requests whose strikes a sidecar
	// remembers.
	MaxWatched = 512

	// WatchTTL is the time for which a sidecar remembers the strikes of a request.
	WatchTTL = 10 * time.Minute
)

// Watch holds the strikes of the requests that were running when the backend server
// of a sidecar crashed. It is not safe for concurrent use.
type Watch struct {
	strikes *lru.Cache[Fingerprint, watchedStrike]
}

// watchedStrike is a Strike that counts until the given time.
type watchedStrike struct {
	strike Strike
	until  time.Time
}

// Strike summarizes the strikes of a request at one backend server.
type Strike struct {
	Fingerprint Fingerprint
	Count       int    // Number of crashes.
	Crash       string // Name of the last crash.
}

// NewWatch returns a Watch without strikes.
func NewWatch() *Watch {
	strikes, err := lru.New[Fingerprint, watchedStrike](MaxWatched)
	if err != nil {
		panic(err) // New fails only if the size is less than 1.
	}
	return &Watch{strikes: strikes}
}

// Lost adds a strike: the backend server crashed while it was running the request.
// The name of the crash must be the same for all requests that were running.
func (w *Watch) Lost(now time.Time, f Fingerprint, crash string) {
	previous, _ := w.Struck(now, f)
	strike := Strike{Fingerprint: f, Count: previous.Count + 1, Crash: crash}
	w.strikes.Add(f, watchedStrike{strike: strike, until: now.Add(WatchTTL)})
}

// Finished removes the strikes of a request that has completed.
func (w *Watch) Finished(f Fingerprint) {
	w.strikes.Remove(f)
}

// Struck returns the strikes of the request. It returns false if there are none.
func (w *Watch) Struck(now time.Time, f Fingerprint) (Strike, bool) {
	watched, ok := w.strikes.Peek(f)
	if !ok || now.After(watched.until) {
		return Strike{}, false
	}
	return watched.strike, true
}
