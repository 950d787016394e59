package amrengine

import (
	"cmp"
	"slices"
	"time"

	"amaranthreach.example/core/amrprompt"
)

// scheduler decides what the engine computes when. It reads no clock: the
// engine calls advance with the time.
type scheduler struct {
	settings   settings
	log        runLog
	cache      *blockCache
	waiting    []*job // In order of start.
	expected   map[amrprompt.Key]int
	prefill    *job
	prefillEnd time.Time
	decoding   []*job
	nextStep   time.Time // Of decode; meaningful while decoding is not empty.
	paused     bool      // No prefill starts.
	lastOrder  uint64
}

// runLog notes runs and cache events.
type runLog interface {
	runStarted(j *job, at time.Time)
	runEnded(j *job, at time.Time)
	publish(kind eventKind, k amrprompt.Key)
}

// job is a request inside the engine.
type job struct {
	id             string
	idempotencyKey string
	weights        string
	priority       int
	order          uint64
	keys           []amrprompt.Key
	promptTokens   int
	resumeTokens   int
	maxTokens      int
	fingerprint    uint64
	poison         bool
	estimate       int // Tokens to compute, as foreseen on arrival.

	run      int           // Index into the log of runs.
	started  bool          // Prefill has started.
	cached   int           // Tokens of the prompt that were in the cache.
	held     int           // Tokens computed although some engine held them.
	repeated int           // Tokens computed although some engine had computed them before.
	emitted  int           // Tokens of the answer so far, resumed ones counted.
	outcome  Outcome       // Empty until the end.
	wake     chan struct{} // Signals progress.
}

func newScheduler(s settings, log runLog) *scheduler {
	return &scheduler{
		settings: s,
		log:      log,
		cache:    newBlockCache(s.cacheBlocks, s.directory, log.publish),
		expected: make(map[amrprompt.Key]int),
	}
}

// submit queues the job.
func (s *scheduler) submit(j *job, now time.Time) {
	s.lastOrder++
	j.order = s.lastOrder
	j.wake = make(chan struct{}, 1)
	j.emitted = j.resumeTokens
	j.estimate = s.uncached(j, s.expectedDepth(j.keys))
	for _, k := range j.keys {
		s.expected[k]++
	}
	at, _ := slices.BinarySearchFunc(s.waiting, j, func(a, b *job) int {
		return cmp.Or(cmp.Compare(a.priority, b.priority), cmp.Compare(a.order, b.order))
	})
	s.waiting = slices.Insert(s.waiting, at, j)
	s.startPrefill(now)
}

// cancel ends the job with the outcome wherever it is.
func (s *scheduler) cancel(j *job, outcome Outcome, now time.Time) {
	if j.outcome != "" {
		return
	}
	switch {
	case !j.started:
		s.waiting = slices.DeleteFunc(s.waiting, func(w *job) bool { return w == j })
		s.forget(j)
	case s.prefill == j:
		s.prefill = nil
		s.forget(j)
	default:
		s.decoding = slices.DeleteFunc(s.decoding, func(d *job) bool { return d == j })
	}
	s.finish(j, outcome, now)
	s.startPrefill(now)
}

// next returns when something happens next.
func (s *scheduler) next() (time.Time, bool) {
	switch {
	case s.prefill == nil && len(s.decoding) == 0:
		return time.Time{}, false
	case s.prefill == nil:
		return s.nextStep, true
	case len(s.decoding) == 0 || s.prefillEnd.Before(s.nextStep):
		return s.prefillEnd, true
	}
	return s.nextStep, true
}

// advance does all that is due until now. It reports whether a poisoned
// request crashed the engine.
func (s *scheduler) advance(now time.Time) (crashed bool) {
	for {
		due, ok := s.next()
		if !ok || due.After(now) {
			return false
		}
		if s.prefill == nil || due.Before(s.prefillEnd) {
			s.decode(due)
			continue
		}
		if s.prefill.poison {
			return true
		}
		s.endPrefill(due)
	}
}

// shift moves all that is due by d.
func (s *scheduler) shift(d time.Duration) {
	s.prefillEnd = s.prefillEnd.Add(d)
	s.nextStep = s.nextStep.Add(d)
}

// pause keeps prefills from starting.
func (s *scheduler) pause() {
	s.paused = true
}

// resume ends pause.
func (s *scheduler) resume(now time.Time) {
	s.paused = false
	s.startPrefill(now)
}

// abandon ends all jobs as crashed.
func (s *scheduler) abandon() {
	crashed := slices.Concat(s.waiting, s.decoding)
	if s.prefill != nil {
		crashed = append(crashed, s.prefill)
	}
	for _, j := range crashed {
		s.finish(j, OutcomeCrashed, time.Time{})
	}
	s.waiting, s.decoding, s.prefill = nil, nil, nil
	s.cache.clear()
}

// running returns the number of requests in prefill or decode.
func (s *scheduler) running() int {
	if s.prefill != nil {
		return len(s.decoding) + 1
	}
	return len(s.decoding)
}

// waitingTokens returns the prompt tokens that are still to be computed.
func (s *scheduler) waitingTokens(now time.Time) int {
	tokens := 0
	for _, j := range s.waiting {
		tokens += j.estimate
	}
	if left := s.prefillEnd.Sub(now); s.prefill != nil && left > 0 {
		tokens += int(left.Seconds() * s.settings.timeScale * s.settings.prefillRate)
	}
	return tokens
}

// expectedDepth returns how many of the keys, from the first on, are cached or
// will be by jobs that have arrived.
func (s *scheduler) expectedDepth(keys []amrprompt.Key) int {
	for i, k := range keys {
		if s.cache.blocks[k] == nil && s.expected[k] == 0 {
			return i
		}
	}
	return len(keys)
}

// uncached returns the tokens to compute when depth blocks are cached. The
// last token of a prompt is always computed.
func (s *scheduler) uncached(j *job, depth int) int {
	return max(1, j.promptTokens-depth*amrprompt.TokensPerBlock) + j.resumeTokens
}

func (s *scheduler) startPrefill(now time.Time) {
	if s.paused || s.prefill != nil || len(s.waiting) == 0 || len(s.decoding) >= s.settings.batchLimit {
		return
	}
	j := s.waiting[0]
	s.waiting = slices.Delete(s.waiting, 0, 1)
	depth := s.cache.depth(j.keys)
	s.cache.use(j.keys)
	j.cached = min(depth*amrprompt.TokensPerBlock, j.promptTokens)
	j.held, j.repeated = s.settings.directory.tokens(j.keys[depth:])
	j.started = true
	s.prefill = j
	s.prefillEnd = now.Add(s.settings.prefillTime(s.uncached(j, depth)))
	s.log.runStarted(j, now)
}

func (s *scheduler) endPrefill(now time.Time) {
	j := s.prefill
	s.prefill = nil
	s.forget(j)
	s.cache.store(j.keys)
	if len(s.decoding) == 0 {
		s.nextStep = now.Add(s.settings.scaled(s.settings.decodeStep))
	}
	if !s.emit(j, now) {
		s.decoding = append(s.decoding, j)
	}
	s.startPrefill(now)
}

// decode generates one token for each request of the batch.
func (s *scheduler) decode(now time.Time) {
	s.nextStep = now.Add(s.settings.scaled(s.settings.decodeStep))
	s.decoding = slices.DeleteFunc(s.decoding, func(j *job) bool { return s.emit(j, now) })
	s.startPrefill(now)
}

// emit adds a token to the answer and reports whether it was the last.
func (s *scheduler) emit(j *job, now time.Time) bool {
	if s.settings.pauseAt > 0 && j.emitted >= s.settings.pauseAt {
		return false
	}
	if j.emitted < j.maxTokens {
		j.emitted++
	}
	if j.emitted >= j.maxTokens {
		s.finish(j, OutcomeFinished, now)
		return true
	}
	if n := j.emitted - j.resumeTokens; n == 1 || n%s.settings.flushTokens == 0 {
		j.signal()
	}
	return false
}

func (s *scheduler) finish(j *job, outcome Outcome, now time.Time) {
	j.outcome = outcome
	if j.started {
		s.log.runEnded(j, now)
	}
	j.signal()
}

// forget removes the job from what is expected in the cache.
func (s *scheduler) forget(j *job) {
	for _, k := range j.keys {
		if s.expected[k]--; s.expected[k] <= 0 {
			delete(s.expected, k)
		}
	}
}

func (j *job) signal() {
	select {
	case j.wake <- struct{}{}:
	default:
	}
}
