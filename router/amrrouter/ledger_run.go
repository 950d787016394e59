package amrrouter

import (
	"context"
	"errors"
	"net"
	"time"

	"amaranthreach.example/core/amrgate"
	"amaranthreach.example/core/amrledger"
	"amaranthreach.example/core/amrreason"
	"amaranthreach.example/core/amrretry"
	"amaranthreach.example/core/amrstream"
)

const (
	stateRequestTimeout = 500 * time.Millisecond // Of a request for the state of a sidecar.
	sealTimeout         = time.Second            // Of a request to seal a claim.
)

// ledgerRun runs the non-idempotent request of a session through the ledger, which
// ensures that the request runs at most once. It is the amrledger.Backend through
// which the ledger selects a backend server, dispatches a claim and seals one.
type ledgerRun struct {
	session *session
	result  chan amrledger.Action
	events  []responseEvent // Events of the answer that nextEvent has not returned yet.
}

// nextEvent returns the answer as a single event, then an event with its end. It
// starts the run on the first call. The run continues after the caller has
// disconnected, so that a later request with the same idempotency key gets the
// answer.
func (l *ledgerRun) nextEvent(ctx context.Context) (responseEvent, *refusal) {
	if l.result == nil {
		l.start(ctx)
	}
	if len(l.events) == 0 {
		select {
		case action := <-l.result:
			if refused := l.handleResult(action); refused != nil {
				return responseEvent{}, refused
			}
		case <-ctx.Done():
			return responseEvent{}, newRefusal(amrreason.Canceled, "")
		}
	}
	event := l.events[0]
	l.events = l.events[1:]
	return event, nil
}

// start starts the run in the background, or refuses the request if the router is
// stopping.
func (l *ledgerRun) start(ctx context.Context) {
	q := l.session.request
	call := amrledger.Call{
		Team:      q.team,
		Key:       q.idempotencyKey,
		RequestID: q.id,
		Digest:    q.digest(),
		Deadline:  q.deadline,
	}
	l.result = make(chan amrledger.Action, 1)
	ctx = context.WithoutCancel(ctx)
	started := l.session.router.backgroundTasks.start(func() error {
		l.result <- l.session.router.ledger.Run(ctx, call, l)
		l.session.crashState.sessionEnded(ctx)
		return nil
	})
	if !started {
		l.result <- amrledger.Refused{Reason: amrreason.Draining, Ran: amrreason.NotRun}
	}
}

// handleResult stores the events of the ledger's answer, or returns the refusal.
func (l *ledgerRun) handleResult(action amrledger.Action) *refusal {
	switch end := action.(type) {
	case amrledger.Answered:
		l.events = newAnswerEvents(end.Answer)
		l.session.decision.recordCompletion(answerSource(end), l.events[1].end, l.session.router.clock.Now())
		return nil
	case amrledger.Refused:
		return newRefusal(end.Reason, end.Detail).withRan(end.Ran).withRetryAfter(end.RetryAfter)
	default:
		return newRefusal(amrreason.Internal, "")
	}
}

// answerSource returns the name that the decision shows in place of a backend
// server: "ledger" for the stored answer of an earlier request, and "claim" for
// an answer that this request's claim produced.
func answerSource(end amrledger.Answered) string {
	if end.Replayed {
		return "ledger"
	}
	return "claim"
}

// newAnswerEvents returns the two events of an answer: one with the complete text
// or body and one with the end of the response. The answer counts as a single chunk.
func newAnswerEvents(answer *amrledger.Answer) []responseEvent {
	sequencer := amrstream.NewSequencer(1)
	if answer.Text != "" {
		sequencer.Text(answer.Text, answer.CompletionTokens)
	} else {
		sequencer.Body(answer.Body)
	}
	end := sequencer.End(amrstream.Usage{})
	return []responseEvent{
		{text: answer.Text, body: answer.Body},
		{end: &amrgate.End{
			Chunks:           end.Chunks,
			Digest:           end.Digest,
			FinishReason:     answer.FinishReason,
			PromptTokens:     uint32(answer.PromptTokens),
			CachedTokens:     uint32(answer.CachedTokens),
			CompletionTokens: uint32(answer.CompletionTokens),
			Status:           int32(answer.Status),
			ContentType:      answer.ContentType,
		}},
	}
}

// Place implements amrledger.Backend. It returns the next candidate that is not
// draining and whose sidecar incarnation is known, because a claim names the only
// incarnation that may run it.
func (l *ledgerRun) Place(ctx context.Context) amrledger.Event {
	s := l.session
	if refused := s.crashState.admit(ctx); refused != nil {
		return amrledger.NotPlaced{Reason: refused.reason, RetryAfter: refused.retryAfter}
	}
	for s.attempts < len(s.candidates) && s.attempts < s.maxAttempts() {
		server := s.candidates[s.attempts]
		s.attempts++
		state, ok := l.lookupSidecar(ctx, server)
		if !ok {
			s.router.membership.recordFailure(server.name, true)
			s.recordFailedAttempt(server, amrreason.EngineUnavailable)
			continue
		}
		if state.draining {
			s.recordFailedAttempt(server, amrreason.Draining)
			s.router.sidecarStates.forget(server.name)
			continue
		}
		return amrledger.Placed{Placement: amrledger.Placement{
			Server:      server.name,
			Incarnation: state.incarnation,
			WindowEnd:   state.claimWindowEnd(s.router.clock.Now()),
		}}
	}
	if s.lastFailure != nil && s.lastFailure.reason == amrreason.WrongWeights && s.reselectWeights() {
		s.candidates, s.attempts = s.selector.rerank(), 0
		return l.Place(ctx)
	}
	return amrledger.NotPlaced{Reason: amrreason.NoBackendServer, RetryAfter: time.Second}
}

// lookupSidecar returns the last known state of the server's sidecar. If no state
// is known, it requests the state, and returns false if the sidecar does not
// answer.
func (l *ledgerRun) lookupSidecar(ctx context.Context, server candidate) (sidecarState, bool) {
	r := l.session.router
	if state, ok := r.sidecarStates.get(server.name); ok {
		return state, true
	}
	ctx, cancel := context.WithTimeout(ctx, stateRequestTimeout)
	defer cancel()
	reply, err := r.sidecarConns.client(ctx, server.address).Report(ctx, &amrgate.ReportRequest{Revision: l.session.request.records.Revision()})
	if err != nil {
		return sidecarState{}, false
	}
	r.sidecarStates.update(server.name, reply.GetLoad(), r.clock.Now())
	return r.sidecarStates.get(server.name)
}

// Dispatch implements amrledger.Backend. It runs the claim at the backend server
// that it names.
func (l *ledgerRun) Dispatch(ctx context.Context, claim amrledger.Row) amrledger.Event {
	s := l.session
	server, ok := s.server(claim.Server)
	left := s.request.deadline.Sub(s.router.clock.Now())
	if !ok || left <= 0 {
		return amrledger.NotRun{Reason: amrreason.DeadlineExceeded}
	}
	ctx, cancel := context.WithTimeout(ctx, left)
	defer cancel()
	dispatchRequest := s.dispatchRequest(uint32(s.attempts), left)
	dispatchRequest.Claim = &amrgate.Claim{
		Key:                s.request.idempotencyKey,
		Token:              []byte(claim.Token),
		Fence:              claim.Fence,
		SidecarIncarnation: claim.Incarnation,
		WindowEndMs:        claim.WindowEnd.Milliseconds(),
	}
	stream, err := s.router.sidecarConns.client(ctx, server.address).Dispatch(ctx, dispatchRequest)
	if err != nil {
		s.router.sidecarStates.forget(server.name)
		s.router.membership.recordFailure(server.name, isDialError(err))
		s.recordFailedAttempt(server, amrreason.EngineUnavailable)
		if isDialError(err) {
			return amrledger.NotRun{Reason: amrreason.EngineUnavailable, RetryElsewhere: true}
		}
		return amrledger.ConnectionLost{}
	}
	return l.receiveReplies(server, dispatchRequest.GetAttempt(), stream)
}

// receiveReplies reads the replies to a dispatched claim until its end and returns
// the outcome.
func (l *ledgerRun) receiveReplies(server candidate, attempt uint32, stream amrgate.DRPCGate_DispatchClient) amrledger.Event {
	s := l.session
	relay := amrstream.NewRelay(amrstream.WithoutResume())
	relay.Step(amrstream.Started{Attempt: attempt})
	var answer amrledger.Answer
	for {
		reply, err := stream.Recv()
		if err != nil {
			s.router.sidecarStates.forget(server.name)
			s.recordFailedAttempt(server, amrreason.EngineLost)
			return amrledger.ConnectionLost{}
		}
		s.router.applyLoad(server.name, reply.GetLoad())
		switch event := reply.GetEvent().(type) {
		case *amrgate.DispatchReply_Accepted:
			s.decision.attemptAccepted(server.name, event.Accepted)
		case *amrgate.DispatchReply_Declined:
			reason := amrreason.Code(event.Declined.GetReason())
			s.recordFailedAttempt(server, reason)
			s.lastFailure = newRefusal(reason, server.name)
			if reason == amrreason.WrongIncarnation {
				s.attempts-- // The load in this reply names the present incarnation, so the server can be tried again.
			}
			return amrledger.NotRun{
				Reason:         reason,
				RetryAfter:     time.Duration(event.Declined.GetRetryAfterMs()) * time.Millisecond,
				RetryElsewhere: amrretry.Retryable(reason),
			}
		case *amrgate.DispatchReply_Failed:
			reason := amrreason.Code(event.Failed.GetReason())
			s.recordFailedAttempt(server, reason)
			s.crashState.recordFailure(context.Background(), event.Failed, reply.GetLoad())
			if amrreason.Ran(event.Failed.GetRan()) == amrreason.NotRun {
				return amrledger.NotRun{Reason: reason, RetryElsewhere: amrretry.Retryable(reason)}
			}
			return amrledger.Interrupted{Reason: reason}
		case *amrgate.DispatchReply_Chunk:
			relay.Step(amrstream.Arrived{Chunk: newStreamChunk(event.Chunk)})
			answer.Text += event.Chunk.GetText()
			answer.Body = append(answer.Body, event.Chunk.GetBody()...)
		case *amrgate.DispatchReply_End:
			if !hasComplete(relay.Step(amrstream.Finished{End: newStreamEnd(event.End)})) {
				return amrledger.ConnectionLost{} // Chunks were lost, but the sidecar holds the complete answer.
			}
			copyEndFields(&answer, event.End)
			s.crashState.recordCompletion(context.Background())
			return amrledger.Completed{Answer: &answer}
		}
	}
}

// Seal implements amrledger.Backend. It asks the sidecar that the claim names to
// seal the claim and returns the outcome. A claim that has not started when it is
// sealed never starts.
func (l *ledgerRun) Seal(ctx context.Context, claim amrledger.Row) amrledger.Event {
	s := l.session
	server, ok := s.server(claim.Server)
	if !ok {
		return amrledger.SealUnanswered{}
	}
	ctx, cancel := context.WithTimeout(ctx, sealTimeout)
	defer cancel()
	reply, err := s.router.sidecarConns.client(ctx, server.address).Seal(ctx, &amrgate.SealRequest{
		Key:                s.request.idempotencyKey,
		Token:              []byte(claim.Token),
		Fence:              claim.Fence,
		SidecarIncarnation: claim.Incarnation,
		WindowEndMs:        claim.WindowEnd.Milliseconds(),
	})
	if err != nil {
		return amrledger.SealUnanswered{}
	}
	sealed := amrledger.SealAnswered{Outcome: amrledger.SealOutcome(reply.GetOutcome())}
	if a := reply.GetAnswer(); a != nil {
		sealed.Answer = &amrledger.Answer{Text: a.GetText(), Body: a.GetBody()}
		copyEndFields(sealed.Answer, a.GetEnd())
	}
	return sealed
}

// copyEndFields sets the fields of the answer that the end message holds.
func copyEndFields(answer *amrledger.Answer, end *amrgate.End) {
	answer.Status = int(end.GetStatus())
	answer.ContentType = end.GetContentType()
	answer.FinishReason = end.GetFinishReason()
	answer.PromptTokens = int(end.GetPromptTokens())
	answer.CachedTokens = int(end.GetCachedTokens())
	answer.CompletionTokens = int(end.GetCompletionTokens())
}

// hasComplete reports whether the actions contain an amrstream.Complete.
func hasComplete(actions []amrstream.Action) bool {
	for _, action := range actions {
		if _, ok := action.(amrstream.Complete); ok {
			return true
		}
	}
	return false
}

// newStreamChunk converts a chunk of a dispatch reply.
func newStreamChunk(c *amrgate.Chunk) amrstream.Chunk {
	return amrstream.Chunk{
		Attempt: c.GetAttempt(), Seq: c.GetSeq(), Text: c.GetText(), Body: c.GetBody(), Tokens: int(c.GetTokens()),
	}
}

// newStreamEnd converts the end of a dispatch reply, without its usage.
func newStreamEnd(e *amrgate.End) amrstream.End {
	return amrstream.End{Attempt: e.GetAttempt(), Chunks: e.GetChunks(), Digest: e.GetDigest()}
}

// isDialError reports whether the connection could not be established, so that no
// request was sent.
func isDialError(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}
