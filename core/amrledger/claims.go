package amrledger

import (
	"container/list"
	"time"

	"amaranthreach.example/core/amrreason"
)

const (
	// MaxWindow is the longest time ahead that a claim's dispatch window may end.
	MaxWindow = time.Minute

	// DefaultMaxClaims is the number of claims that a sidecar remembers.
	DefaultMaxClaims = 16384

	// DefaultMaxAnswerBytes bounds the answers that a sidecar keeps.
	DefaultMaxAnswerBytes = 8 << 20
)

// Claims is the sidecar's memory of the claims that it ran or sealed. It runs
// a claim at most once. The time given to its methods is that of the sidecar's
// own clock since the sidecar's start. It is not safe for concurrent use.
type Claims struct {
	incarnation    string
	maxClaims      int
	maxAnswerBytes int

	records     map[string]*list.Element
	order       *list.List    // Of *record, the oldest first.
	forgotten   time.Duration // Latest window end among the records that were dropped.
	answerBytes int
}

// record is what is remembered of one claim.
type record struct {
	token     string
	windowEnd time.Duration
	outcome   SealOutcome
	answer    *Answer
}

// NewClaims returns an empty memory for a sidecar process.
func NewClaims(incarnation string, opts ...ClaimsOption) *Claims {
	c := &Claims{
		incarnation:    incarnation,
		maxClaims:      DefaultMaxClaims,
		maxAnswerBytes: DefaultMaxAnswerBytes,
		records:        make(map[string]*list.Element),
		order:          list.New(),
	}
	for _, opt := range opts {
		opt(c)
	}
	return c
}

// ClaimsOption configures Claims.
type ClaimsOption func(*Claims)

// WithMaxClaims sets the number of claims remembered.
func WithMaxClaims(n int) ClaimsOption {
	return func(c *Claims) { c.maxClaims = n }
}

// WithMaxAnswerBytes sets the bytes of answers kept.
func WithMaxAnswerBytes(n int) ClaimsOption {
	return func(c *Claims) { c.maxAnswerBytes = n }
}

// Claim is a claim as a dispatch or a seal names it.
type Claim struct {
	Token       string
	Fence       uint64
	Incarnation string
	WindowEnd   time.Duration
}

// SealOutcome says what became of a claim that is to be sealed.
type SealOutcome string

// The outcomes of a seal.
const (
	SealNeverRan         SealOutcome = "never-ran" // It did not run and never will.
	SealRunning          SealOutcome = "running"
	SealFinished         SealOutcome = "finished"
	SealFailed           SealOutcome = "failed"            // It may have run; there is no answer.
	SealForgotten        SealOutcome = "forgotten"         // It may have run; the sidecar dropped its memory of it.
	SealBusy             SealOutcome = "busy"              // The sidecar cannot remember one more claim now.
	SealOtherIncarnation SealOutcome = "other-incarnation" // Another process of the sidecar may have run it.
)

// Start decides whether a claim may run now, and if so remembers it as
// running. Otherwise it returns the reason; ran is NotRun when the claim never
// ran here and never will.
func (c *Claims) Start(now time.Duration, claim Claim) (ok bool, reason amrreason.Code, ran amrreason.Ran) {
	if claim.Incarnation != c.incarnation {
		return false, amrreason.WrongIncarnation, amrreason.NotRun
	}
	if r, found := c.find(claim.Token); found {
		if r.outcome == SealNeverRan {
			return false, amrreason.ClaimExpired, amrreason.NotRun
		}
		return false, amrreason.OutcomeUnknown, amrreason.Unknown
	}
	if now > claim.WindowEnd || claim.WindowEnd > now+MaxWindow {
		return false, amrreason.ClaimExpired, amrreason.NotRun
	}
	if !c.makeRoom(now) {
		return false, amrreason.Overloaded, amrreason.NotRun
	}
	c.add(&record{token: claim.Token, windowEnd: claim.WindowEnd, outcome: SealRunning})
	return true, "", ""
}

// Finish keeps the answer of a claim that ran.
func (c *Claims) Finish(token string, answer *Answer) {
	r, found := c.find(token)
	if !found {
		return
	}
	r.outcome = SealFinished
	r.answer = answer
	c.answerBytes += answer.size()
	c.dropAnswers()
}

// Fail notes that a claim which started gave no answer and may have run.
func (c *Claims) Fail(token string) {
	if r, found := c.find(token); found {
		r.outcome = SealFailed
	}
}

// Withdraw notes that a claim which started was stopped before it reached the
// backend server, and never will reach it.
func (c *Claims) Withdraw(token string) {
	if r, found := c.find(token); found {
		r.outcome = SealNeverRan
	}
}

// Seal makes sure that the claim never runs unless it has run, and returns
// what became of it. The answer may be nil for a finished claim.
func (c *Claims) Seal(now time.Duration, claim Claim) (SealOutcome, *Answer) {
	if claim.Incarnation != c.incarnation {
		return SealOtherIncarnation, nil
	}
	if r, found := c.find(claim.Token); found {
		return r.outcome, r.answer
	}
	if claim.WindowEnd <= c.forgotten {
		return SealForgotten, nil
	}
	if now <= claim.WindowEnd {
		if !c.makeRoom(now) {
			return SealBusy, nil
		}
		c.add(&record{token: claim.Token, windowEnd: claim.WindowEnd, outcome: SealNeverRan})
	}
	return SealNeverRan, nil
}

// Len returns the number of claims remembered.
func (c *Claims) Len() int {
	return c.order.Len()
}

func (c *Claims) find(token string) (*record, bool) {
	e, found := c.records[token]
	if !found {
		return nil, false
	}
	return e.Value.(*record), true
}

func (c *Claims) add(r *record) {
	c.records[r.token] = c.order.PushBack(r)
}

// makeRoom drops the oldest claim that can no longer start when the memory is
// full. It returns false when every claim remembered is running or can still
// be dispatched.
func (c *Claims) makeRoom(now time.Duration) bool {
	if c.order.Len() < c.maxClaims {
		return true
	}
	for e := c.order.Front(); e != nil; e = e.Next() {
		r := e.Value.(*record)
		if r.outcome == SealRunning || now <= r.windowEnd {
			continue
		}
		if r.outcome != SealNeverRan {
			c.forgotten = max(c.forgotten, r.windowEnd)
		}
		c.dropAnswer(r)
		c.order.Remove(e)
		delete(c.records, r.token)
		return true
	}
	return false
}

// dropAnswers drops the oldest answers beyond the bound. The outcomes stay.
func (c *Claims) dropAnswers() {
	for e := c.order.Front(); e != nil && c.answerBytes > c.maxAnswerBytes; e = e.Next() {
		c.dropAnswer(e.Value.(*record))
	}
}

func (c *Claims) dropAnswer(r *record) {
	if r.answer != nil {
		c.answerBytes -= r.answer.size()
		r.answer = nil
	}
}
