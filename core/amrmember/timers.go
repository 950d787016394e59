package amrmember

import (
	"container/heap"
	"time"
)

// timer is a scheduled probe of a backend server.
type timer struct {
	at   time.Time
	name string
}

// timers is a min-heap of timers by time. Canceled timers are not removed before
// they are due: Members.tick ignores them.
type timers []timer

func (t *timers) push(next timer) {
	heap.Push((*timerHeap)(t), next)
}

func (t *timers) pop() timer {
	return heap.Pop((*timerHeap)(t)).(timer)
}

// timerHeap implements heap.Interface.
type timerHeap []timer

func (h timerHeap) Len() int           { return len(h) }
func (h timerHeap) Less(i, j int) bool { return h[i].at.Before(h[j].at) }
func (h timerHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }
func (h *timerHeap) Push(x any)        { *h = append(*h, x.(timer)) }
func (h *timerHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	*h = old[:len(old)-1]
	return last
}
