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
	reportTimeout = 500 * time.Millisecond
	sealTimeout   = time.Second
)

// once runs the non-idempotent request of a session through the ledger, which
// calls it to place, dispatch and seal claims.
type once struct {
	session *session
	result  chan amrledger.Action
	events  []answerEvent // What is left of the answer.
}

// next returns the answer as one piece and its end. The run goes on when the
// caller is gone, so that a later request with the key finds its answer.
func (o *once) next(ctx context.Context) (answerEvent, *refusal) {
	if o.result == nil {
		o.start(ctx)
	}
	if len(o.events) == 0 {
		select {
		case action := <-o.result:
			if refused := o.take(action); refused != nil {
				return answerEvent{}, refused
			}
		case <-ctx.Done():
			return answerEvent{}, refuse(amrreason.Canceled, "")
		}
	}
	event := o.events[0]
	o.events = o.events[1:]
	return event, nil
}

func (o *once) start(ctx context.Context) {
	q := o.session.request
	call := amrledger.Call{
		Team:      q.team,
		Key:       q.idempotencyKey,
		RequestID: q.id,
		Digest:    q.digest(),
		Deadline:  q.deadline,
	}
	o.result = make(chan amrledger.Action, 1)
	ctx = context.WithoutCancel(ctx)
	started := o.session.router.runs.start(func() error {
		o.result <- o.session.router.ledger.Run(ctx, call, o)
		o.session.suspicion.over(ctx)
		return nil
	})
	if !started {
		o.result <- amrledger.Refused{Reason: amrreason.Draining, Ran: amrreason.NotRun}
	}
}

// take turns the ledger's answer into events.
func (o *once) take(action amrledger.Action) *refusal {
	switch end := action.(type) {
	case amrledger.Answered:
		o.events = eventsOf(end.Answer)
		o.session.decision.finished(replayNote(end), o.events[1].end, o.session.router.clock.Now())
		return nil
	case amrledger.Refused:
		return refuse(end.Reason, end.Detail).withRan(end.Ran).withRetryAfter(end.RetryAfter)
	default:
		return refuse(amrreason.Internal, "")
	}
}

func replayNote(end amrledger.Answered) string {
	if end.Replayed {
		return "ledger"
	}
	return "claim"
}

// eventsOf returns an answer as one numbered piece and its end.
func eventsOf(answer *amrledger.Answer) []answerEvent {
	numberer := amrstream.NewSequencer(1)
	if answer.Text != "" {
		numberer.Text(answer.Text, answer.CompletionTokens)
	} else {
		numberer.Body(answer.Body)
	}
	end := numberer.End(amrstream.Usage{})
	return []answerEvent{
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

// Place returns the next candidate whose sidecar can be told from its other
// incarnations.
func (o *once) Place(ctx context.Context) amrledger.Event {
	s := o.session
	if refused := s.suspicion.admit(ctx); refused != nil {
		return amrledger.NotPlaced{Reason: refused.reason, RetryAfter: refused.retryAfter}
	}
	for s.tried < len(s.candidates) && s.tried < s.maxAttempts() {
		server := s.candidates[s.tried]
		s.tried++
		state, ok := o.sidecar(ctx, server)
		if !ok {
			s.router.membership.failed(server.name, true)
			s.note(server, amrreason.EngineUnavailable)
			continue
		}
		if state.draining {
			s.note(server, amrreason.Draining)
			s.router.sidecars.forget(server.name)
			continue
		}
		return amrledger.Placed{Place: amrledger.Place{
			Server:      server.name,
			Incarnation: state.incarnation,
			WindowEnd:   state.windowEnd(s.router.clock.Now()),
		}}
	}
	if s.last != nil && s.last.reason == amrreason.WrongWeights && s.rebind() {
		s.candidates, s.tried = s.choice.again(), 0
		return o.Place(ctx)
	}
	return amrledger.NotPlaced{Reason: amrreason.NoBackendServer, RetryAfter: time.Second}
}

// sidecar returns what is known of the server's sidecar, asking it if need be.
func (o *once) sidecar(ctx context.Context, server candidate) (sidecarState, bool) {
	r := o.session.router
	if state, ok := r.sidecars.get(server.name); ok {
		return state, true
	}
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	reply, err := r.gates.client(ctx, server.address).Report(ctx, &amrgate.ReportRequest{Revision: o.session.request.set.Revision()})
	if err != nil {
		return sidecarState{}, false
	}
	r.sidecars.observe(server.name, reply.GetLoad(), r.clock.Now())
	return r.sidecars.get(server.name)
}

// Dispatch runs the claim at the server that it names.
func (o *once) Dispatch(ctx context.Context, claim amrledger.Row) amrledger.Event {
	s := o.session
	server, ok := s.server(claim.Server)
	left := s.request.deadline.Sub(s.router.clock.Now())
	if !ok || left <= 0 {
		return amrledger.NotRun{Reason: amrreason.DeadlineExceeded}
	}
	ctx, cancel := context.WithTimeout(ctx, left)
	defer cancel()
	message := s.message(uint32(s.tried), left)
	message.Claim = &amrgate.Claim{
		Key:                s.request.idempotencyKey,
		Token:              []byte(claim.Token),
		Fence:              claim.Fence,
		SidecarIncarnation: claim.Incarnation,
		WindowEndMs:        claim.WindowEnd.Milliseconds(),
	}
	stream, err := s.router.gates.client(ctx, server.address).Dispatch(ctx, message)
	if err != nil {
		s.router.sidecars.forget(server.name)
		s.router.membership.failed(server.name, isDialError(err))
		s.note(server, amrreason.EngineUnavailable)
		if isDialError(err) {
			return amrledger.NotRun{Reason: amrreason.EngineUnavailable, RetryElsewhere: true}
		}
		return amrledger.ConnectionLost{}
	}
	return o.receive(server, message.GetAttempt(), stream)
}

// receive takes the replies of a dispatched claim.
func (o *once) receive(server candidate, attempt uint32, stream amrgate.DRPCGate_DispatchClient) amrledger.Event {
	s := o.session
	relay := amrstream.NewRelay(amrstream.WithoutResume())
	relay.Step(amrstream.Started{Attempt: attempt})
	var answer amrledger.Answer
	for {
		reply, err := stream.Recv()
		if err != nil {
			s.router.sidecars.forget(server.name)
			s.note(server, amrreason.EngineLost)
			return amrledger.ConnectionLost{}
		}
		s.router.observe(server.name, reply.GetLoad())
		switch event := reply.GetEvent().(type) {
		case *amrgate.DispatchReply_Accepted:
			s.decision.accepted(server.name, event.Accepted)
		case *amrgate.DispatchReply_Declined:
			reason := amrreason.Code(event.Declined.GetReason())
			s.note(server, reason)
			s.last = refuse(reason, server.name)
			if reason == amrreason.WrongIncarnation {
				s.tried-- // Its load, which came along, names the present one.
			}
			return amrledger.NotRun{
				Reason:         reason,
				RetryAfter:     time.Duration(event.Declined.GetRetryAfterMs()) * time.Millisecond,
				RetryElsewhere: amrretry.Retryable(reason),
			}
		case *amrgate.DispatchReply_Failed:
			reason := amrreason.Code(event.Failed.GetReason())
			s.note(server, reason)
			s.suspicion.failed(context.Background(), event.Failed, reply.GetLoad())
			if amrreason.Ran(event.Failed.GetRan()) == amrreason.NotRun {
				return amrledger.NotRun{Reason: reason, RetryElsewhere: amrretry.Retryable(reason)}
			}
			return amrledger.Interrupted{Reason: reason}
		case *amrgate.DispatchReply_Chunk:
			relay.Step(amrstream.Arrived{Chunk: chunkOf(event.Chunk)})
			answer.Text += event.Chunk.GetText()
			answer.Body = append(answer.Body, event.Chunk.GetBody()...)
		case *amrgate.DispatchReply_End:
			if !completes(relay.Step(amrstream.Finished{End: endOfAttempt(event.End)})) {
				return amrledger.ConnectionLost{} // The sidecar has the whole answer.
			}
			setEnd(&answer, event.End)
			s.suspicion.finished(context.Background())
			return amrledger.Completed{Answer: &answer}
		}
	}
}

// Seal asks the sidecar that the claim names what became of the claim.
func (o *once) Seal(ctx context.Context, claim amrledger.Row) amrledger.Event {
	s := o.session
	server, ok := s.server(claim.Server)
	if !ok {
		return amrledger.SealUnanswered{}
	}
	ctx, cancel := context.WithTimeout(ctx, sealTimeout)
	defer cancel()
	reply, err := s.router.gates.client(ctx, server.address).Seal(ctx, &amrgate.SealRequest{
		Key:                s.request.idempotencyKey,
		Token:              []byte(claim.Token),
		Fence:              claim.Fence,
		SidecarIncarnation: claim.Incarnation,
		WindowEndMs:        claim.WindowEnd.Milliseconds(),
	})
	if err != nil {
		return amrledger.SealUnanswered{}
	}
	answered := amrledger.SealAnswered{Outcome: amrledger.SealOutcome(reply.GetOutcome())}
	if a := reply.GetAnswer(); a != nil {
		answered.Answer = &amrledger.Answer{Text: a.GetText(), Body: a.GetBody()}
		setEnd(answered.Answer, a.GetEnd())
	}
	return answered
}

func setEnd(answer *amrledger.Answer, end *amrgate.End) {
	answer.Status = int(end.GetStatus())
	answer.ContentType = end.GetContentType()
	answer.FinishReason = end.GetFinishReason()
	answer.PromptTokens = int(end.GetPromptTokens())
	answer.CachedTokens = int(end.GetCachedTokens())
	answer.CompletionTokens = int(end.GetCompletionTokens())
}

func completes(actions []amrstream.Action) bool {
	for _, action := range actions {
		if _, ok := action.(amrstream.Complete); ok {
			return true
		}
	}
	return false
}

func chunkOf(c *amrgate.Chunk) amrstream.Chunk {
	return amrstream.Chunk{
		Attempt: c.GetAttempt(), Seq: c.GetSeq(), Text: c.GetText(), Body: c.GetBody(), Tokens: int(c.GetTokens()),
	}
}

func endOfAttempt(e *amrgate.End) amrstream.End {
	return amrstream.End{Attempt: e.GetAttempt(), Chunks: e.GetChunks(), Digest: e.GetDigest()}
}

// isDialError reports whether the connection was never made, so that nothing
// was sent.
func isDialError(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}
