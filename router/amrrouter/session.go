package amrrouter

import (
	"context"
	"errors"
	"io"
	"time"

	"amaranthreach.example/core/amrgate"
	"amaranthreach.example/core/amrprompt"
	"amaranthreach.example/core/amrreason"
)

const defaultMaxAttempts = 3

// session runs one request: it dispatches attempts until one has given the
// whole answer or the request is refused.
type session struct {
	router     *Router
	request    *request
	decision   *decision
	candidates []candidate
	tried      int
	last       *refusal
	current    *dispatch
	text       []byte // Relayed so far, for an attempt that resumes.
	tokens     int
	once       *once // Nil for idempotent work.
}

// dispatch is an attempt in progress.
type dispatch struct {
	server   candidate
	stream   amrgate.DRPCGate_DispatchClient
	cancel   context.CancelFunc
	attempt  uint32
	sequence uint64
}

// answerEvent is a piece of the answer or its end.
type answerEvent struct {
	text string
	body []byte
	end  *amrgate.End
}

func (r *Router) newSession(q *request) *session {
	ranked := r.chooser.rank(q.set, q.deployment, q.keys)
	s := &session{
		router:     r,
		request:    q,
		decision:   r.decisions.begin(q, ranked, r.clock.Now()),
		candidates: ranked,
	}
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
		if s.current == nil {
			if refused := s.start(ctx); refused != nil {
				return answerEvent{}, s.give(refused)
			}
		}
		event, again, refused := s.receive(ctx)
		if refused != nil {
			return answerEvent{}, s.give(refused)
		}
		if !again {
			return event, nil
		}
	}
}

// close cancels the attempt in progress.
func (s *session) close() {
	if s.current != nil {
		s.current.cancel()
		s.current = nil
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
func (s *session) start(ctx context.Context) *refusal {
	left := s.request.deadline.Sub(s.router.clock.Now())
	if left <= 0 {
		return refuse(amrreason.DeadlineExceeded, "").withRan(s.ran())
	}
	if s.tried >= len(s.candidates) || s.tried >= s.maxAttempts() {
		return s.exhausted()
	}
	server := s.candidates[s.tried]
	s.tried++
	ctx, cancel := context.WithTimeout(ctx, left)
	message := s.message(uint32(s.tried), left)
	stream, err := s.router.gates.client(ctx, server.address).Dispatch(ctx, message)
	if err != nil {
		cancel()
		s.note(server, amrreason.EngineUnavailable)
		s.last = refuse(amrreason.EngineUnavailable, server.name)
		return nil
	}
	s.current = &dispatch{server: server, stream: stream, cancel: cancel, attempt: message.GetAttempt()}
	return nil
}

func (s *session) exhausted() *refusal {
	if s.last == nil {
		return refuse(amrreason.NoBackendServer, s.request.deployment).withRetryAfter(time.Second)
	}
	return s.last.withRan(s.ran())
}

// ran says whether the request has run so far.
func (s *session) ran() amrreason.Ran {
	if s.last == nil {
		return amrreason.NotRun
	}
	return s.last.ran
}

func (s *session) message(attempt uint32, left time.Duration) *amrgate.DispatchRequest {
	q := s.request
	return &amrgate.DispatchRequest{
		RequestId:        q.id,
		Attempt:          attempt,
		Router:           s.router.settings.Name,
		Team:             q.team,
		Deployment:       q.deployment,
		WeightsVersion:   q.weights,
		Revision:         q.set.Revision(),
		Priority:         int32(q.priority),
		TeamWeight:       uint32(max(q.teamSpec.Weight, 1)),
		DeadlineMs:       left.Milliseconds(),
		BlockKeys:        amrprompt.Pack(q.keys),
		PromptTokens:     uint32(amrprompt.Tokens(q.prompt)),
		MaxTokens:        uint32(q.maxTokens),
		Prompt:           q.prompt,
		ResumeText:       string(s.text),
		ResumeTokens:     uint32(s.tokens),
		ServiceCall:      q.call,
		ReportIntervalMs: 50,
	}
}

// receive takes one reply of the current attempt. It returns again when there
// is nothing for the caller in it.
func (s *session) receive(ctx context.Context) (answerEvent, bool, *refusal) {
	if s.current == nil {
		return answerEvent{}, true, nil
	}
	d := s.current
	reply, err := d.stream.Recv()
	if err != nil {
		return answerEvent{}, true, s.broken(ctx, err)
	}
	s.router.observe(d.server.name, reply.GetLoad())
	switch event := reply.GetEvent().(type) {
	case *amrgate.DispatchReply_Accepted:
		s.decision.accepted(d.server.name, event.Accepted)
		return answerEvent{}, true, nil
	case *amrgate.DispatchReply_Declined:
		s.declined(event.Declined)
		return answerEvent{}, true, nil
	case *amrgate.DispatchReply_Chunk:
		return s.chunk(event.Chunk)
	case *amrgate.DispatchReply_End:
		s.close()
		s.decision.finished(d.server.name, event.End, s.router.clock.Now())
		return answerEvent{end: event.End}, false, nil
	case *amrgate.DispatchReply_Failed:
		return answerEvent{}, true, s.failed(event.Failed)
	default:
		return answerEvent{}, true, nil
	}
}

func (s *session) chunk(chunk *amrgate.Chunk) (answerEvent, bool, *refusal) {
	d := s.current
	if chunk.GetAttempt() != d.attempt || chunk.GetSeq() != d.sequence+1 {
		s.router.metrics.dropped.Inc()
		return answerEvent{}, true, nil
	}
	d.sequence++
	s.text = append(s.text, chunk.GetText()...)
	s.tokens += int(chunk.GetTokens())
	return answerEvent{text: chunk.GetText(), body: chunk.GetBody()}, false, nil
}

func (s *session) declined(declined *amrgate.Declined) {
	reason := amrreason.Code(declined.GetReason())
	s.note(s.current.server, reason)
	s.last = refuse(reason, s.current.server.name).withRan(s.ran()).
		withRetryAfter(time.Duration(declined.GetRetryAfterMs()) * time.Millisecond)
	s.close()
}

// failed ends the current attempt. Idempotent work goes on elsewhere.
func (s *session) failed(failed *amrgate.Failed) *refusal {
	reason, ran := amrreason.Code(failed.GetReason()), amrreason.Ran(failed.GetRan())
	s.note(s.current.server, reason)
	s.last = refuse(reason, s.current.server.name).withRan(ran)
	s.close()
	if ran == amrreason.NotRun || s.request.idempotent {
		return nil
	}
	return s.last
}

// broken ends the current attempt, whose stream broke off.
func (s *session) broken(ctx context.Context, err error) *refusal {
	server := s.current.server
	s.close()
	if ctx.Err() != nil {
		return refuse(amrreason.Canceled, "")
	}
	if !errors.Is(err, io.EOF) {
		s.router.log.Warn("dispatch-broken", "request", s.request.id, "backend-server", server.name, "error", err)
	}
	s.note(server, amrreason.EngineLost)
	s.last = refuse(amrreason.EngineLost, server.name)
	if s.request.idempotent {
		return nil
	}
	return refuse(amrreason.OutcomeUnknown, server.name)
}

func (s *session) note(server candidate, reason amrreason.Code) {
	s.router.metrics.attempts.WithLabelValues(string(reason)).Inc()
	s.decision.attempt(server.name, reason)
}
