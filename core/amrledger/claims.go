package amrledger

import (
	"container/list"
	"time"

	"amaranthreach.example/core/amrreason"
)

const (
	// MaxWindow is the longest time from now until the end of a claim's
	// dispatch window that a sidecar accepts.
	MaxWindow = time.Minute

	// DefaultMaxClaims is the default number of claims that Claims remembers.
	DefaultMaxClaims = 16384

	// DefaultMaxAnswerBytes is the default limit on the total size of the
	// answers that Claims keeps.
	DefaultMaxAnswerBytes = 8 << 20
)

// Claims records the claims that a sidecar process has started or sealed, so
// that each claim runs at most once. The times passed to its methods are
// durations since the start of the sidecar, by the sidecar's own clock. Claims
// is not safe for concurrent use.
type Claims struct {
	incarnation    string
	maxClaims      int
	maxAnswerBytes int

	records          map[string]*list.Element // By token.
	byAge            *list.List               // Of *claimRecord, oldest first.
	latestEvictedEnd time.Duration            // Latest window end of an evicted claim that may have run.
	answerBytes      int                      // Total size of the answers kept.
}

type claimRecord struct {
	token     string
	windowEnd time.Duration
	outcome   SealOutcome
	answer    *Answer
}

// NewClaims returns an empty Claims for the sidecar process with the given
// incarnation.
func NewClaims(incarnation string, opts ...ClaimsOption) *Claims {
	c := &Claims{
		incarnation:    incarnation,
		maxClaims:      DefaultMaxClaims,
		maxAnswerBytes: DefaultMaxAnswerBytes,
		records:        make(map[string]*list.Element),
		byAge:          list.New(),
	}
	for _, opt := range opts {
		opt(c)
	}
	return c
}

// ClaimsOption configures Claims.
type ClaimsOption func(*Claims)

// WithMaxClaims sets the number of claims that are remembered.
func WithMaxClaims(n int) ClaimsOption {
	return func(c *Claims) { c.maxClaims = n }
}

// WithMaxAnswerBytes sets the limit on the total size of the answers that are
// kept.
func WithMaxAnswerBytes(n int) ClaimsOption {
	return func(c *Claims) { c.maxAnswerBytes = n }
}

// Claim identifies a claim in a dispatch or seal request to a sidecar.
type Claim struct {
	Token       string
	Fence       uint64
	Incarnation string
	WindowEnd   time.Duration // Time since the start of the sidecar process after which the claim must not start.
}

// SealOutcome is the state of a claim as a sidecar reports it when asked to
// seal the claim.
type SealOutcome string

// The outcomes of a seal request.
const (
	SealNeverRan         SealOutcome = "never-ran" // It has not run and never will.
	SealRunning          SealOutcome = "running"
	SealFinished         SealOutcome = "finished"
	SealFailed           SealOutcome = "failed"            // It may have run and gave no answer.
	SealForgotten        SealOutcome = "forgotten"         // It may have run; the sidecar has evicted its record.
	SealBusy             SealOutcome = "busy"              // It was not sealed because the sidecar cannot record another claim now.
	SealOtherIncarnation SealOutcome = "other-incarnation" // It names another process of the sidecar, which may have run it.
)

// Start reports whether the claim may run now, and if so records it as
// running. Otherwise it returns the reason, and ran is NotRun if the claim has
// not run in this process and never will. This relies on each claim being
// dispatched at most once.
func (c *Claims) Start(now time.Duration, claim Claim) (ok bool, reason amrreason.Code, ran amrreason.Ran) {
	if claim.Incarnation != c.incarnation {
		return false, amrreason.WrongIncarnation, amrreason.NotRun
	}
	if r, found := c.lookup(claim.Token); found {
		if r.outcome == SealNeverRan {
			return false, amrreason.ClaimExpired, amrreason.NotRun
		}
		return false, amrreason.OutcomeUnknown, amrreason.RunUnknown
	}
	if now > claim.WindowEnd || claim.WindowEnd > now+MaxWindow {
		return false, amrreason.ClaimExpired, amrreason.NotRun
	}
	if !c.makeRoom(now) {
		return false, amrreason.Overloaded, amrreason.NotRun
	}
	c.add(&claimRecord{token: claim.Token, windowEnd: claim.WindowEnd, outcome: SealRunning})
	return true, "", ""
}

// Finish records the answer of a claim that ran.
func (c *Claims) Finish(token string, answer *Answer) {
	r, found := c.lookup(token)
	if !found {
		return
	}
	r.outcome = SealFinished
	r.answer = answer
	c.answerBytes += answer.size()
	c.evictAnswers()
}

// Fail records that a started claim gave no answer and may have run.
func (c *Claims) Fail(token string) {
	if r, found := c.lookup(token); found {
		r.outcome = SealFailed
	}
}

// Withdraw records that a started claim was stopped before it reached the
// backend server and will not reach it.
func (c *Claims) Withdraw(token string) {
	if r, found := c.lookup(token); found {
		r.outcome = SealNeverRan
	}
}

// Seal prevents the claim from starting if it has not started yet, and returns
// its outcome. If the outcome is SealFinished, Seal also returns the answer, or
// nil if the answer has been evicted.
func (c *Claims) Seal(now time.Duration, claim Claim) (SealOutcome, *Answer) {
	if claim.Incarnation != c.incarnation {
		return SealOtherIncarnation, nil
	}
	if r, found := c.lookup(claim.Token); found {
		return r.outcome, r.answer
	}
	if claim.WindowEnd <= c.latestEvictedEnd {
		return SealForgotten, nil
	}
	if now <= claim.WindowEnd {
		if !c.makeRoom(now) {
			return SealBusy, nil
		}
		c.add(&claimRecord{token: claim.Token, windowEnd: claim.WindowEnd, outcome: SealNeverRan})
	}
	return SealNeverRan, nil
}

// Len returns the number of claims that are remembered.
func (c *Claims) Len() int {
	return c.byAge.Len()
}

func (c *Claims) lookup(token string) (*claimRecord, bool) {
	e, found := c.records[token]
	if !found {
		return nil, false
	}
	return e.Value.(*claimRecord), true
}

func (c *Claims) add(r *claimRecord) {
	c.records[r.token] = c.byAge.PushBack(r)
}

// makeRoom ensures that one more claim can be recorded. If the maximum number
// is reached, it evicts the oldest claim that is not running and whose window
// has ended. It returns false if there is no such claim.
func (c *Claims) makeRoom(now time.Duration) bool {
	if c.byAge.Len() < c.maxClaims {
		return true
	}
	for e := c.byAge.Front(); e != nil; e = e.Next() {
		r := e.Value.(*claimRecord)
		if r.outcome == SealRunning || now <= r.windowEnd {
			continue
		}
		if r.outcome != SealNeverRan {
			c.latestEvictedEnd = max(c.latestEvictedEnd, r.windowEnd)
		}
		c.evictAnswer(r)
		c.byAge.Remove(e)
		delete(c.records, r.token)
		return true
	}
	return false
}

// evictAnswers evicts the oldest answers until their total size is within the
// limit. The outcomes of their claims stay recorded.
func (c *Claims) evictAnswers() {
	for e := c.byAge.Front(); e != nil && c.answerBytes > c.maxAnswerBytes; e = e.Next() {
		c.evictAnswer(e.Value.(*claimRecord))
	}
}

func (c *Claims) evictAnswer(r *claimRecord) {
	if r.answer != nil {
		c.answerBytes -= r.answer.size()
		r.answer = nil
	}
}
