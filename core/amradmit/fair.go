package amradmit

// teamsKept is the number of teams above which idle ones are forgotten.
const teamsKept = 256

// fairness orders requests by start-time fair queueing: each team's requests
// carry start tags that advance by their cost over the team's weight, and the
// lowest tag runs first. A team that was idle starts at the virtual time, so
// it neither saves up credit nor waits behind another's backlog.
type fairness struct {
	virtual float64
	finish  map[string]float64
	count   uint64
}

func newFairness() fairness {
	return fairness{finish: make(map[string]float64)}
}

// start returns the tag that a request of the team gets when it is admitted
// now.
func (f *fairness) start(e *entry) float64 {
	return max(f.virtual, f.finish[e.Team])
}

// next returns a number that orders requests of equal tags by arrival.
func (f *fairness) next() uint64 {
	f.count++
	return f.count
}

func (f *fairness) admit(e *entry) {
	weight := float64(max(e.TeamWeight, 1))
	f.finish[e.Team] = e.start + float64(e.uncached+overheadTokens)/weight
	if len(f.finish) > teamsKept {
		f.forgetIdle()
	}
}

// started advances the virtual time to the request handed to the engine.
func (f *fairness) started(e *entry) {
	f.virtual = max(f.virtual, e.start)
}

func (f *fairness) forgetIdle() {
	for team, finish := range f.finish {
		if finish <= f.virtual {
			delete(f.finish, team)
		}
	}
}
