package amrlimit

import (
	"time"

	"github.com/zeebo/xxh3"

	"amaranthreach.example/core/amrgossip"
)

const (
	// quotaGroups is the number of groups of teams. Each has its own coordinator.
	quotaGroups = 8

	// loanLife is the time for which a coordinator may use the parts of a quota that a
	// router has lent it, and loanMargin the longest time for which the message with the
	// loan may be under way. The router does not lend its parts to another one before both
	// have passed.
	loanLife   = time.Second
	loanMargin = 250 * time.Millisecond

	// loanInterval is the time between two loans to the same coordinator, so that a single
	// lost message ends no loan. Messages that are sent anyway carry the loan after
	// minLoanInterval.
	loanInterval    = 400 * time.Millisecond
	minLoanInterval = 200 * time.Millisecond

	// aheadTime is the time for whose demand a router fetches credit in advance, and
	// aheadLife the time from the query on for which it may use that credit. The bound over all routers counts credit
	// of aheadLife, so a longer time would exceed it.
	aheadTime = 250 * time.Millisecond
	aheadLife = 400 * time.Millisecond

	// noAheadTime is the time after a refusal for which no credit is granted in advance. It
	// would wait at one router while requests at others are refused for lack of it.
	noAheadTime = time.Second

	// minAheadRate is the number of requests per second from which a router fetches credit
	// in advance. With fewer, most of it would expire unused.
	minAheadRate = 8

	// turnGrace is the time for which credit is kept for a caller that was told when to
	// come back.
	turnGrace = 400 * time.Millisecond

	// maxTurnWait is the longest time for which a refused request gets a turn of its own.
	maxTurnWait = 8 * time.Second

	// maxTurnShare is the largest share of the rate that turns get. Callers who cannot wait
	// for a turn would get nothing if others that can wait took all of the rate.
	maxTurnShare = 0.5

	// maxWait is the longest time after which a caller is told to come back.
	maxWait = 30 * time.Second

	// poolTime times the rate is the credit that a pool may hold beyond the burst. Credit
	// that is kept for turns or was granted in advance counts as held.
	poolTime = 450 * time.Millisecond

	// minPoolTime times the rate is the free credit that a pool may hold in any case, also
	// if the burst is small and all other credit is kept for turns or granted in advance.
	minPoolTime = 100 * time.Millisecond

	// urgentReserve is the share of a pool that is kept for the most urgent requests of a
	// team that has sent some within urgentTime.
	urgentReserve = 0.25
	urgentTime    = time.Second

	// maxUrgentShare is the largest share of the rate that is left to urgent requests when
	// others get turns.
	maxUrgentShare = 0.9

	// maxRefusals is the number of refusals of a team in a second from which a router
	// refuses further requests itself for refuseTime after each refusal of a coordinator.
	// It limits the messages while a team sends many times its quota.
	maxRefusals = 25
	refuseTime  = 100 * time.Millisecond

	// maxAskTries is the number of queries for one request.
	maxAskTries = 2

	// noReplyWait is the time after which a request may come back that no coordinator has
	// decided on.
	noReplyWait = 300 * time.Millisecond
)

// TeamID identifies a team in messages between routers. It is a hash of the team's name.
type TeamID uint32

// TeamIDOf returns the ID of the named team. It differs for quotas in tokens and in
// requests, so that credit of one unit never counts as the other after the unit has
// changed, also in messages that are under way.
func TeamIDOf(name string, inTokens bool) TeamID {
	if inTokens {
		name += "\x00tokens"
	}
	return TeamID(xxh3.HashString(name))
}

// group returns the group of the team.
func (t TeamID) group() int {
	return int(t) % quotaGroups
}

// QuotaRouter is a registered router, which owns an equal part of each quota.
type QuotaRouter struct {
	Host      amrgossip.HostID
	Capacity  float64 // Processing capacity of its host, relative to others; 0 counts as 1.
	Reachable bool    // The router receives messages.
}

// QuotaRequest is a request of a team.
type QuotaRequest struct {
	Team     TeamID
	Weight   float64 // What the request counts towards the quota; more than 0.
	Priority int     // 0 is the most urgent.
	Caller   uint32  // Hash of the content, by which a caller that comes back is recognized.

	// MaxWait is the longest time after which the caller comes back; 0 if it is unknown.
	MaxWait time.Duration
}

// QuotaResult is the result of a decision on a request.
type QuotaResult int

// The results.
const (
	QuotaAdmitted QuotaResult = iota
	QuotaRefused
	QuotaAsked // The decision follows with the reply to a query.
)

// QuotaDecision tells whether a request may run within the quota of its team.
type QuotaDecision struct {
	Result     QuotaResult
	RetryAfter time.Duration // With QuotaRefused: time after which the caller may come back.

	// With QuotaAsked: the query, which Receive or NoReply decides, and the time after which
	// NoReply must be called if it was not answered.
	Sequence uint32
	Timeout  time.Duration
	Query    QuotaMail

	NoReply bool // No coordinator has replied.
}

// QuotaMail is a message to another router.
type QuotaMail struct {
	To      amrgossip.HostID
	Message amrgossip.QuotaMessage
}
