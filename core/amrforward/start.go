package amrforward

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"amaranthreach.example/core/amrpool"
	"amaranthreach.example/core/amrreason"
	"amaranthreach.example/core/amrroute"
)

// startCheckInterval is the longest time between two looks at whether a request may still begin:
// a router that has just started may learn that weights were declared earlier than it knew.
const startCheckInterval = 500 * time.Millisecond

// errLateStart reports that a request was taken back from its server because it had not begun
// when the weights there became too old.
var errLateStart = errors.New("not begun in time, and the weights of the server are replaced")

// runStart is the beginning of a run as far as the answer tells it: the first bytes of a stream
// are those of its first token.
type runStart struct {
	sentOutdated time.Duration // Age of newer weights than those of the server when the request was sent; 0 if there were none.
	after        time.Duration // Time from then until the run began; 0 if it did not.
	outdated     time.Duration // Age of newer weights at that time.
}

// startLimit takes a request back from its server if it has not begun when the weights of the
// server become too old.
type startLimit struct {
	clock    clockwork.Clock
	choice   *amrpool.Choice
	takeBack context.CancelCauseFunc

	mu    sync.Mutex
	timer clockwork.Timer
	ended bool
}

// limitStart begins to limit the time until the request that is about to be sent begins. Only
// the answers of streams tell when that is.
func (x *exchange) limitStart(choice *amrpool.Choice, takeBack context.CancelCauseFunc) {
	x.startLimit = nil
	if x.route.Kind != amrroute.Stream || x.request.Model == "" {
		return
	}
	x.startLimit = &startLimit{clock: x.f.clock, choice: choice, takeBack: takeBack}
	x.startLimit.check()
}

// check takes the request back if it is too late for it to begin, and otherwise looks again
// when that may be so. Newer weights may be declared, and the server may load them, meanwhile.
func (l *startLimit) check() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.ended {
		return
	}
	left := l.choice.StartTimeLeft(l.clock.Now())
	if left <= 0 {
		l.ended = true
		l.takeBack(errLateStart)
		return
	}
	l.timer = l.clock.AfterFunc(min(left, startCheckInterval), l.check)
}

// end ends the limit, because the request has begun or ended.
func (l *startLimit) end() {
	if l == nil {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.ended = true
	if l.timer != nil {
		l.timer.Stop()
	}
}

// recordStart records that the first bytes of a stream have arrived.
func (x *exchange) recordStart() {
	if x.start.after != 0 {
		return
	}
	now := x.f.clock.Now()
	x.startLimit.end()
	x.start.after, x.start.outdated = max(now.Sub(x.sentAt), 1), x.choice.OutdatedFor(now)
	if x.start.outdated > 0 {
		x.f.metrics.startOutdated.Observe(x.start.outdated.Seconds())
	}
}

// isLateStart reports whether the attempt with the context was taken back by its startLimit.
func isLateStart(ctx context.Context) bool {
	return errors.Is(context.Cause(ctx), errLateStart)
}

// handleLateStart decides whether the request is sent again after it was taken back. If it had
// been sent, the server may have begun with it at the same moment.
func (x *exchange) handleLateStart(choice *amrpool.Choice, start time.Time, notSent bool) (done bool, r *refusal) {
	x.excluded = append(x.excluded, choice.Name)
	result := amrpool.Canceled
	if notSent {
		result = amrpool.Withheld
	}
	x.recordSend(choice, start, result, errLateStart.Error())
	return x.decideRetry(notSent, amrreason.WrongWeights)
}
