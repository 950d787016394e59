package amradmit

// maxTeams is the number of teams above which the finish tags of idle teams are
// discarded.
const maxTeams = 256

// fairness orders requests by start-time fair queueing. The requests of a team
// carry start tags that advance by the cost of each request divided by the
// weight of the team, and the request with the lowest start tag runs first. A
// team that was idle starts at the virtual time: it neither gains credit while
// idle nor waits behind the backlog of another team.
type fairness struct {
	virtualTime  float64            // Highest start tag of the requests submitted to the engine.
	finishTag    map[string]float64 // Finish tag of the last request of each team.
	lastSequence uint64
}

func newFairness() fairness {
	return fairness{finishTag: make(map[string]float64)}
}

// startTag returns the start tag of the request if it is admitted now.
func (f *fairness) startTag(e *entry) float64 {
	return max(f.virtualTime, f.finishTag[e.Team])
}

// nextSequence returns a number that orders requests with equal start tags by
// arrival.
func (f *fairness) nextSequence() uint64 {
	f.lastSequence++
	return f.lastSequence
}

// admit advances the finish tag of the team by the cost of the request.
func (f *fairness) admit(e *entry) {
	weight := float64(max(e.TeamWeight, 1))
	f.finishTag[e.Team] = e.startTag + float64(e.uncached+overheadTokens)/weight
	if len(f.finishTag) > maxTeams {
		f.removeIdleTeams()
	}
}

// submitted advances the virtual time to the start tag of a request that was
// submitted to the engine.
func (f *fairness) submitted(e *entry) {
	f.virtualTime = max(f.virtualTime, e.startTag)
}

// removeIdleTeams discards the finish tags that no longer affect start tags.
func (f *fairness) removeIdleTeams() {
	for team, finishTag := range f.finishTag {
		if finishTag <= f.virtualTime {
			delete(f.finishTag, team)
		}
	}
}
