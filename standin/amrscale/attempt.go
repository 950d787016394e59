package amrscale

import (
	"slices"
	"time"

	"amaranthreach.example/core/amrpool"
)

// connectTimeout is the time after which a router gives up connecting to an engine
// that does not answer.
const connectTimeout = 250 * time.Millisecond

// attempt is a request that its router forwards to an engine.
type attempt struct {
	sim     *simulation
	request *request
	choice  *amrpool.Choice
	engine  *engine
	run     *run
	ended   bool
}

// delay returns the time of one way between a router and an engine.
func (s *simulation) delay(router int, e *engine) time.Duration {
	if router%s.params.Zones == e.zone {
		return s.params.LocalDelay
	}
	return s.params.ZoneDelay
}

// forward forwards a request from its router to the engine that is chosen for it.
func (s *simulation) forward(q *request) {
	s.learner.pick(q, func(choice *amrpool.Choice) {
		if choice == nil {
			s.result.Refused++
			return
		}
		a := &attempt{sim: s, request: q, choice: choice, engine: s.byName[choice.Name]}
		if a.engine.down {
			s.at(s.now+connectTimeout, a.giveUpConnecting)
			return
		}
		a.run = a.newRun()
		s.at(q.sentAt+q.class.Deadline, a.expire)
		s.at(s.now+s.params.RouterTime+s.delay(q.router, a.engine), a.arrive)
	})
}

// giveUpConnecting forwards the request to another engine.
func (a *attempt) giveUpConnecting() {
	a.choice.Done(a.sim.wall(), amrpool.Unreachable)
	a.sim.forward(a.request)
}

// newRun returns the run of the request at the engine.
func (a *attempt) newRun() *run {
	r := &run{request: a.request, save: a.choice.SaveTo != "", first: a.firstEvent, ended: a.end}
	r.fetch = a.sim.byName[a.choice.FetchFrom]
	if r.fetch != nil && slices.Contains(a.sim.stores, r.fetch) {
		r.fetch, r.fetchAll = nil, true
	}
	return r
}

// arrive hands the request to the engine.
func (a *attempt) arrive() {
	switch {
	case a.ended:
	case a.engine.down:
		a.ended = true
		a.choice.Done(a.sim.wall(), amrpool.Failed)
	default:
		a.engine.accept(a.run)
	}
}

// firstEvent sends the first event of the answer on its way.
func (a *attempt) firstEvent() {
	s := a.sim
	running, waiting := a.engine.inProgress()
	s.at(s.now+s.delay(a.request.router, a.engine), func() {
		a.choice.ResponseStarted(s.wall(), &amrpool.Load{Running: running, Waiting: waiting, Slots: a.engine.model.Slots})
		s.record(a.request, s.now+s.params.CallerDelay)
	})
}

// end ends the attempt after the engine has completed the request or lost it.
func (a *attempt) end(completed bool) {
	a.ended = true
	result := amrpool.Completed
	if !completed {
		result = amrpool.Failed
	}
	s := a.sim
	s.at(s.now+s.delay(a.request.router, a.engine), func() { a.choice.Done(s.wall(), result) })
}

// expire cancels the request at its deadline.
func (a *attempt) expire() {
	if a.ended {
		return
	}
	a.ended = true
	a.run.cancel()
	a.choice.Done(a.sim.wall(), amrpool.Canceled)
}
