package amrforward

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/joomcode/errorx"

	"amaranthreach.example/core/amrhttp"
	"amaranthreach.example/core/amrpool"
	"amaranthreach.example/core/amrreason"
	"amaranthreach.example/core/amrroute"
	"amaranthreach.example/core/amrsuspect"
)

const (
	// minTimeLeft is the shortest time with which an attempt is started.
	minTimeLeft = 20 * time.Millisecond

	// maxRejections is the number of sends of one request that may be rejected
	// before it is refused.
	maxRejections = 3

	// pollPool is the pause before a pool whose servers are all changing their
	// weights is looked at again, and pollLimit the longest time this is done.
	pollPool  = 20 * time.Millisecond
	pollLimit = 250 * time.Millisecond

	// partsLimit is the longest time for which a request waits for another one
	// that reads parts of its prompt.
	partsLimit = 300 * time.Millisecond
)

// exchange is one request with what became of it so far.
type exchange struct {
	f       *Forwarder
	w       http.ResponseWriter
	request *Request
	table   *amrroute.Table

	route      *amrroute.Route
	team       *amrroute.Team
	pool       string
	priority   int
	repeatable bool
	until      time.Time

	fingerprint amrsuspect.Fingerprint

	impatient  bool // It does not wait for other requests any more.
	excluded   []string
	sends      []send
	ran        int // Sends after which the request may have run.
	rejections int
	began      bool // The caller has the head of an answer.
	lastEvent  string
	firstByte  time.Time
	status     int
	writeErr   error
	refused    *refusal
}

// send is one attempt, for the log.
type send struct {
	choice *amrpool.Choice
	at     time.Time
	result amrpool.Result
	took   time.Duration
	detail string
}

// run sends the request until it is answered or nothing more can be done.
func (x *exchange) run(ctx context.Context) *refusal {
	now := x.f.clock.Now()
	x.f.first(now, x.pool)
	ctx, cancel := context.WithTimeout(ctx, x.until.Sub(now))
	defer cancel()
	for {
		choice, r := x.choose(ctx)
		if r != nil {
			return r
		}
		done, r := x.attempt(ctx, choice)
		if done {
			return r
		}
	}
}

// choose has a server chosen. Where all are about to finish a change of their
// weights, it waits for the first for a moment.
func (x *exchange) choose(ctx context.Context) (*amrpool.Choice, *refusal) {
	start := x.f.clock.Now()
	for {
		now := x.f.clock.Now()
		choice, denial := x.f.fleet.Pick(now, x.poolRequest())
		if choice != nil {
			return choice, nil
		}
		reason := denial.Reason
		switch {
		case reason == amrpool.PartsPending && now.Sub(start) < partsLimit:
		case reason == amrpool.PartsPending:
			x.impatient = true
			continue
		case reason == amrpool.AllChanging && now.Sub(start) < pollLimit:
		case reason == amrpool.NoServer && now.Sub(x.f.started) < x.f.warmUp:
		default:
			return nil, x.unserved(denial)
		}
		select {
		case <-ctx.Done():
			return nil, x.ended(ctx)
		case <-x.f.clock.After(pollPool):
		}
	}
}

// unserved is the refusal of a request for which there is no server.
func (x *exchange) unserved(denial amrpool.Denial) *refusal {
	code, retry := amrreason.NoBackendServer, noServerRetry
	if denial.Reason == amrpool.StaleWeights {
		code = amrreason.WrongWeights
	}
	if x.rejections > 0 {
		code, retry = amrreason.Overloaded, busyRetry
	}
	if denial.Reason == amrpool.Overloaded {
		code, retry = amrreason.Overloaded, overloadRetry
	}
	return x.refusal(code, retry, denial.String())
}

// refusal is the refusal with what is known of whether the request ran.
func (x *exchange) refusal(code amrreason.Code, retryAfter time.Duration, detail string) *refusal {
	if x.ran > 0 {
		return &refusal{code: code, ran: amrreason.Unknown, detail: detail}
	}
	return &refusal{code: code, ran: amrreason.NotRun, retryAfter: retryAfter, detail: detail}
}

// ended is the refusal of a request whose caller left or whose time is over.
func (x *exchange) ended(ctx context.Context) *refusal {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return x.refusal(amrreason.DeadlineExceeded, busyRetry, "time is over")
	}
	return x.refusal(amrreason.Canceled, 0, "caller left")
}

// attempt sends the request to the chosen server. It reports whether the
// request is done, and with which refusal; nil after an answer.
func (x *exchange) attempt(ctx context.Context, choice *amrpool.Choice) (done bool, r *refusal) {
	start := x.f.clock.Now()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	answer, err := x.f.backend.Send(ctx, x.plan(start, choice))
	if err != nil {
		return x.unanswered(ctx, choice, start, err)
	}
	defer func() { _ = answer.Body.Close() }() // Always nil.
	now := x.f.clock.Now()
	if answer.Verdict != Taken {
		x.note(choice, start, answer.Verdict.result(), "")
		if answer.Verdict == OtherWeights && answer.Version > 0 {
			choice.ObserveVersion(now, answer.Version)
		}
		return x.rejected(choice)
	}
	choice.ResponseStarted(now, answer.Load)
	if answer.Version > choice.Version && choice.Version > 0 {
		choice.ObserveVersion(now, answer.Version)
	}
	return x.relay(ctx, choice, start, answer)
}

// plan is the attempt for the chosen server.
func (x *exchange) plan(now time.Time, choice *amrpool.Choice) Attempt {
	a := Attempt{
		Request:   x.request,
		Server:    choice.Name,
		Address:   choice.Address,
		Priority:  x.priority,
		Version:   choice.Version,
		CacheText: choice.CacheText,
		FetchFrom: choice.FetchFrom,
		SaveTo:    choice.SaveTo,
		Resume:    x.request.Resume,
		Once:      !x.repeatable,
	}
	if x.request.Patience > 0 {
		a.TimeLeft = max(x.until.Sub(now), time.Millisecond)
	}
	if x.team != nil {
		a.Team = x.team.Name
	}
	if x.lastEvent != "" {
		a.Resume = x.lastEvent
	}
	return a
}

// note ends the fleet's account of a send and keeps it for the log.
func (x *exchange) note(choice *amrpool.Choice, start time.Time, result amrpool.Result, detail string) {
	now := x.f.clock.Now()
	choice.Done(now, result)
	x.sends = append(x.sends, send{choice: choice, at: start, result: result, took: now.Sub(start), detail: detail})
	if result == amrpool.Failed || result == amrpool.Canceled {
		x.ran++
	}
}

// unanswered decides what follows a send without an answer.
func (x *exchange) unanswered(ctx context.Context, choice *amrpool.Choice, start time.Time, err error) (done bool, r *refusal) {
	notSent := errorx.IsOfType(err, amrhttp.NotSent)
	if ctx.Err() != nil {
		x.note(choice, start, amrpool.Canceled, err.Error())
		if notSent {
			x.ran--
		}
		return true, x.ended(ctx)
	}
	x.excluded = append(x.excluded, choice.Name)
	if notSent {
		x.note(choice, start, amrpool.Unreachable, err.Error())
		return x.again(true, amrreason.EngineUnavailable)
	}
	x.note(choice, start, amrpool.Failed, err.Error())
	x.judge(x.f.clock.Now(), choice.Name, amrpool.Failed)
	return x.again(false, amrreason.EngineLost)
}

// rejected decides what follows a send that the server did not run.
func (x *exchange) rejected(choice *amrpool.Choice) (done bool, r *refusal) {
	x.excluded = append(x.excluded, choice.Name)
	x.rejections++
	if x.rejections > maxRejections {
		return true, x.refusal(amrreason.Overloaded, busyRetry, "rejected too often")
	}
	return x.again(false, amrreason.Overloaded)
}

// again decides whether the request is sent again. A send that did not reach
// the server costs no budget.
func (x *exchange) again(free bool, code amrreason.Code) (done bool, r *refusal) {
	now := x.f.clock.Now()
	switch {
	case x.ran > 0 && !x.repeatable:
		return true, x.refusal(code, 0, "may have run")
	case x.ran >= max(x.route.MaxServers, 1):
		return true, x.refusal(code, 0, "no attempts left")
	case x.until.Sub(now) < minTimeLeft:
		return true, x.refusal(amrreason.DeadlineExceeded, busyRetry, "no time left")
	case !free && !x.f.repeat(now, x.pool):
		return true, x.refusal(code, busyRetry, "no retry budget left")
	}
	return false, nil
}
