package amrrouter

import (
	"context"
	"time"

	"amaranthreach.example/core/amrgate"
	"amaranthreach.example/core/amrreason"
	"amaranthreach.example/core/amrretry"
	"amaranthreach.example/core/amrstream"
)

// arrived takes what came from an attempt.
func (s *session) arrived(a arrival) {
	d := s.live[a.attempt]
	if d == nil {
		return // Cancelled meanwhile.
	}
	if a.err != nil {
		s.broken(a.attempt, d, a.err)
		return
	}
	s.router.observe(d.server.name, a.reply.GetLoad())
	s.choice.observe(d.server.name, a.reply)
	switch event := a.reply.GetEvent().(type) {
	case *amrgate.DispatchReply_Accepted:
		s.decision.accepted(d.server.name, event.Accepted)
	case *amrgate.DispatchReply_Declined:
		reason := amrreason.Code(event.Declined.GetReason())
		s.fail(a.attempt, d, refuse(reason, d.server.name).withRan(amrreason.NotRun).
			withRetryAfter(time.Duration(event.Declined.GetRetryAfterMs())*time.Millisecond), true)
	case *amrgate.DispatchReply_Chunk:
		s.step(amrstream.Arrived{Chunk: chunkOf(event.Chunk)})
	case *amrgate.DispatchReply_End:
		s.winner = d.server.name
		s.router.membership.succeeded(d.server.name)
		end := endOfAttempt(event.End)
		end.Usage = usageOfAttempt(event.End)
		s.step(amrstream.Finished{End: end})
	case *amrgate.DispatchReply_Failed:
		reason, ran := amrreason.Code(event.Failed.GetReason()), amrreason.Ran(event.Failed.GetRan())
		if event.Failed.GetEngineLost() || reason == amrreason.EngineUnavailable {
			s.router.membership.failed(d.server.name, false)
		}
		s.suspicion.failed(context.Background(), event.Failed, a.reply.GetLoad())
		notRun := ran == amrreason.NotRun // It cost no work, as if it had been declined.
		s.fail(a.attempt, d, refuse(reason, d.server.name).withRan(ran), notRun)
	}
}

// broken ends an attempt whose stream broke off.
func (s *session) broken(attempt uint32, d *dispatch, err error) {
	s.router.sidecars.forget(d.server.name)
	s.router.membership.failed(d.server.name, isDialError(err))
	s.choice.exclude(d.server.name)
	if isDialError(err) {
		s.fail(attempt, d, refuse(amrreason.EngineUnavailable, d.server.name), false)
		return
	}
	s.router.log.Warn("dispatch-broken", "request", s.request.id, "backend-server", d.server.name, "error", err)
	s.fail(attempt, d, refuse(amrreason.EngineLost, d.server.name), false)
}

// fail ends an attempt that gave no whole answer.
func (s *session) fail(attempt uint32, d *dispatch, why *refusal, declined bool) {
	s.note(d.server, why.reason)
	s.last, s.declined = why, declined
	if declined && amrretry.ServerUnavailable(why.reason) {
		s.absent++
	}
	s.end(attempt)
	if why.reason == amrreason.WrongWeights && len(s.live) == 0 {
		s.rebind()
	}
	s.step(amrstream.Failed{Attempt: attempt, Reason: why.reason, Ran: why.ran})
}

// end cancels an attempt.
func (s *session) end(attempt uint32) {
	if d := s.live[attempt]; d != nil {
		d.cancel()
		s.choice.ended(d.server.name)
		delete(s.live, attempt)
	}
}

// step gives the event to the relay and carries out what it asks for.
func (s *session) step(event amrstream.Event) {
	before := s.relay.Dropped()
	actions := s.relay.Step(event)
	if s.relay.Dropped() != before {
		s.router.metrics.dropped.Inc()
	}
	for _, action := range actions {
		switch a := action.(type) {
		case amrstream.Emit:
			s.queue = append(s.queue, answerEvent{text: a.Chunk.Text, body: a.Chunk.Body})
		case amrstream.Cancel:
			s.end(a.Attempt)
		case amrstream.Resume:
			s.resume(a)
		case amrstream.Complete:
			s.complete(a.End)
		case amrstream.Abort:
			s.abort(a)
		}
	}
}

// resume decides whether another attempt is made.
func (s *session) resume(a amrstream.Resume) {
	s.resumeText, s.resumeTokens = a.Text, a.Tokens
	if a.Reason == amrreason.CostsLessElsewhere {
		return // The choice bounds these; they cost no retry.
	}
	policy := amrretry.Policy{
		MaxAttempts: s.maxAttempts(),
		Deadline:    s.request.deadline,
		MinTimeLeft: minTimeLeft,
		Idempotent:  true,
	}
	outcome := amrretry.Outcome{Attempts: s.tried - s.choice.costly - s.rebinds, Reason: a.Reason, Ran: a.Ran, Declined: s.declined}
	if gaveUp, ok := s.router.retries.decide(s.router.clock.Now(), policy, outcome).(amrretry.GiveUp); ok {
		s.step(amrstream.NotResumed{Reason: gaveUp.Reason, Ran: gaveUp.Ran})
	}
}

// complete ends the answer.
func (s *session) complete(end amrstream.End) {
	s.router.retries.success()
	s.suspicion.finished(context.Background())
	whole := &amrgate.End{
		Chunks:           end.Chunks,
		Digest:           end.Digest,
		FinishReason:     end.Usage.FinishReason,
		PromptTokens:     uint32(end.Usage.PromptTokens),
		CachedTokens:     uint32(end.Usage.CachedTokens),
		CompletionTokens: uint32(end.Usage.CompletionTokens),
		Status:           int32(end.Usage.Status),
		ContentType:      end.Usage.ContentType,
	}
	s.queue = append(s.queue, answerEvent{end: whole})
	s.decision.finished(s.winner, whole, s.router.clock.Now())
	s.close()
}

// abort ends the answer with a refusal.
func (s *session) abort(a amrstream.Abort) {
	refused := refuse(a.Reason, "").withRan(a.Ran)
	if s.last != nil && s.last.reason == a.Reason {
		refused.detail, refused.retryAfter = s.last.detail, s.last.retryAfter
	}
	s.refused = refused
}

func (s *session) note(server candidate, reason amrreason.Code) {
	s.router.metrics.attempts.WithLabelValues(string(reason)).Inc()
	s.decision.attempt(server.name, reason)
}

func usageOfAttempt(e *amrgate.End) amrstream.Usage {
	return amrstream.Usage{
		FinishReason:     e.GetFinishReason(),
		PromptTokens:     int(e.GetPromptTokens()),
		CachedTokens:     int(e.GetCachedTokens()),
		CompletionTokens: int(e.GetCompletionTokens()),
		Status:           int(e.GetStatus()),
		ContentType:      e.GetContentType(),
	}
}
