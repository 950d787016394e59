package amrscale

import (
	"container/heap"
	"time"
)

// event is something that happens at a time.
type event struct {
	at  time.Duration
	seq int
	do  func()
}

// eventQueue orders events by time, and those of the same time by their creation.
type eventQueue []event

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].seq < q[j].seq
}
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)   { *q = append(*q, x.(event)) }
func (q *eventQueue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

// at schedules an event.
func (s *simulation) at(t time.Duration, do func()) {
	s.seq++
	heap.Push(&s.events, event{at: max(t, s.now), seq: s.seq, do: do})
}
