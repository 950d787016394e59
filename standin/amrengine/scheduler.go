package amrengine

import (
	"cmp"
	"slices"
	"time"

	"amaranthreach.example/core/amrprompt"
)

// scheduler simulates the processing of requests: the prefill of one prompt at
// a time, in parallel with the decode of a batch. It reads no clock; the engine
// passes the time to advance. Methods must not be called concurrently.
type scheduler struct {
	settings       settings
	recorder       runRecorder
	cache          *blockCache
	waiting        []*job                // In the order in which they will start.
	upcomingBlocks map[amrprompt.Key]int // Number of jobs that will add the block at the end of their prefill.
	prefill        *job                  // The job in prefill, or nil.
	prefillEnd     time.Time             // Time at which the prefill ends; valid if prefill is not nil.
	decoding       []*job
	nextStep       time.Time // Time of the next decode step; valid if decoding is not empty.
	paused         bool      // Whether no prefill may start.
	lastSeq        uint64
}

// runRecorder records runs and cache events.
type runRecorder interface {
	runStarted(j *job, at time.Time)
	runEnded(j *job, at time.Time)
	publish(kind eventKind, k amrprompt.Key)
}

// job is a request inside the engine.
type job struct {
	id              string
	idempotencyKey  string
	weights         string
	priority        int
	seq             uint64 // Number in the order of arrival.
	keys            []amrprompt.Key
	promptTokens    int
	resumeTokens    int
	maxTokens       int
	fingerprint     uint64
	poison          bool // Whether the engine crashes at the end of the prefill.
	estimatedTokens int  // Tokens to compute in the prefill, as estimated on arrival.

	run                      int           // Index of the run in the engine's list; valid if started.
	started                  bool          // Whether the prefill has started.
	cachedTokens             int           // Prompt tokens that were in the cache.
	cachedAnywhereTokens     int           // Prompt tokens computed although an engine had them cached.
	previouslyComputedTokens int           // Prompt tokens computed although an engine had cached them at some time.
	generatedTokens          int           // Tokens of the completion so far, including those of a resumed text.
	outcome                  RunState      // Empty until the job ends.
	updated                  chan struct{} // Has a buffer of one; receives a value when the job has progressed.
}

func newScheduler(s settings, recorder runRecorder) *scheduler {
	return &scheduler{
		settings:       s,
		recorder:       recorder,
		cache:          newBlockCache(s.cacheBlocks, s.directory, recorder.publish),
		upcomingBlocks: make(map[amrprompt.Key]int),
	}
}

// submit adds the job to the waiting ones, of which those with the lowest
// priority value start first, and starts its prefill if possible.
func (s *scheduler) submit(j *job, now time.Time) {
	s.lastSeq++
	j.seq = s.lastSeq
	j.updated = make(chan struct{}, 1)
	j.generatedTokens = j.resumeTokens
	j.estimatedTokens = s.tokensToCompute(j, s.expectedPrefixBlocks(j.keys))
	for _, k := range j.keys {
		s.upcomingBlocks[k]++
	}
	at, _ := slices.BinarySearchFunc(s.waiting, j, func(a, b *job) int {
		return cmp.Or(cmp.Compare(a.priority, b.priority), cmp.Compare(a.seq, b.seq))
	})
	s.waiting = slices.Insert(s.waiting, at, j)
	s.startPrefill(now)
}

// cancel ends the job with the outcome, whether it is waiting, in prefill or in
// decode. It does nothing if the job has ended.
func (s *scheduler) cancel(j *job, outcome RunState, now time.Time) {
	if j.outcome != "" {
		return
	}
	switch {
	case !j.started:
		s.waiting = slices.DeleteFunc(s.waiting, func(w *job) bool { return w == j })
		s.removeUpcoming(j)
	case s.prefill == j:
		s.prefill = nil
		s.removeUpcoming(j)
	default:
		s.decoding = slices.DeleteFunc(s.decoding, func(d *job) bool { return d == j })
	}
	s.finish(j, outcome, now)
	s.startPrefill(now)
}

// nextDue returns the time at which the next prefill or decode step ends. It
// reports false if the scheduler is idle.
func (s *scheduler) nextDue() (time.Time, bool) {
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

// advance processes all events that are due until now, in order. It stops and
// reports true when the prefill of a poison request ends, which crashes the
// engine.
func (s *scheduler) advance(now time.Time) (crashed bool) {
	for {
		due, ok := s.nextDue()
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

// postpone delays all events by d.
func (s *scheduler) postpone(d time.Duration) {
	s.prefillEnd = s.prefillEnd.Add(d)
	s.nextStep = s.nextStep.Add(d)
}

// pause prevents waiting jobs from starting until resume is called. Running
// jobs continue.
func (s *scheduler) pause() {
	s.paused = true
}

// resume undoes pause and starts a waiting job if possible.
func (s *scheduler) resume(now time.Time) {
	s.paused = false
	s.startPrefill(now)
}

// crashAll ends all jobs as crashed and clears the cache.
func (s *scheduler) crashAll() {
	crashed := slices.Concat(s.waiting, s.decoding)
	if s.prefill != nil {
		crashed = append(crashed, s.prefill)
	}
	for _, j := range crashed {
		s.finish(j, RunCrashed, time.Time{})
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

// waitingTokens returns the estimated number of tokens that are still to be
// computed in the prefill of all jobs.
func (s *scheduler) waitingTokens(now time.Time) int {
	tokens := 0
	for _, j := range s.waiting {
		tokens += j.estimatedTokens
	}
	if left := s.prefillEnd.Sub(now); s.prefill != nil && left > 0 {
		tokens += int(left.Seconds() * s.settings.timeScale * s.settings.prefillRate)
	}
	return tokens
}

// expectedPrefixBlocks returns the number of leading keys whose blocks are
// cached or will be added by jobs that have arrived.
func (s *scheduler) expectedPrefixBlocks(keys []amrprompt.Key) int {
	for i, k := range keys {
		if s.cache.blocks[k] == nil && s.upcomingBlocks[k] == 0 {
			return i
		}
	}
	return len(keys)
}

// tokensToCompute returns the number of tokens that the prefill of the job
// computes if prefixBlocks leading blocks are cached. The last token of a
// prompt is always computed, and so are those of a resumed text.
func (s *scheduler) tokensToCompute(j *job, prefixBlocks int) int {
	return max(1, j.promptTokens-prefixBlocks*amrprompt.TokensPerBlock) + j.resumeTokens
}

// startPrefill starts the prefill of the first waiting job unless the scheduler
// is paused, another prefill is running or the batch is full.
func (s *scheduler) startPrefill(now time.Time) {
	if s.paused || s.prefill != nil || len(s.waiting) == 0 || len(s.decoding) >= s.settings.batchLimit {
		return
	}
	j := s.waiting[0]
	s.waiting = slices.Delete(s.waiting, 0, 1)
	prefixBlocks := s.cache.prefixBlocks(j.keys)
	s.cache.touch(j.keys)
	j.cachedTokens = min(prefixBlocks*amrprompt.TokensPerBlock, j.promptTokens)
	j.cachedAnywhereTokens, j.previouslyComputedTokens = s.settings.directory.overlap(j.keys[prefixBlocks:])
	j.started = true
	s.prefill = j
	s.prefillEnd = now.Add(s.settings.prefillTime(s.tokensToCompute(j, prefixBlocks)))
	s.recorder.runStarted(j, now)
}

// endPrefill ends the running prefill: it adds the blocks of the prompt to the
// cache, generates the first token and adds the job to the batch.
func (s *scheduler) endPrefill(now time.Time) {
	j := s.prefill
	s.prefill = nil
	s.removeUpcoming(j)
	s.cache.store(j.keys)
	if len(s.decoding) == 0 {
		s.nextStep = now.Add(s.settings.scaled(s.settings.decodeStep))
	}
	if !s.generateToken(j, now) {
		s.decoding = append(s.decoding, j)
	}
	s.startPrefill(now)
}

// decode runs a decode step, which generates one token for each job of the
// batch and removes those that have ended.
func (s *scheduler) decode(now time.Time) {
	s.nextStep = now.Add(s.settings.scaled(s.settings.decodeStep))
	s.decoding = slices.DeleteFunc(s.decoding, func(j *job) bool { return s.generateToken(j, now) })
	s.startPrefill(now)
}

// generateToken adds a token to the completion, unless it is paused, and
// reports whether the job has ended. It notifies the handler of the job of the
// first token, of the last one, and of every group of flushTokens tokens
// between them.
func (s *scheduler) generateToken(j *job, now time.Time) bool {
	if s.settings.pauseAt > 0 && j.generatedTokens >= s.settings.pauseAt {
		return false
	}
	if j.generatedTokens < j.maxTokens {
		j.generatedTokens++
	}
	if j.generatedTokens >= j.maxTokens {
		s.finish(j, RunFinished, now)
		return true
	}
	if n := j.generatedTokens - j.resumeTokens; n == 1 || n%s.settings.flushTokens == 0 {
		j.signal()
	}
	return false
}

// finish sets the outcome of the job and notifies its handler.
func (s *scheduler) finish(j *job, outcome RunState, now time.Time) {
	j.outcome = outcome
	if j.started {
		s.recorder.runEnded(j, now)
	}
	j.signal()
}

// removeUpcoming removes the blocks of the job from the upcoming ones.
func (s *scheduler) removeUpcoming(j *job) {
	for _, k := range j.keys {
		if s.upcomingBlocks[k]--; s.upcomingBlocks[k] <= 0 {
			delete(s.upcomingBlocks, k)
		}
	}
}

// signal notifies the handler of the job without blocking. A notification that
// has not been received yet is enough.
func (j *job) signal() {
	select {
	case j.updated <- struct{}{}:
	default:
	}
}
