package amradmit

import "slices"

// PendingPrefills returns the requests whose prompts are not computed yet. The
// requests submitted to the engine come first, in the order of submission, and
// then the waiting requests, in the order of arrival.
func (q *Queue) PendingPrefills() []Request {
	requests := make([]Request, 0, len(q.prefills)+len(q.waiting))
	for _, e := range slices.Concat(q.prefills, q.waiting) {
		requests = append(requests, e.Request)
	}
	return requests
}
