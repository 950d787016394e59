package amrpool

import "time"

// heardLoad is the load at a server that another router told of.
type heardLoad struct {
	inFlight int
	pending  int
	at       time.Time
}

// heardLoads are the loads at a server that other routers told of. Their sum is
// kept, since it is asked for far more often than it changes. The zero value
// has none.
type heardLoads struct {
	byRouter map[string]heardLoad
	inFlight int
	pending  int
	oldest   time.Time // None of the loads is older.
}

// set replaces the load that a router told of before.
func (l *heardLoads) set(router string, load heardLoad) {
	if l.byRouter == nil {
		l.byRouter = make(map[string]heardLoad)
	}
	l.remove(router)
	if load.inFlight == 0 && load.pending == 0 {
		return
	}
	if len(l.byRouter) == 0 {
		l.oldest = load.at
	}
	l.byRouter[router] = load
	l.inFlight += load.inFlight
	l.pending += load.pending
}

func (l *heardLoads) remove(router string) {
	old := l.byRouter[router]
	l.inFlight -= old.inFlight
	l.pending -= old.pending
	delete(l.byRouter, router)
}

// sum returns the requests and pending tokens that routers told of lately.
func (l *heardLoads) sum(now time.Time) (inFlight, pending int) {
	if len(l.byRouter) > 0 && now.Sub(l.oldest) >= heardFor {
		l.expire(now)
	}
	return l.inFlight, l.pending
}

// expire forgets the loads that routers have not repeated.
func (l *heardLoads) expire(now time.Time) {
	l.oldest = now
	for router, load := range l.byRouter {
		if now.Sub(load.at) >= heardFor {
			l.remove(router)
			continue
		}
		if load.at.Before(l.oldest) {
			l.oldest = load.at
		}
	}
}
