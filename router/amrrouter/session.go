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
	defaultMaxAttempts = 3 // For a request whose policy does not tell.

	// minTimeLeft is the least time before the deadline to start an attempt.
	minTimeLeft = 20 * time.Millisecond
)

// session runs one request: it dispatches attempts until one has given the
// whole answer or the request is refused. An attempt is read no further than
// the caller takes the answer, so that a slow caller holds it up and not the
// memory of the router.
type session struct {
	router     *Router
	request    *request
	decision   *decision
	choice     *choice
	candidates []candidate
	tried      int
	rebinds    int           // How often the version of the weights was chosen anew.
	settling   time.Duration // Last pause for backend servers that were not ready.
	settled    time.Duration // Sum of these pauses.
	unsettled  bool          // The next attempt waits for settling first.
	once       *once         // Nil for idempotent work.
	suspicion  suspicion

	relay        *amrstream.Relay
	arrivals     chan arrival
	pumps        errgroup.Group
	live         map[uint32]*dispatch
	resumeText   string
	resumeTokens int
	expiry       clockwork.Timer // Fires at the deadline.
	hedge        clockwork.Timer // Nil unless the policy hedges.
	queue        []answerEvent
	last         *refusal // What the last attempt failed by.
	declined     bool     // The last attempt was declined.
	absent       int      // Attempts declined because the backend server was away.
	refused      *refusal
	winner       string // Backend server whose attempt gave the end.
}

// dispatch is an attempt in progress.
type dispatch struct {
	server candidate
	cancel context.CancelFunc
}

// arrival is what came from an attempt.
type arrival struct {
	attempt uint32
	reply   *amrgate.DispatchReply
	err     error
}

// answerEvent is a piece of the answer or its end.
type answerEvent struct {
	text string
	body []byte
	end  *amrgate.End
}

func (r *Router) newSession(q *request) *session {
	choice := newChoice(r.placement, q)
	ranked := choice.plan.candidates
	s := &session{
		router:     r,
		request:    q,
		decision:   r.decisions.begin(q, ranked, r.clock.Now()),
		choice:     choice,
		candidates: ranked,
		relay:      amrstream.NewRelay(),
		arrivals:   make(chan arrival),
		live:       make(map[uint32]*dispatch),
		expiry:     r.clock.NewTimer(q.deadline.Sub(r.clock.Now())),
	}
	s.suspicion.session = s
	if !q.idempotent {
		s.once = &once{session: s}
	}
	return s
}

// next returns the next piece of the answer, its end, or the refusal.
func (s *session) next(ctx context.Context) (answerEvent, *refusal) {
	if s.once != nil {
		event, refused := s.once.next(ctx)
		if refused != nil {
			return answerEvent{}, s.give(refused)
		}
		return event, nil
	}
	for {
		switch {
		case len(s.queue) > 0:
			event := s.queue[0]
			s.queue = s.queue[1:]
			return event, nil
		case s.refused != nil:
			return answerEvent{}, s.give(s.refused)
		case len(s.live) == 0:
			s.start(ctx)
		default:
			s.await(ctx)
		}
	}
}

// close cancels the attempts in progress.
func (s *session) close() {
	for attempt := range s.live {
		s.end(attempt)
	}
	s.expiry.Stop()
	if s.hedge != nil {
		s.hedge.Stop()
	}
	_ = s.pumps.Wait() // Pumps return no error.
	if s.once == nil {
		s.suspicion.over(context.Background())
	}
}

// give ends the session with a refusal.
func (s *session) give(refused *refusal) *refusal {
	s.close()
	s.decision.refused(refused, s.router.clock.Now())
	return refused
}

func (s *session) maxAttempts() int {
	if s.request.policy.MaxAttempts > 0 {
		return s.request.policy.MaxAttempts
	}
	return defaultMaxAttempts
}

// server returns the backend server of the name, if the records have it.
func (s *session) server(name string) (candidate, bool) {
	server, ok := s.request.set.BackendServer(name)
	return candidate{name: name, address: server.Address}, ok
}

// start dispatches the next attempt.
func (s *session) start(ctx context.Context) {
	left := s.request.deadline.Sub(s.router.clock.Now())
	if left <= 0 {
		s.step(amrstream.NotResumed{Reason: amrreason.DeadlineExceeded, Ran: amrreason.NotRun})
		return
	}
	if refused := s.suspicion.admit(ctx); refused != nil {
		s.last = refused
		s.step(amrstream.NotResumed{Reason: refused.reason, Ran: refused.ran})
		return
	}
	if !s.settle(ctx) {
		return
	}
	server, ok := s.choice.next()
	if !ok && s.notRun() && s.rebind() {
		server, ok = s.choice.next() // Weights may have changed since the version was chosen.
	}
	if !ok && s.mayReturn() && s.pause() {
		return // The next start settles first.
	}
	if !ok {
		if s.last == nil {
			s.last = refuse(amrreason.NoBackendServer, s.request.deployment).withRetryAfter(time.Second)
		}
		s.step(amrstream.NotResumed{Reason: s.last.reason, Ran: s.last.ran})
		return
	}
	s.tried++
	attempt := uint32(s.tried)
	ctx, cancel := context.WithTimeout(ctx, left)
	s.live[attempt] = &dispatch{server: server, cancel: cancel}
	s.step(amrstream.Started{Attempt: attempt})
	message := s.message(attempt, left)
	s.choice.fill(message)
	s.pumps.Go(func() error {
		s.pump(ctx, server, message)
		return nil
	})
	s.armHedge()
}

// pump hands over what comes from an attempt until it has ended.
func (s *session) pump(ctx context.Context, server candidate, message *amrgate.DispatchRequest) {
	stream, err := s.router.gates.client(ctx, server.address).Dispatch(ctx, message)
	for {
		a := arrival{attempt: message.GetAttempt(), err: err}
		if err == nil {
			a.reply, a.err = stream.Recv()
		}
		last := a.err != nil || isLast(a.reply)
		if last && a.err == nil {
			_, _ = stream.Recv() // Lets the stream close before it is cancelled.
		}
		select {
		case s.arrivals <- a:
		case <-ctx.Done():
			return
		}
		if last {
			return
		}
	}
}

// isLast reports whether the reply ends its attempt.
func isLast(reply *amrgate.DispatchReply) bool {
	switch reply.GetEvent().(type) {
	case *amrgate.DispatchReply_Declined, *amrgate.DispatchReply_End, *amrgate.DispatchReply_Failed:
		return true
	}
	return false
}

// await takes what comes next: a reply, the time to hedge, or the end of the
// caller.
func (s *session) await(ctx context.Context) {
	var hedge <-chan time.Time
	if s.hedge != nil {
		hedge = s.hedge.Chan()
	}
	select {
	case a := <-s.arrivals:
		s.arrived(a)
	case <-hedge:
		s.hedge = nil
		s.startHedge(ctx)
	case <-s.expiry.Chan():
		s.step(amrstream.CallerGone{})
		s.refused = refuse(amrreason.DeadlineExceeded, "").withRan(s.ran())
	case <-ctx.Done():
		s.step(amrstream.CallerGone{})
		s.refused = refuse(amrreason.Canceled, "")
	}
}

// ran says whether an answer that was cut off ran.
func (s *session) ran() amrreason.Ran {
	if s.relay.Relayed() > 0 {
		return amrreason.DidRun
	}
	return amrreason.Unknown
}

// armHedge sets the time after which a second attempt is made.
func (s *session) armHedge() {
	if after := s.request.policy.HedgeAfter; after > 0 && s.tried == 1 {
		s.hedge = s.router.clock.NewTimer(after)
	}
}

// startHedge makes a second attempt beside a first one that has given nothing
// yet, within the budget of hedges.
func (s *session) startHedge(ctx context.Context) {
	if s.relay.Relayed() > 0 || len(s.live) != 1 || s.tried >= s.maxAttempts() || !s.choice.more() || s.suspicion.isolated {
		return
	}
	if s.router.retries.spendHedge(s.router.clock.Now()) {
		s.start(ctx)
	}
}

func (s *session) message(attempt uint32, left time.Duration) *amrgate.DispatchRequest {
	q := s.request
	return &amrgate.DispatchRequest{
		RequestId:      q.id,
		Attempt:        attempt,
		Router:         s.router.settings.Name,
		Team:           q.team,
		Deployment:     q.deployment,
		WeightsVersion: q.weights,
		Revision:       q.set.Revision(),
		Priority:       int32(q.priority),
		TeamWeight:     uint32(max(q.teamSpec.Weight, 1)),
		DeadlineMs:     left.Milliseconds(),
		BlockKeys:      amrprompt.Pack(q.keys),
		PromptTokens:   uint32(amrprompt.Tokens(q.prompt)),
		MaxTokens:      uint32(q.maxTokens),
		Prompt:         q.prompt,
		ResumeText:     s.resumeText,
		ResumeTokens:   uint32(s.resumeTokens),
		ServiceCall:    q.call,
		Fingerprint:    q.fingerprint[:],
		Isolated:       s.suspicion.isolated,
		ClearedCrash:   s.router.suspects.clearedCrash(q.fingerprint),
	}
}
