package amradmit

import "slices"

// Uncomputed returns the requests whose prompts are not computed yet: those
// handed to the engine, then those that wait, in the order of their arrival.
func (q *Queue) Uncomputed() []Request {
	requests := make([]Request, 0, len(q.handed)+len(q.waiting))
	for _, e := range slices.Concat(q.handed, q.waiting) {
		requests = append(requests, e.Request)
	}
	return requests
}
