package amrpool

import "time"

// remoteLoad is the load at a server that another router reported.
type remoteLoad struct {
	inFlight int
	pending  int // Prompt tokens not known to be processed.
	at       time.Time
}

// remoteLoads holds the loads at a server that other routers reported. It
// maintains their sum, which is read far more often than it changes. The zero
// value is empty and ready to use.
type remoteLoads struct {
	byRouter map[string]remoteLoad // By name of the router's host.
	inFlight int
	pending  int
	oldest   time.Time // Lower bound of the times of the loads.
}

// set replaces the load that the router reported before.
func (l *remoteLoads) set(router string, load remoteLoad) {
	if l.byRouter == nil {
		l.byRouter = make(map[string]remoteLoad)
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

// remove removes the load of the router.
func (l *remoteLoads) remove(router string) {
	old := l.byRouter[router]
	l.inFlight -= old.inFlight
	l.pending -= old.pending
	delete(l.byRouter, router)
}

// sum returns the total of the requests and pending tokens in loads that have
// not expired.
func (l *remoteLoads) sum(now time.Time) (inFlight, pending int) {
	if len(l.byRouter) > 0 && now.Sub(l.oldest) >= remoteLoadTTL {
		l.expire(now)
	}
	return l.inFlight, l.pending
}

// expire removes the loads that were not reported again within remoteLoadTTL.
func (l *remoteLoads) expire(now time.Time) {
	l.oldest = now
	for router, load := range l.byRouter {
		if now.Sub(load.at) >= remoteLoadTTL {
			l.remove(router)
			continue
		}
		if load.at.Before(l.oldest) {
			l.oldest = load.at
		}
	}
}
