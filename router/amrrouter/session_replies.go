package amrrouter

import (
	"context"
	"time"

	"amaranthreach.example/core/amrgate"
	"amaranthreach.example/core/amrreason"
	"amaranthreach.example/core/amrretry"
	"amaranthreach.example/core/amrstream"
)

// handleReply handles a reply to an attempt or the error that ended its stream.
func (s *session) handleReply(received attemptReply) {
	current := s.inProgress[received.attempt]
	if current == nil {
		return // The attempt was canceled in the meantime.
	}
	if received.err != nil {
		s.handleBrokenStream(received.attempt, current, received.err)
		return
	}
	s.router.applyLoad(current.server.name, received.reply.GetLoad())
	s.selector.applyReply(current.server.name, received.reply)
	switch event := received.reply.GetEvent().(type) {
	case *amrgate.DispatchReply_Accepted:
		s.decision.attemptAccepted(current.server.name, event.Accepted)
	case *amrgate.DispatchReply_Declined:
		reason := amrreason.Code(event.Declined.GetReason())
		s.failAttempt(received.attempt, current, newRefusal(reason, current.server.name).withRan(amrreason.NotRun).
			withRetryAfter(time.Duration(event.Declined.GetRetryAfterMs())*time.Millisecond), true)
	case *amrgate.DispatchReply_Chunk:
		s.stepRelay(amrstream.Arrived{Chunk: newStreamChunk(event.Chunk)})
	case *amrgate.DispatchReply_End:
		s.answeringServer = current.server.name
		s.router.membership.recordSuccess(current.server.name)
		end := newStreamEnd(event.End)
		end.Usage = newStreamUsage(event.End)
		s.stepRelay(amrstream.Finished{End: end})
	case *amrgate.DispatchReply_Failed:
		reason, ran := amrreason.Code(event.Failed.GetReason()), amrreason.Ran(event.Failed.GetRan())
		if event.Failed.GetEngineLost() || reason == amrreason.EngineUnavailable {
			s.router.membership.recordFailure(current.server.name, false)
		}
		s.crashState.recordFailure(context.Background(), event.Failed, received.reply.GetLoad())
		notRun := ran == amrreason.NotRun // An attempt that did not run cost no work, like a declined one.
		s.failAttempt(received.attempt, current, newRefusal(reason, current.server.name).withRan(ran), notRun)
	}
}

// handleBrokenStream ends an attempt whose stream ended with an error.
func (s *session) handleBrokenStream(number uint32, a *attempt, err error) {
	s.router.sidecarStates.forget(a.server.name)
	s.router.membership.recordFailure(a.server.name, isDialError(err))
	s.selector.exclude(a.server.name)
	if isDialError(err) {
		s.failAttempt(number, a, newRefusal(amrreason.EngineUnavailable, a.server.name), false)
		return
	}
	s.router.log.Warn("dispatch stream broken", "request", s.request.id, "backend-server", a.server.name, "error", err)
	s.failAttempt(number, a, newRefusal(amrreason.EngineLost, a.server.name), false)
}

// failAttempt ends an attempt that did not return a complete response. Declined
// means that the sidecar declined the attempt or reported that it did not run.
func (s *session) failAttempt(number uint32, a *attempt, cause *refusal, declined bool) {
	s.recordFailedAttempt(a.server, cause.reason)
	s.lastFailure, s.declined = cause, declined
	if declined && amrretry.ServerUnavailable(cause.reason) {
		s.unavailableDeclines++
	}
	s.cancelAttempt(number)
	if cause.reason == amrreason.WrongWeights && len(s.inProgress) == 0 {
		s.reselectWeights()
	}
	s.stepRelay(amrstream.Failed{Attempt: number, Reason: cause.reason, Ran: cause.ran})
}

// cancelAttempt cancels the attempt with the number if it is in progress.
func (s *session) cancelAttempt(number uint32) {
	if a := s.inProgress[number]; a != nil {
		a.cancel()
		s.selector.attemptEnded(a.server.name)
		delete(s.inProgress, number)
	}
}

// stepRelay passes the event to the relay, which merges the attempts into one
// response, and executes the actions that it returns.
func (s *session) stepRelay(event amrstream.Event) {
	before := s.relay.Dropped()
	actions := s.relay.Step(event)
	if s.relay.Dropped() != before {
		s.router.metrics.droppedChunks.Inc()
	}
	for _, action := range actions {
		switch a := action.(type) {
		case amrstream.Emit:
			s.events = append(s.events, responseEvent{text: a.Chunk.Text, body: a.Chunk.Body})
		case amrstream.Cancel:
			s.cancelAttempt(a.Attempt)
		case amrstream.Resume:
			s.handleResume(a)
		case amrstream.Complete:
			s.handleComplete(a.End)
		case amrstream.Abort:
			s.handleAbort(a)
		}
	}
}

// handleResume decides whether another attempt resumes the response after one
// failed.
func (s *session) handleResume(a amrstream.Resume) {
	s.resumeText, s.resumeTokens = a.Text, a.Tokens
	if a.Reason == amrreason.CostAboveBound {
		return // The selector limits these attempts, so they do not count as retries.
	}
	policy := amrretry.Policy{
		MaxAttempts: s.maxAttempts(),
		Deadline:    s.request.deadline,
		MinTimeLeft: minAttemptTime,
		Idempotent:  true,
	}
	outcome := amrretry.Outcome{Attempts: s.attempts - s.selector.costDeclines - s.weightsReselections, Reason: a.Reason, Ran: a.Ran, Declined: s.declined}
	if gaveUp, ok := s.router.retryBudgets.decide(s.router.clock.Now(), policy, outcome).(amrretry.GiveUp); ok {
		s.stepRelay(amrstream.NotResumed{Reason: gaveUp.Reason, Ran: gaveUp.Ran})
	}
}

// handleComplete ends the session with the end of the response.
func (s *session) handleComplete(end amrstream.End) {
	s.router.retryBudgets.addSuccess()
	s.crashState.recordCompletion(context.Background())
	message := &amrgate.End{
		Chunks:           end.Chunks,
		Digest:           end.Digest,
		FinishReason:     end.Usage.FinishReason,
		PromptTokens:     uint32(end.Usage.PromptTokens),
		CachedTokens:     uint32(end.Usage.CachedTokens),
		CompletionTokens: uint32(end.Usage.CompletionTokens),
		Status:           int32(end.Usage.Status),
		ContentType:      end.Usage.ContentType,
	}
	s.events = append(s.events, responseEvent{end: message})
	s.decision.recordCompletion(s.answeringServer, message, s.router.clock.Now())
	s.close()
}

// handleAbort refuses the request. It keeps the details of the last failure if the
// request is refused for the same reason.
func (s *session) handleAbort(a amrstream.Abort) {
	refused := newRefusal(a.Reason, "").withRan(a.Ran)
	if s.lastFailure != nil && s.lastFailure.reason == a.Reason {
		refused.detail, refused.retryAfter = s.lastFailure.detail, s.lastFailure.retryAfter
	}
	s.finalRefusal = refused
}

// recordFailedAttempt records a failed or declined attempt in the metrics and the
// decision.
func (s *session) recordFailedAttempt(server candidate, reason amrreason.Code) {
	s.router.metrics.failedAttempts.WithLabelValues(string(reason)).Inc()
	s.decision.attemptFailed(server.name, reason)
}

// newStreamUsage converts the usage in an end message.
func newStreamUsage(e *amrgate.End) amrstream.Usage {
	return amrstream.Usage{
		FinishReason:     e.GetFinishReason(),
		PromptTokens:     int(e.GetPromptTokens()),
		CachedTokens:     int(e.GetCachedTokens()),
		CompletionTokens: int(e.GetCompletionTokens()),
		Status:           int(e.GetStatus()),
		ContentType:      e.GetContentType(),
	}
}
