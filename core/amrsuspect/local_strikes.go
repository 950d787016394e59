package amrsuspect

import (
	"time"

	lru "github.com/hashicorp/golang-lru/v2"
)

const (
	// MaxLocalStrikes is the largest number of requests whose strikes a sidecar
	// remembers.
	MaxLocalStrikes = 512

	// LocalStrikeTTL is the time for which a sidecar remembers the strikes of a
	// request after the last one.
	LocalStrikeTTL = 10 * time.Minute
)

// LocalStrikes holds the strikes of the requests that were running when the
// backend server of a sidecar crashed. It is not safe for concurrent use.
type LocalStrikes struct {
	strikes *lru.Cache[Fingerprint, localStrike]
}

// localStrike is a StrikeSummary that counts until the given time.
type localStrike struct {
	strike StrikeSummary
	until  time.Time
}

// StrikeSummary summarizes the strikes of a request at one backend server.
type StrikeSummary struct {
	Fingerprint Fingerprint
	Count       int    // Number of crashes.
	Crash       string // Name of the last crash.
}

// NewLocalStrikes returns a LocalStrikes without strikes.
func NewLocalStrikes() *LocalStrikes {
	strikes, err := lru.New[Fingerprint, localStrike](MaxLocalStrikes)
	if err != nil {
		panic(err) // New fails only if the size is less than 1.
	}
	return &LocalStrikes{strikes: strikes}
}

// RecordCrash adds a strike: the backend server crashed while it was running
// the request. The name of the crash must be the same for all requests that
// were running.
func (l *LocalStrikes) RecordCrash(now time.Time, f Fingerprint, crash string) {
	previous, _ := l.Get(now, f)
	strike := StrikeSummary{Fingerprint: f, Count: previous.Count + 1, Crash: crash}
	l.strikes.Add(f, localStrike{strike: strike, until: now.Add(LocalStrikeTTL)})
}

// Clear removes the strikes of a request that has completed.
func (l *LocalStrikes) Clear(f Fingerprint) {
	l.strikes.Remove(f)
}

// Get returns the strikes of the request. It returns false if there are none or
// if they have expired.
func (l *LocalStrikes) Get(now time.Time, f Fingerprint) (StrikeSummary, bool) {
	local, ok := l.strikes.Peek(f)
	if !ok || now.After(local.until) {
		return StrikeSummary{}, false
	}
	return local.strike, true
}
