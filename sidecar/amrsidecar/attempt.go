package amrsidecar

import (
	"context"
	"errors"
	"time"

	"github.com/zeebo/xxh3"

	"amaranthreach.example/core/amrgate"
	"amaranthreach.example/core/amrreason"
)

// attempt is one dispatch in progress, from its arrival to the last reply.
type attempt struct {
	gate     *gate
	request  *amrgate.DispatchRequest
	stream   amrgate.DRPCGate_DispatchStream
	digest   *xxh3.Hasher    // Of the answer sent so far.
	sequence uint64          // Number of chunks sent.
	claim    *claimExecution // Nil for idempotent work.
	crashed  bool            // Set if the backend server crashed while it ran the request.
}

func newAttempt(g *gate, request *amrgate.DispatchRequest, stream amrgate.DRPCGate_DispatchStream) *attempt {
	return &attempt{gate: g, request: request, stream: stream, digest: xxh3.New()}
}

// run admits the request, runs it at the backend server and sends the replies. It
// returns an error only if a reply cannot be sent.
func (a *attempt) run(ctx context.Context) error {
	entry, declined := a.gate.admission.submit(a.request)
	if declined != "" {
		return a.decline(declined, entry)
	}
	defer a.gate.admission.cancel(entry)
	err := a.send(&amrgate.DispatchReply{
		Event: &amrgate.DispatchReply_Accepted{Accepted: &amrgate.Accepted{
			WaitMs:       entry.wait.Milliseconds(),
			CachedTokens: uint32(entry.cachedTokens),
		}},
		Load: a.load(),
	})
	if err != nil {
		return err
	}
	if err := a.gate.admission.wait(ctx, entry); err != nil {
		return a.fail(attemptErrorOf(ctx, err))
	}
	if !a.gate.servesWeights(a.request.GetWeightsVersion()) { // The weights changed while the request was queued.
		return a.fail(attemptError{reason: amrreason.WrongWeights, ran: amrreason.NotRun})
	}
	incarnation := a.gate.backend.state().incarnation
	result, err := a.gate.backend.run(ctx, a.request, func(c answerChunk) error {
		a.gate.admission.markComputed(entry)
		return a.sendChunk(c)
	})
	if err != nil {
		a.gate.admission.cancel(entry) // Before the reply is built, so that its load excludes this request.
		failed := attemptErrorOf(ctx, err)
		if failed.ran == amrreason.NotRun && !a.gate.servesWeights(a.request.GetWeightsVersion()) {
			failed.reason = amrreason.WrongWeights // The weights changed while the request was sent to the engine.
		}
		a.logFailure(failed)
		a.detectCrash(failed, incarnation)
		return a.fail(failed)
	}
	a.gate.suspectTracker.finish(a.request)
	a.gate.admission.finish(entry, result)
	return a.end(result)
}

// logFailure logs what went wrong on the connection to the backend server.
func (a *attempt) logFailure(failed attemptError) {
	if failed.cause != nil {
		a.gate.sidecar.log.Warn("attempt failed", "id", a.request.GetRequestId(), "reason", failed.reason, "ran", failed.ran, "err", failed.cause)
	}
}

// detectCrash checks whether the backend server crashed while it ran the request,
// and if so records a strike against the request. The incarnation is that of the
// backend server when the request was sent to it.
func (a *attempt) detectCrash(failed attemptError, incarnation string) {
	if failed.reason != amrreason.EngineLost {
		return
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(a.stream.Context()), probeTimeout)
	defer cancel()
	if a.gate.backend.crashed(ctx, incarnation) {
		a.crashed = true
		a.gate.suspectTracker.recordCrash(a.request, a.gate.sidecar.settings.Name+"/"+incarnation)
	}
}

// sendChunk sends a chunk of the answer.
func (a *attempt) sendChunk(c answerChunk) error {
	if a.claim != nil {
		a.claim.add(c)
	}
	a.sequence++
	_, _ = a.digest.WriteString(c.text)
	_, _ = a.digest.Write(c.body)
	reply := &amrgate.DispatchReply{Event: &amrgate.DispatchReply_Chunk{Chunk: &amrgate.Chunk{
		Attempt: a.request.GetAttempt(),
		Seq:     a.sequence,
		Text:    c.text,
		Body:    c.body,
		Tokens:  uint32(c.tokens),
	}}}
	if a.gate.loadDue(a.request) {
		reply.Load = trimLoad(a.load())
	}
	return a.send(reply)
}

// end sends the last reply of an attempt that finished.
func (a *attempt) end(result attemptResult) error {
	if a.claim != nil {
		a.claim.recordAnswer(result)
	}
	a.gate.metrics.attempts.WithLabelValues("finished", "").Inc()
	return a.send(&amrgate.DispatchReply{
		Event: &amrgate.DispatchReply_End{End: &amrgate.End{
			Attempt:          a.request.GetAttempt(),
			Chunks:           a.sequence,
			Digest:           a.digest.Sum64(),
			FinishReason:     result.finishReason,
			PromptTokens:     uint32(result.promptTokens),
			CachedTokens:     uint32(result.cachedTokens),
			CompletionTokens: uint32(result.completionTokens),
			Status:           int32(result.status),
			ContentType:      result.contentType,
		}},
		Load: a.load(),
	})
}

// decline sends the reply for a request that does not run. The entry holds the
// estimates that the reply carries.
func (a *attempt) decline(reason amrreason.Code, entry *queueEntry) error {
	if a.claim != nil {
		a.claim.recordFailure(amrreason.NotRun)
	}
	a.gate.metrics.attempts.WithLabelValues("declined", string(reason)).Inc()
	return a.send(&amrgate.DispatchReply{
		Event: &amrgate.DispatchReply_Declined{Declined: &amrgate.Declined{
			Reason:       string(reason),
			WaitMs:       entry.wait.Milliseconds(),
			RetryAfterMs: entry.retryAfter.Milliseconds(),
			CachedTokens: uint32(entry.cachedTokens),
		}},
		Load: a.load(),
	})
}

// fail sends the last reply of an attempt that did not finish.
func (a *attempt) fail(failed attemptError) error {
	if a.claim != nil {
		a.claim.recordFailure(failed.ran)
	}
	a.gate.metrics.attempts.WithLabelValues("failed", string(failed.reason)).Inc()
	return a.send(&amrgate.DispatchReply{
		Event: &amrgate.DispatchReply_Failed{Failed: &amrgate.Failed{
			Attempt:    a.request.GetAttempt(),
			Reason:     string(failed.reason),
			Ran:        string(failed.ran),
			EngineLost: a.crashed,
		}},
		Load: a.load(),
	})
}

// loadDue reports whether the next chunk shall carry the load, and if so records
// that the router has been told of it. The request sets the minimum interval
// between two such reports; without one, chunks carry no load.
func (g *gate) loadDue(request *amrgate.DispatchRequest) bool {
	interval := time.Duration(request.GetReportIntervalMs()) * time.Millisecond
	if interval <= 0 {
		return false
	}
	now := g.sidecar.clock.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	if now.Sub(g.reportTimes[request.GetRouter()]) < interval {
		return false
	}
	if len(g.reportTimes) >= maxReportTimes {
		clear(g.reportTimes)
	}
	g.reportTimes[request.GetRouter()] = now
	return true
}

// trimLoad clears the fields that the router already has from the first reply of the
// attempt: the incarnations, the version of the weights and the time of the
// sidecar's clock. It returns its argument.
func trimLoad(load *amrgate.Load) *amrgate.Load {
	load.SidecarIncarnation = ""
	load.EngineIncarnation = ""
	load.WeightsVersion = ""
	load.ClockMs = 0
	return load
}

// send sends a reply. For a claim it returns nil even if the router has gone away,
// so that the work goes on and a later request with the same key gets the answer.
func (a *attempt) send(reply *amrgate.DispatchReply) error {
	err := a.stream.Send(reply)
	if a.claim != nil {
		return nil
	}
	return err
}

// attemptErrorOf converts an error of a backend server or of the admission to an
// attemptError, with RunUnknown if the error does not tell whether the attempt ran.
func attemptErrorOf(ctx context.Context, err error) attemptError {
	var failed attemptError
	if errors.As(err, &failed) {
		return failed
	}
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return attemptError{reason: amrreason.DeadlineExceeded, ran: amrreason.RunUnknown}
	}
	if ctx.Err() != nil {
		return attemptError{reason: amrreason.Canceled, ran: amrreason.RunUnknown}
	}
	return attemptError{reason: amrreason.EngineLost, ran: amrreason.RunUnknown}
}

// load returns the load to report to the dispatching router, with the strike of
// the request if it has one.
func (a *attempt) load() *amrgate.Load {
	load := a.gate.load(a.request.GetRouter(), int(min(a.request.GetMaxStored(), maxStored)))
	load.Strikes = a.gate.suspectTracker.strikes(a.request)
	return load
}
