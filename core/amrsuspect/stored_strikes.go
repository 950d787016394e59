package amrsuspect

import (
	"bytes"
	"cmp"
	"slices"
	"time"
)

// MinStored is the number of strikes from which the strikes of a request are stored beyond
// the process. All routers know of them from then on. Requests with one strike are mostly
// those that were running when another one crashed the server.
const MinStored = 2

// clearedMargin is the time after strikes were cleared within which stored strikes are
// taken for earlier ones, because the times of stored strikes are estimates.
const clearedMargin = time.Second

// StoredStrikes holds the strikes of a request that are stored beyond the process, oldest
// first.
type StoredStrikes struct {
	Fingerprint Fingerprint
	Strikes     []Strike
}

// Last returns the time of the last strike.
func (s StoredStrikes) Last() time.Time {
	if len(s.Strikes) == 0 {
		return time.Time{}
	}
	return s.Strikes[len(s.Strikes)-1].At
}

// Repeated returns the requests that have MinStored strikes or more now, in the order of
// their fingerprints.
func (s *Strikes) Repeated(now time.Time) []StoredStrikes {
	s.mu.Lock()
	defer s.mu.Unlock()
	var repeated []StoredStrikes
	for f := range s.repeated {
		strikes, _ := s.byFingerprint.Peek(f)
		if len(strikes) < MinStored || !unexpired(now, strikes) {
			delete(s.repeated, f)
			continue
		}
		repeated = append(repeated, StoredStrikes{Fingerprint: f, Strikes: slices.Clone(strikes)})
	}
	slices.SortFunc(repeated, func(a, b StoredStrikes) int { return bytes.Compare(a.Fingerprint[:], b.Fingerprint[:]) })
	return repeated
}

// AddStored adds stored strikes, and reports whether the number of strikes of the request
// has changed. It adds none that are older than a run that has completed or than the
// clearance of the strikes, or that came so soon after it that they do not count.
func (s *Strikes) AddStored(now time.Time, stored StoredStrikes) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	f := stored.Fingerprint
	strikes := slices.DeleteFunc(slices.Clone(stored.Strikes), func(k Strike) bool { return s.isCleared(f, k) })
	if !unexpired(now, strikes) {
		return false
	}
	known, _ := s.byFingerprint.Get(f)
	if !unexpired(now, known) {
		known = nil
	}
	return len(s.set(f, merge(known, strikes))) != len(known)
}

// isCleared reports whether the stored strike does not count. The caller must hold mu.
func (s *Strikes) isCleared(f Fingerprint, k Strike) bool {
	if success, ok := s.lastSuccess.Peek(f); ok && k.At.Sub(success) < strikeFreeTime {
		return true
	}
	until, ok := s.clearedUntil.Peek(f)
	return ok && k.At.Sub(until) < clearedMargin
}

// merge returns the strikes that are known or stored, oldest first. Each server has as many
// strikes as in the list that has more for it. If both have as many, the stored ones are
// taken: a router may know a strike only since another one has reminded it.
func merge(known, stored []Strike) []Strike {
	count := func(list []Strike, server uint64) (n int) {
		for _, k := range list {
			if k.Server == server {
				n++
			}
		}
		return n
	}
	var merged []Strike
	for _, k := range known {
		if count(known, k.Server) > count(stored, k.Server) {
			merged = append(merged, k)
		}
	}
	for _, k := range stored {
		if count(stored, k.Server) >= count(known, k.Server) {
			merged = append(merged, k)
		}
	}
	slices.SortStableFunc(merged, func(a, b Strike) int { return cmp.Or(a.At.Compare(b.At), cmp.Compare(a.Server, b.Server)) })
	return merged
}

// ClearUntil removes the strikes of a request unless the last one was later than the given
// time. Stored strikes up to that time are not added any more.
func (s *Strikes) ClearUntil(f Fingerprint, until time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if last, ok := s.clearedUntil.Peek(f); !ok || until.After(last) {
		s.clearedUntil.Add(f, until)
	}
	if strikes, ok := s.byFingerprint.Peek(f); ok && !strikes[len(strikes)-1].At.After(until) {
		s.byFingerprint.Remove(f)
	}
}
