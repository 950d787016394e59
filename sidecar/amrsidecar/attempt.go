package amrsidecar

import (
	"context"
	"errors"
	"time"

	"github.com/zeebo/xxh3"

	"amaranthreach.example/core/amrgate"
	"amaranthreach.example/core/amrreason"
)

// attempt is one dispatch in progress.
type attempt struct {
	gate     *gate
	request  *amrgate.DispatchRequest
	stream   amrgate.DRPCGate_DispatchStream
	digest   *xxh3.Hasher
	sequence uint64
	claim    *claimRun // Nil for idempotent work.
	crashed  bool      // The backend server crashed under it.
}

func newAttempt(g *gate, request *amrgate.DispatchRequest, stream amrgate.DRPCGate_DispatchStream) *attempt {
	return &attempt{gate: g, request: request, stream: stream, digest: xxh3.New()}
}

func (a *attempt) run(ctx context.Context) error {
	ticket, refused := a.gate.admission.enter(a.request)
	if refused != "" {
		return a.decline(refused, ticket)
	}
	defer a.gate.admission.leave(ticket)
	err := a.send(&amrgate.DispatchReply{
		Event: &amrgate.DispatchReply_Accepted{Accepted: &amrgate.Accepted{
			WaitMs:       ticket.wait.Milliseconds(),
			CachedTokens: uint32(ticket.cachedTokens),
		}},
		Load: a.load(),
	})
	if err != nil {
		return err
	}
	if err := a.gate.admission.wait(ctx, ticket); err != nil {
		return a.fail(failureOf(ctx, err))
	}
	if !a.gate.holds(a.request.GetWeightsVersion()) { // The weights changed while it waited.
		return a.fail(failure{reason: amrreason.WrongWeights, ran: amrreason.NotRun})
	}
	incarnation := a.gate.backend.state().incarnation
	end, err := a.gate.backend.run(ctx, a.request, func(p piece) error {
		a.gate.admission.progressed(ticket)
		return a.chunk(p)
	})
	if err != nil {
		a.gate.admission.leave(ticket) // So that the reply's load is without it.
		failed := failureOf(ctx, err)
		if failed.ran == amrreason.NotRun && !a.gate.holds(a.request.GetWeightsVersion()) {
			failed.reason = amrreason.WrongWeights // The weights changed on its way to the engine.
		}
		a.findCrash(failed, incarnation)
		return a.fail(failed)
	}
	a.gate.suspects.finished(a.request)
	a.gate.admission.finished(ticket, end)
	return a.end(end)
}

// findCrash finds out whether the backend server crashed under the attempt.
func (a *attempt) findCrash(f failure, incarnation string) {
	if f.reason != amrreason.EngineLost {
		return
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(a.stream.Context()), probeTimeout)
	defer cancel()
	if a.gate.backend.crashed(ctx, incarnation) {
		a.crashed = true
		a.gate.suspects.lost(a.request, a.gate.sidecar.settings.Name+"/"+incarnation)
	}
}

func (a *attempt) chunk(p piece) error {
	if a.claim != nil {
		a.claim.add(p)
	}
	a.sequence++
	_, _ = a.digest.WriteString(p.text)
	_, _ = a.digest.Write(p.body)
	reply := &amrgate.DispatchReply{Event: &amrgate.DispatchReply_Chunk{Chunk: &amrgate.Chunk{
		Attempt: a.request.GetAttempt(),
		Seq:     a.sequence,
		Text:    p.text,
		Body:    p.body,
		Tokens:  uint32(p.tokens),
	}}}
	if a.gate.loadDue(a.request) {
		reply.Load = brief(a.load())
	}
	return a.send(reply)
}

func (a *attempt) end(end result) error {
	if a.claim != nil {
		a.claim.finished(end)
	}
	a.gate.metrics.attempts.WithLabelValues("finished", "").Inc()
	return a.send(&amrgate.DispatchReply{
		Event: &amrgate.DispatchReply_End{End: &amrgate.End{
			Attempt:          a.request.GetAttempt(),
			Chunks:           a.sequence,
			Digest:           a.digest.Sum64(),
			FinishReason:     end.finishReason,
			PromptTokens:     uint32(end.promptTokens),
			CachedTokens:     uint32(end.cachedTokens),
			CompletionTokens: uint32(end.completionTokens),
			Status:           int32(end.status),
			ContentType:      end.contentType,
		}},
		Load: a.load(),
	})
}

func (a *attempt) decline(reason amrreason.Code, t *ticket) error {
	if a.claim != nil {
		a.claim.failed(amrreason.NotRun)
	}
	a.gate.metrics.attempts.WithLabelValues("declined", string(reason)).Inc()
	return a.send(&amrgate.DispatchReply{
		Event: &amrgate.DispatchReply_Declined{Declined: &amrgate.Declined{
			Reason:       string(reason),
			WaitMs:       t.wait.Milliseconds(),
			RetryAfterMs: t.retryAfter.Milliseconds(),
			CachedTokens: uint32(t.cachedTokens),
		}},
		Load: a.load(),
	})
}

func (a *attempt) fail(f failure) error {
	if a.claim != nil {
		a.claim.failed(f.ran)
	}
	a.gate.metrics.attempts.WithLabelValues("failed", string(f.reason)).Inc()
	return a.send(&amrgate.DispatchReply{
		Event: &amrgate.DispatchReply_Failed{Failed: &amrgate.Failed{
			Attempt:    a.request.GetAttempt(),
			Reason:     string(f.reason),
			Ran:        string(f.ran),
			EngineLost: a.crashed,
		}},
		Load: a.load(),
	})
}

// loadDue reports whether the dispatching router is to hear the load again.
func (g *gate) loadDue(request *amrgate.DispatchRequest) bool {
	interval := time.Duration(request.GetReportIntervalMs()) * time.Millisecond
	if interval <= 0 {
		return false
	}
	now := g.sidecar.clock.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	if now.Sub(g.reported[request.GetRouter()]) < interval {
		return false
	}
	if len(g.reported) >= reportedRouters {
		clear(g.reported)
	}
	g.reported[request.GetRouter()] = now
	return true
}

// brief takes out of a load what the attempt's first reply has told.
func brief(load *amrgate.Load) *amrgate.Load {
	load.SidecarIncarnation = ""
	load.EngineIncarnation = ""
	load.WeightsVersion = ""
	load.ClockMs = 0
	return load
}

// send sends a reply. A claim goes on when its router is gone.
func (a *attempt) send(reply *amrgate.DispatchReply) error {
	err := a.stream.Send(reply)
	if a.claim != nil {
		return nil
	}
	return err
}

// failureOf says how an attempt ended that the backend server did not finish.
func failureOf(ctx context.Context, err error) failure {
	var f failure
	if errors.As(err, &f) {
		return f
	}
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return failure{reason: amrreason.DeadlineExceeded, ran: amrreason.RunUnknown}
	}
	if ctx.Err() != nil {
		return failure{reason: amrreason.Canceled, ran: amrreason.RunUnknown}
	}
	return failure{reason: amrreason.EngineLost, ran: amrreason.RunUnknown}
}

// load returns the load as the dispatching router should hear it.
func (a *attempt) load() *amrgate.Load {
	load := a.gate.load(a.request.GetRouter(), int(min(a.request.GetMaxStored(), maxStored)))
	load.Strikes = a.gate.suspects.strikes(a.request)
	return load
}
