package amrengine

import (
	"encoding/hex"
	"net/http"
	"strconv"
	"time"

	"amaranthreach.example/core/amrprompt"
)

const (
	minKeptEvents = 1 << 16 // Minimum number of recent events that remain available.
	maxEventReply = 1 << 13 // Maximum number of events in one response.
	maxEventWait  = 30 * time.Second
)

type eventKind string

const (
	eventStored  eventKind = "stored"
	eventEvicted eventKind = "evicted"
	eventCleared eventKind = "cleared"
)

type cacheEvent struct {
	seq       uint64
	kind      eventKind
	key       amrprompt.Key
	visibleAt time.Time // Time from which readers get the event.
}

// eventLog holds the most recent cache events of an incarnation, in order.
type eventLog struct {
	lastSeq uint64 // Number of the last event, lost ones included.
	events  []cacheEvent
	changed chan struct{} // Closed and replaced when an event is added.
}

func newEventLog() *eventLog {
	return &eventLog{changed: make(chan struct{})}
}

// append adds an event with the next number. A lost event takes a number but is
// not stored, so that readers see a gap.
func (l *eventLog) append(kind eventKind, k amrprompt.Key, visibleAt time.Time, lost bool) {
	l.lastSeq++
	if lost {
		return
	}
	if len(l.events) >= 2*minKeptEvents {
		l.events = append([]cacheEvent(nil), l.events[minKeptEvents:]...)
	}
	l.events = append(l.events, cacheEvent{l.lastSeq, kind, k, visibleAt})
	close(l.changed)
	l.changed = make(chan struct{})
}

// after returns the visible events whose number is greater than seq, at most
// maxEventReply of them. If it stops at an event that is not visible yet, it
// also returns the time at which that event becomes visible.
func (l *eventLog) after(seq uint64, now time.Time) (visible []cacheEvent, next time.Time) {
	for i := l.search(seq); i < len(l.events); i++ {
		ev := l.events[i]
		if ev.visibleAt.After(now) {
			return visible, ev.visibleAt
		}
		if len(visible) == maxEventReply {
			return visible, time.Time{}
		}
		visible = append(visible, ev)
	}
	return visible, time.Time{}
}

// search returns the index of the first event whose number is greater than seq.
func (l *eventLog) search(seq uint64) int {
	low, high := 0, len(l.events)
	for low < high {
		if mid := (low + high) / 2; l.events[mid].seq <= seq {
			low = mid + 1
		} else {
			high = mid
		}
	}
	return low
}

type eventsReply struct {
	Incarnation string       `json:"incarnation"`
	Events      []eventReply `json:"events"`
}

type eventReply struct {
	Seq  uint64    `json:"seq"`
	Kind eventKind `json:"kind"`
	Key  string    `json:"key,omitempty"`
}

func (e *Engine) serveEvents(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	seq, err := strconv.ParseUint(query.Get("after"), 10, 64)
	if err != nil && query.Get("after") != "" {
		writeError(w, http.StatusBadRequest, "after is not a number")
		return
	}
	wait, err := time.ParseDuration(query.Get("wait"))
	if err != nil && query.Get("wait") != "" {
		writeError(w, http.StatusBadRequest, "wait is not a duration")
		return
	}
	reply, ended := e.awaitEvents(r, seq, min(wait, maxEventWait))
	if ended {
		panic(http.ErrAbortHandler)
	}
	writeJSON(w, http.StatusOK, reply)
}

// awaitEvents waits until events whose number is greater than seq are visible,
// at most for the duration wait, and returns them. It reports in ended whether
// the engine crashed or the client disconnected during the wait.
func (e *Engine) awaitEvents(r *http.Request, seq uint64, wait time.Duration) (reply eventsReply, ended bool) {
	clock := e.settings.clock
	deadline := clock.Now().Add(wait)
	for {
		now := clock.Now()
		e.mu.Lock()
		events, next := e.events.after(seq, now)
		changed, incarnationEnded, incarnation := e.events.changed, e.ended, e.incarnation
		e.mu.Unlock()
		if len(events) > 0 || !now.Before(deadline) {
			return newEventsReply(incarnation, events), false
		}
		until := deadline
		if !next.IsZero() && next.Before(until) {
			until = next
		}
		timer := clock.NewTimer(until.Sub(now))
		select {
		case <-changed:
		case <-timer.Chan():
		case <-incarnationEnded:
			ended = true
		case <-r.Context().Done():
			ended = true
		}
		timer.Stop()
		if ended {
			return eventsReply{}, true
		}
	}
}

func newEventsReply(incarnation string, events []cacheEvent) eventsReply {
	reply := eventsReply{Incarnation: incarnation, Events: make([]eventReply, len(events))}
	for i, ev := range events {
		reply.Events[i] = eventReply{Seq: ev.seq, Kind: ev.kind}
		if ev.kind != eventCleared {
			reply.Events[i].Key = hex.EncodeToString(ev.key[:])
		}
	}
	return reply
}
