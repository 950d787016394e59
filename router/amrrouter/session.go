package amrrouter

import (
	"context"
	"time"

	"github.com/jonboulle/clockwork"
	"golang.org/x/sync/errgroup"

	"amaranthreach.example/core/amrgate"
	"amaranthreach.example/core/amrprompt"
	"amaranthreach.example/core/amrreason"
	"amaranthreach.example/core/amrstream"
)

const (
	// defaultMaxAttempts is the limit of attempts for a request whose routing
	// policy sets none.
	defaultMaxAttempts = 3

	// minAttemptTime is the shortest time before the deadline in which another
	// attempt is still started after one has failed.
	minAttemptTime = 20 * time.Millisecond
)

// session runs one request. It dispatches attempts until one of them has returned
// the complete response or the request is refused. Replies are read only as fast
// as the caller reads the response, so that a slow caller delays its own request
// instead of filling the memory of the router. A session is not safe for
// concurrent use.
type session struct {
	router     *Router
	request    *request
	decision   *decision
	selector   *selector
	candidates []candidate // The best first; used only by ledgerRun.
	attempts   int         // Number of attempts made; for ledgerRun also the index of the next candidate.

	weightsReselections int           // How often reselectWeights selected the version of the weights again.
	lastPause           time.Duration // Length of the last pause for backend servers that were not ready.
	totalPause          time.Duration // Sum of these pauses.
	pausePending        bool          // The next attempt must first wait for lastPause.

	ledgerRun  *ledgerRun // Nil for an idempotent request.
	crashState crashState

	relay         *amrstream.Relay
	replies       chan attemptReply
	receivers     errgroup.Group
	inProgress    map[uint32]*attempt // By attempt number.
	resumeText    string              // Text that was relayed before the next attempt resumes the response.
	resumeTokens  int                 // Tokens of resumeText.
	deadlineTimer clockwork.Timer
	hedgeTimer    clockwork.Timer // Fires when a hedge attempt is due; nil if none is planned.
	events        []responseEvent // Events that nextEvent has not returned yet.

	lastFailure         *refusal // Failure of the last attempt, or why the next one could not start.
	declined            bool     // The sidecar declined the last failed attempt or reported that it did not run.
	unavailableDeclines int      // Attempts that ran nothing because the backend server was unavailable.
	finalRefusal        *refusal // Set when the request is refused.
	answeringServer     string   // Backend server that completed the response.
}

// attempt is an attempt in progress.
type attempt struct {
	server candidate
	cancel context.CancelFunc
}

// attemptReply is a reply to an attempt, or the error that ended its stream.
type attemptReply struct {
	attempt uint32
	reply   *amrgate.DispatchReply
	err     error
}

// responseEvent is a part of the response or its end. A part has text if it is from
// a model, and a body if it is from a plain service.
type responseEvent struct {
	text string
	body []byte
	end  *amrgate.End // Nil for a part.
}

// newSession returns a session for the request. The first call of nextEvent starts
// it.
func (r *Router) newSession(q *request) *session {
	selector := newSelector(r.placement, q)
	ranked := selector.plan.candidates
	s := &session{
		router:        r,
		request:       q,
		decision:      r.decisions.begin(q, ranked, r.clock.Now()),
		selector:      selector,
		candidates:    ranked,
		relay:         amrstream.NewRelay(),
		replies:       make(chan attemptReply),
		inProgress:    make(map[uint32]*attempt),
		deadlineTimer: r.clock.NewTimer(q.deadline.Sub(r.clock.Now())),
	}
	s.crashState.session = s
	if !q.idempotent {
		s.ledgerRun = &ledgerRun{session: s}
	}
	return s
}

// nextEvent returns the next part of the response or its end. It returns a refusal,
// and ends the session, if the request is refused.
func (s *session) nextEvent(ctx context.Context) (responseEvent, *refusal) {
	if s.ledgerRun != nil {
		event, refused := s.ledgerRun.nextEvent(ctx)
		if refused != nil {
			return responseEvent{}, s.refuse(refused)
		}
		return event, nil
	}
	for {
		switch {
		case len(s.events) > 0:
			event := s.events[0]
			s.events = s.events[1:]
			return event, nil
		case s.finalRefusal != nil:
			return responseEvent{}, s.refuse(s.finalRefusal)
		case len(s.inProgress) == 0:
			s.startAttempt(ctx)
		default:
			s.awaitReply(ctx)
		}
	}
}

// close cancels the attempts in progress, stops the timers and waits for the
// goroutines of the attempts. It also calls crashState.sessionEnded, unless the
// request runs through the ledger, where the run may outlast the session and calls it
// at its own end.
func (s *session) close() {
	for number := range s.inProgress {
		s.cancelAttempt(number)
	}
	s.deadlineTimer.Stop()
	if s.hedgeTimer != nil {
		s.hedgeTimer.Stop()
	}
	_ = s.receivers.Wait() // The receivers return nil.
	if s.ledgerRun == nil {
		s.crashState.sessionEnded(context.Background())
	}
}

// refuse ends the session with the refusal and returns it.
func (s *session) refuse(refused *refusal) *refusal {
	s.close()
	s.decision.recordRefusal(refused, s.router.clock.Now())
	return refused
}

// maxAttempts returns the limit of attempts of the request.
func (s *session) maxAttempts() int {
	if s.request.policy.MaxAttempts > 0 {
		return s.request.policy.MaxAttempts
	}
	return defaultMaxAttempts
}

// server returns the backend server with the name. It returns false if there is no
// record of it.
func (s *session) server(name string) (candidate, bool) {
	server, ok := s.request.records.BackendServer(name)
	return candidate{name: name, address: server.Address}, ok
}

// startAttempt dispatches the next attempt. If none can be made, it schedules a
// pause or refuses the request.
func (s *session) startAttempt(ctx context.Context) {
	left := s.request.deadline.Sub(s.router.clock.Now())
	if left <= 0 {
		s.stepRelay(amrstream.NotResumed{Reason: amrreason.DeadlineExceeded, Ran: amrreason.NotRun})
		return
	}
	if refused := s.crashState.admit(ctx); refused != nil {
		s.lastFailure = refused
		s.stepRelay(amrstream.NotResumed{Reason: refused.reason, Ran: refused.ran})
		return
	}
	if !s.waitPause(ctx) {
		return
	}
	server, ok := s.selector.nextServer()
	if !ok && s.lastAttemptDidNotRun() && s.reselectWeights() {
		server, ok = s.selector.nextServer() // Servers may have loaded other weights since the version was selected.
	}
	if !ok && s.mayBecomeReady() && s.schedulePause() {
		return // The next call waits for the pause first.
	}
	if !ok {
		if s.lastFailure == nil {
			s.lastFailure = newRefusal(amrreason.NoBackendServer, s.request.deployment).withRetryAfter(time.Second)
		}
		s.stepRelay(amrstream.NotResumed{Reason: s.lastFailure.reason, Ran: s.lastFailure.ran})
		return
	}
	s.attempts++
	number := uint32(s.attempts)
	ctx, cancel := context.WithTimeout(ctx, left)
	s.inProgress[number] = &attempt{server: server, cancel: cancel}
	s.stepRelay(amrstream.Started{Attempt: number})
	dispatchRequest := s.dispatchRequest(number, left)
	s.selector.setDispatchOptions(dispatchRequest)
	s.receivers.Go(func() error {
		s.receiveReplies(ctx, server, dispatchRequest)
		return nil
	})
	s.startHedgeTimer()
}

// receiveReplies dispatches an attempt and sends its replies to s.replies until the
// attempt has ended.
func (s *session) receiveReplies(ctx context.Context, server candidate, message *amrgate.DispatchRequest) {
	stream, err := s.router.sidecarConns.client(ctx, server.address).Dispatch(ctx, message)
	for {
		received := attemptReply{attempt: message.GetAttempt(), err: err}
		if err == nil {
			received.reply, received.err = stream.Recv()
		}
		final := received.err != nil || isFinalReply(received.reply)
		if final && received.err == nil {
			_, _ = stream.Recv() // Receives the end of the stream, so that it closes before its context is canceled.
		}
		select {
		case s.replies <- received:
		case <-ctx.Done():
			return
		}
		if final {
			return
		}
	}
}

// isFinalReply reports whether the reply ends its attempt.
func isFinalReply(reply *amrgate.DispatchReply) bool {
	switch reply.GetEvent().(type) {
	case *amrgate.DispatchReply_Declined, *amrgate.DispatchReply_End, *amrgate.DispatchReply_Failed:
		return true
	}
	return false
}

// awaitReply waits for a reply, the time to hedge, the deadline or the cancellation
// of the request, and handles it.
func (s *session) awaitReply(ctx context.Context) {
	var hedgeDue <-chan time.Time
	if s.hedgeTimer != nil {
		hedgeDue = s.hedgeTimer.Chan()
	}
	select {
	case received := <-s.replies:
		s.handleReply(received)
	case <-hedgeDue:
		s.hedgeTimer = nil
		s.startHedgeAttempt(ctx)
	case <-s.deadlineTimer.Chan():
		s.stepRelay(amrstream.CallerGone{})
		s.finalRefusal = newRefusal(amrreason.DeadlineExceeded, "").withRan(s.cutOffRan())
	case <-ctx.Done():
		s.stepRelay(amrstream.CallerGone{})
		s.finalRefusal = newRefusal(amrreason.Canceled, "")
	}
}

// cutOffRan returns whether the request ran, given that its response was cut off.
func (s *session) cutOffRan() amrreason.Ran {
	if s.relay.Relayed() > 0 {
		return amrreason.DidRun
	}
	return amrreason.RunUnknown
}

// startHedgeTimer starts the hedge timer after the first attempt if the routing
// policy has hedging enabled.
func (s *session) startHedgeTimer() {
	if after := s.request.policy.HedgeAfter; after > 0 && s.attempts == 1 {
		s.hedgeTimer = s.router.clock.NewTimer(after)
	}
}

// startHedgeAttempt starts a second attempt concurrently with the first one, if the
// first one has returned nothing yet and the hedge budget permits it. A request
// that runs in isolation is not hedged.
func (s *session) startHedgeAttempt(ctx context.Context) {
	if s.relay.Relayed() > 0 || len(s.inProgress) != 1 || s.attempts >= s.maxAttempts() || !s.selector.hasMore() || s.crashState.isolated {
		return
	}
	if s.router.retryBudgets.trySpendHedge(s.router.clock.Now()) {
		s.startAttempt(ctx)
	}
}

// dispatchRequest returns the message that dispatches the attempt with the number
// and the time left until the deadline.
func (s *session) dispatchRequest(number uint32, left time.Duration) *amrgate.DispatchRequest {
	q := s.request
	return &amrgate.DispatchRequest{
		RequestId:      q.id,
		Attempt:        number,
		Router:         s.router.settings.Name,
		Team:           q.team,
		Deployment:     q.deployment,
		WeightsVersion: q.weights,
		Revision:       q.records.Revision(),
		Priority:       int32(q.priority),
		TeamWeight:     uint32(max(q.teamSpec.Weight, 1)),
		DeadlineMs:     left.Milliseconds(),
		BlockKeys:      amrprompt.EncodeKeys(q.blockKeys),
		PromptTokens:   uint32(amrprompt.CountTokens(q.prompt)),
		MaxTokens:      uint32(q.maxTokens),
		Prompt:         q.prompt,
		ResumeText:     s.resumeText,
		ResumeTokens:   uint32(s.resumeTokens),
		ServiceCall:    q.serviceCall,
		Fingerprint:    q.fingerprint[:],
		Isolated:       s.crashState.isolated,
		ClearedCrash:   s.router.suspectChecker.clearedCrash(q.fingerprint),
	}
}
