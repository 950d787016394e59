package amrsuspect

import "time"

const (
	// TrialDelay is the time after the last strike of a quarantined request from which one
	// run of it is let through. Each further one in a row comes trialFactor times later.
	TrialDelay  = 8 * time.Second
	trialFactor = 4

	// maxTrialDelay bounds that time.
	maxTrialDelay = StrikeTTL

	// trialRetryDelay is the time after which another run is let through if the last one
	// showed nothing: it did not reach a server, or servers had a common failure.
	trialRetryDelay = time.Second
)

// trial is the state of the runs of a quarantined request that are let through.
type trial struct {
	until    time.Time // Until then, the outcome of the last one is awaited, or none is let through.
	failures int       // Number of those in a row that crashed a server.
}

// BeginTrial reports whether a run of the quarantined request is let through now, and if not,
// for how long it is refused. Such runs show whether the request is rightly quarantined: as
// long as it is refused, it cannot complete. The caller must call EndTrial when the run has
// ended.
func (s *Strikes) BeginTrial(now time.Time, f Fingerprint) (left time.Duration, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	left = s.quarantineRemaining(now, f)
	if left == 0 {
		return 0, false
	}
	t, _ := s.trials.Get(f)
	strikes, _ := s.byFingerprint.Peek(f)
	due := strikes[len(strikes)-1].At.Add(t.delay())
	if t.until.After(due) {
		due = t.until
	}
	if now.Before(due) {
		return min(left, due.Sub(now)), false
	}
	t.until = now.Add(trialTime)
	s.trials.Add(f, t)
	return 0, true
}

// RetryAfter returns when a caller of the quarantined request should come back: when another
// router may have found out whether it still crashes servers.
func (s *Strikes) RetryAfter(now time.Time, f Fingerprint) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	left := s.quarantineRemaining(now, f)
	if left == 0 {
		return 0
	}
	strikes, _ := s.byFingerprint.Peek(f)
	due := strikes[len(strikes)-1].At.Add(TrialDelay).Sub(now)
	if due <= 0 {
		due = TrialDelay
	}
	return min(left, due)
}

// EndTrial records that a run that BeginTrial let through has ended, and whether it crashed its
// server. If it completed, the request is not quarantined any more.
func (s *Strikes) EndTrial(now time.Time, f Fingerprint, crashed bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.quarantineRemaining(now, f) == 0 {
		s.trials.Remove(f)
		return
	}
	t, _ := s.trials.Get(f)
	t.until = now.Add(trialRetryDelay)
	if crashed {
		t.failures++
	}
	s.trials.Add(f, t)
}

// delay returns the time from the last strike to the next run that is let through.
func (t trial) delay() time.Duration {
	d := TrialDelay
	for range t.failures {
		d = min(d*trialFactor, maxTrialDelay)
	}
	return d
}
