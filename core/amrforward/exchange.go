package amrforward

import (
	"context"
	"errors"
	"net/http"
	"strconv"
	"time"

	"github.com/joomcode/errorx"

	"amaranthreach.example/core/amrhttp"
	"amaranthreach.example/core/amrpool"
	"amaranthreach.example/core/amrreason"
	"amaranthreach.example/core/amrroute"
	"amaranthreach.example/core/amrsuspect"
)

const (
	// minTimeLeft is the least time that must remain until the deadline of a
	// request for another attempt to be started.
	minTimeLeft = 20 * time.Millisecond

	// minSuspension is the least difference between the time that passed by the
	// clock that counts suspensions of the host and by the other one which is
	// taken for a suspension. Smaller ones come from reading one after the other.
	minSuspension = 50 * time.Millisecond

	// maxRejections is the largest number of rejections by backend servers
	// after which a request may still be sent to another one. After one more
	// rejection the request is refused.
	maxRejections = 3

	// maxUnreachableTime is the time after which a request is no longer sent to another
	// server if it has been spent on servers to which no connection could be established.
	// The link of this router is more likely to be at fault, and the caller may come back
	// to another router.
	maxUnreachableTime = 400 * time.Millisecond

	// pollInterval is the time between two attempts to pick a server, or to get
	// the routing table, while a request waits for it. maxWeightsWait is the
	// longest time to wait while all servers of the pool are changing their
	// weights.
	pollInterval   = 20 * time.Millisecond
	maxWeightsWait = 250 * time.Millisecond

	// maxPartsWait is the longest time for which a request waits for another
	// request that is computing shared parts of its prompt.
	maxPartsWait = 300 * time.Millisecond

	// maxReportWait is the longest time for which a request waits for servers to report their
	// load, with the answers to other requests.
	maxReportWait = 400 * time.Millisecond
)

// exchange is the state of one request while it is being served.
type exchange struct {
	f       *Forwarder
	w       http.ResponseWriter
	request *Request
	table   *amrroute.Table

	route     *amrroute.Route
	team      *amrroute.Team
	pool      string
	priority  int
	retryable bool // A request that may have run may be sent again.
	deadline  time.Time

	started     time.Time // Start of the exchange, by the clock for timers.
	startedBoot time.Time // The same, by the clock that counts suspensions of the host.

	fingerprint amrsuspect.Fingerprint
	suspects    []amrsuspect.PartKey // Parts of the prompt that may crash servers.
	trial       bool                 // The request is quarantined, and let through to see whether it crashes its server.
	crashed     bool                 // The last run has given the request so many strikes that it is quarantined.

	skipPartsWait bool     // The request no longer waits for other requests to compute shared prompt parts.
	excluded      []string // Servers that must not be picked again.
	sends         []sendRecord
	possibleRuns  int // Number of sends that may have run the request.
	credits       int // Number of runs for which credit of the team's quota was taken.
	rejections    int

	unreachableTime time.Duration // Time spent on servers to which no connection could be established.

	headerWritten bool               // The header of an answer has been written to the caller.
	lastEventID   string             // ID of the last event that the caller has received.
	choice        *amrpool.Choice    // Server of the last attempt.
	sentAt        time.Time          // Time at which the last attempt was sent.
	start         runStart           // Beginning of the run of the last attempt.
	startLimit    *startLimit        // Limits the time until that; nil if it has no limit.
	begunAt       time.Time          // Time at which the stream of the last attempt was first written to the caller; zero before that.
	software      amrpool.SoftwareID // Version of the software that began the stream; 0 while none has.
	began         *amrpool.Choice    // Server that began the stream in this answer; nil while none has.
	beganAt       time.Time          // Time at which it began.
	withdrawn     bool               // It is not certain which software began it.
	originAt      time.Time          // Time at which the origin of the stream that is taken up was found.
	firstByte     time.Time
	status        int
	writeErr      error
	refused       *refusal
	ahead         *readAhead // Body of the last answer; nil where the bytes held for the request are not counted.
	cancelAttempt func()     // Ends the last attempt.
}

// sendRecord describes a finished send for logs and metrics.
type sendRecord struct {
	choice *amrpool.Choice
	at     time.Time
	result amrpool.Result
	took   time.Duration
	detail string

	endsWithConnection bool // The end of the answer was marked only by the end of the connection.

	start runStart
}

// run sends the request to backend servers until one of them answers it or no
// further attempt is allowed. It returns nil after an answer.
func (x *exchange) run(ctx context.Context) *refusal {
	now := x.f.clock.Now()
	x.f.countRequest(now, x.pool)
	ctx, cancel := context.WithTimeout(ctx, x.deadline.Sub(now))
	defer cancel()
	if r := x.findOrigin(ctx); r != nil {
		return r
	}
	for {
		if r := x.takeCredit(ctx); r != nil {
			return r
		}
		choice, r := x.pickServer(ctx)
		if r != nil {
			return r
		}
		done, r := x.attempt(ctx, choice)
		if done {
			return r
		}
		now := x.f.clock.Now()
		if r := x.checkCrash(now); r != nil {
			return r
		}
		if r := x.checkParts(now); r != nil {
			return r
		}
	}
}

// pickServer picks a backend server from the fleet. It waits for a limited time
// in the cases that usually resolve soon: all servers are changing their
// weights, another request is computing shared parts of the prompt, or the
// router has just started and may not know its servers, or their load, yet.
func (x *exchange) pickServer(ctx context.Context) (*amrpool.Choice, *refusal) {
	start := x.f.clock.Now()
	for {
		now := x.f.clock.Now()
		choice, denial := x.f.placer.Pick(ctx, x.poolRequest(), x.timeLeft())
		if choice != nil {
			return choice, nil
		}
		reason := denial.Reason
		switch {
		case reason == amrpool.PartsPending && now.Sub(start) < maxPartsWait:
		case reason == amrpool.PartsPending:
			x.skipPartsWait = true
			continue
		case reason == amrpool.AllChanging && now.Sub(start) < maxWeightsWait:
		case denial.Short == amrpool.ShortOfReports && now.Sub(start) < maxReportWait:
		case reason == amrpool.NoServer && now.Sub(x.f.started) < x.f.warmUp:
		default:
			return nil, x.refusalForDenial(denial)
		}
		select {
		case <-ctx.Done():
			return nil, x.refusalForContext(ctx)
		case <-x.f.clock.After(pollInterval):
		}
	}
}

// refusalForDenial returns the refusal of a request for which the fleet has no
// server.
func (x *exchange) refusalForDenial(denial amrpool.Denial) *refusal {
	if denial.Short != amrpool.ShortOfNothing {
		x.f.metrics.shortages.WithLabelValues(x.pool, strconv.Itoa(x.priority), denial.Short.String()).Inc()
	}
	return x.denied(denial)
}

// denied returns the refusal for the denial. It counts nothing.
func (x *exchange) denied(denial amrpool.Denial) *refusal {
	code, retry := amrreason.NoBackendServer, noServerRetry
	if denial.Reason == amrpool.StaleWeights {
		code = amrreason.WrongWeights
	}
	if x.rejections > 0 {
		code, retry = amrreason.Overloaded, busyRetry
	}
	switch denial.Reason {
	case amrpool.Overloaded:
		code, retry = amrreason.Overloaded, overloadRetry
		if denial.Pause > 0 {
			retry = denial.Pause
		}
	case amrpool.ExceedsMemory: // Coming back does not help.
		code, retry = amrreason.ExceedsServerMemory, 0
	case amrpool.Paused:
		code, retry = amrreason.Overloaded, denial.Pause
	}
	return x.refusal(code, retry, denial.String())
}

// refusal returns a refusal that states whether the request may have run. A
// request that may have run gets no time after which to retry.
func (x *exchange) refusal(code amrreason.Code, retryAfter time.Duration, detail string) *refusal {
	if x.possibleRuns > 0 {
		return &refusal{code: code, ran: amrreason.RunUnknown, detail: detail}
	}
	return &refusal{code: code, ran: amrreason.NotRun, retryAfter: retryAfter, detail: detail}
}

// refusalForContext returns the refusal of a request that ended because it was broken
// off, ctx reached the deadline or, if neither holds, the caller disconnected.
func (x *exchange) refusalForContext(ctx context.Context) *refusal {
	if x.request.Held.Broken() {
		r := x.refusal(amrreason.Overloaded, overloadRetry, errBrokenOff.Error())
		r.message = heldMessage
		return r
	}
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return x.refusal(amrreason.DeadlineExceeded, busyRetry, "deadline exceeded")
	}
	return x.refusal(amrreason.Canceled, 0, "caller disconnected")
}

// attempt sends the request to the chosen server. It reports whether the
// request is done, and returns its refusal, which is nil after an answer.
func (x *exchange) attempt(ctx context.Context, choice *amrpool.Choice) (done bool, r *refusal) {
	start := x.f.clock.Now()
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	if !x.mayGoOnAt(ctx, choice) {
		x.excluded = append(x.excluded, choice.Name)
		x.recordSend(choice, start, amrpool.Withheld, "not confirmed")
		return x.decideRetry(true, amrreason.EngineUnavailable)
	}
	x.choice, x.cancelAttempt = choice, func() { cancel(nil) }
	x.sentAt, x.begunAt, x.start = start, time.Time{}, runStart{}
	x.limitStart(choice, cancel)
	defer x.startLimit.end()
	withheld := false
	a := x.newAttempt(choice)
	a.BeforeSend = func() (time.Duration, error) {
		x.sentAt = x.f.clock.Now()
		x.start.sentOutdated = choice.OutdatedFor(x.sentAt)
		timeLeft, err := x.checkSend(choice)
		withheld = err != nil
		return timeLeft, err
	}
	a.Observe = func(s amrpool.Signals, err error) { x.observe(choice, x.sentAt, s, err) }
	answer, err := x.f.backend.Send(ctx, a)
	switch {
	case withheld:
		x.recordSend(choice, start, amrpool.Withheld, "")
		return x.decideRetry(true, amrreason.EngineUnavailable)
	case err != nil:
		return x.handleSendError(ctx, choice, start, err)
	}
	defer func() { _ = answer.Body.Close() }() // Close never fails.
	now := x.f.clock.Now()
	if answer.Disposition != Accepted {
		x.recordSend(choice, start, answer.Disposition.result(), "")
		if answer.Disposition == WeightsMismatch && answer.WeightsVersion > 0 {
			choice.ObserveVersion(answer.WeightsVersion)
		}
		return x.handleRejection(choice)
	}
	choice.ResponseStarted(now, answer.Load)
	if answer.WeightsVersion > choice.WeightsVersion && choice.WeightsVersion > 0 {
		choice.ObserveVersion(answer.WeightsVersion)
	}
	done, r = x.relayAnswer(ctx, choice, start, answer)
	x.sends[len(x.sends)-1].endsWithConnection = answer.EndsWithConnection
	return done, r
}

// errWithheld reports that a request is not sent to the chosen server.
var errWithheld = errors.New("the server accepts no requests any more, or too little time is left")

// checkSend returns the time until the caller's deadline, or 0 if there is none.
// It returns errWithheld if the request must not be sent to the chosen server any
// more. Establishing a connection takes time, and the host may have been suspended
// since the choice.
func (x *exchange) checkSend(choice *amrpool.Choice) (timeLeft time.Duration, err error) {
	left := x.timeLeft()
	if left < minTimeLeft || x.abandoned() || !choice.Allowed(x.f.clock.Now()) {
		return 0, errWithheld
	}
	if x.request.CallerTimeout <= 0 {
		return 0, nil
	}
	return left, nil
}

// timeLeft returns the time until the deadline of the request. A time for which
// the host was suspended counts, although the clock for timers does not.
func (x *exchange) timeLeft() time.Duration {
	now := x.f.clock.Now()
	left := x.deadline.Sub(now)
	if suspended := x.f.boot.Now().Sub(x.startedBoot) - now.Sub(x.started); suspended > minSuspension {
		left -= suspended
	}
	return left
}

// abandoned reports whether the caller has left because the first event of its stream has
// not arrived. On a congested link the router notices the end of the connection only
// later.
func (x *exchange) abandoned() bool {
	limit := x.route.StartLimit
	return limit > 0 && !x.headerWritten && x.f.clock.Since(x.request.Arrived) >= limit
}

// newAttempt returns the attempt to send to the chosen server.
func (x *exchange) newAttempt(choice *amrpool.Choice) Attempt {
	a := Attempt{
		Request:        x.request,
		Server:         choice.Name,
		Address:        choice.Address,
		Priority:       x.priority,
		WeightsVersion: choice.WeightsVersion,
		CacheSalt:      choice.CacheSalt,
		FetchFrom:      choice.FetchFrom,
		SaveTo:         choice.SaveTo,
		LastEventID:    x.request.LastEventID,
		FreshConn:      !x.retryable,
	}
	if x.team != nil {
		a.Team = x.team.Name
	}
	if x.lastEventID != "" {
		a.LastEventID = x.lastEventID
	}
	return a
}

// observe records the signals of the chosen server in a response that arrived on the
// connection on which the request was sent. The error tells which of them cannot be
// read.
func (x *exchange) observe(choice *amrpool.Choice, sentAt time.Time, s amrpool.Signals, err error) {
	if err != nil {
		x.f.log.Warn("cannot read a signal of a backend server; ignoring it", "id", x.request.ID, "server", choice.Name, "err", err)
	}
	if s == (amrpool.Signals{}) || !choice.Observe(x.f.clock.Now(), sentAt, s) {
		return
	}
	x.f.log.Info("signal of a backend server", "id", x.request.ID, "server", choice.Name, "leaving", s.Leaving, "no-requests-for", s.Pause, "requests-per-second", s.Limit.PerSecond)
}

// recordSend reports the end of a send to the fleet and keeps the send for logs
// and metrics.
func (x *exchange) recordSend(choice *amrpool.Choice, start time.Time, result amrpool.Result, detail string) {
	now := x.f.clock.Now()
	choice.Done(now, result)
	x.sends = append(x.sends, sendRecord{choice: choice, at: start, result: result, took: now.Sub(start), detail: detail, start: x.start})
	if result == amrpool.Failed || result == amrpool.Canceled {
		x.possibleRuns++
	}
}

// handleSendError records a send that got no answer and decides whether the
// request is sent again.
func (x *exchange) handleSendError(ctx context.Context, choice *amrpool.Choice, start time.Time, err error) (done bool, r *refusal) {
	notSent := errorx.IsOfType(err, amrhttp.NotSent)
	if isLateStart(ctx) {
		return x.handleLateStart(choice, start, notSent)
	}
	if ctx.Err() != nil {
		x.recordSend(choice, start, amrpool.Canceled, err.Error())
		if notSent {
			x.possibleRuns--
		}
		return true, x.refusalForContext(ctx)
	}
	x.excluded = append(x.excluded, choice.Name)
	if notSent {
		x.recordSend(choice, start, amrpool.Unreachable, err.Error())
		x.unreachableTime += x.f.clock.Since(start)
		if x.unreachableTime >= maxUnreachableTime {
			return true, x.refusal(amrreason.EngineUnavailable, busyRetry, "servers cannot be reached")
		}
		return x.decideRetry(true, amrreason.EngineUnavailable)
	}
	x.recordSend(choice, start, amrpool.Failed, err.Error())
	x.updateStrikes(x.f.clock.Now(), choice.Name, amrpool.Failed)
	return x.decideRetry(false, amrreason.EngineLost)
}

// handleRejection decides whether the request is sent again after a server has
// rejected it without running it.
func (x *exchange) handleRejection(choice *amrpool.Choice) (done bool, r *refusal) {
	x.excluded = append(x.excluded, choice.Name)
	x.rejections++
	if x.rejections > maxRejections {
		return true, x.refusal(amrreason.Overloaded, busyRetry, "too many rejections")
	}
	return x.decideRetry(false, amrreason.Overloaded)
}

// decideRetry decides whether the request is sent again. If so, it returns
// false, because the request is not done. Otherwise it returns true and the
// refusal, which has the given code unless the deadline is too near. A free
// retry takes nothing from the retry budget: it follows a send that did not
// reach its server and so caused no work there.
func (x *exchange) decideRetry(free bool, code amrreason.Code) (done bool, r *refusal) {
	now := x.f.clock.Now()
	switch {
	case x.possibleRuns > 0 && !x.retryable:
		return true, x.refusal(code, 0, "may have run")
	case x.possibleRuns >= max(x.route.MaxServers, 1):
		return true, x.refusal(code, 0, "no attempts left")
	case x.timeLeft() < minTimeLeft || x.abandoned():
		return true, x.refusal(amrreason.DeadlineExceeded, busyRetry, "no time left")
	case !free && !x.f.takeRetry(now, x.pool):
		return true, x.refusal(code, busyRetry, "no retry budget left")
	}
	return false, nil
}
