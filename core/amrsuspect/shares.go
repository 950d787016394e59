package amrsuspect

import lru "github.com/hashicorp/golang-lru/v2"

// maxCounted is the number of prompts after which the counts are halved, so that the
// shares follow the traffic.
const maxCounted = 8192

// shares counts in which share of the answered prompts the parts are. Create it with
// newShares.
type shares struct {
	prompts int
	counts  *lru.Cache[PartKey, int]
}

func newShares() *shares {
	return &shares{counts: newPartCache[PartKey, int]()}
}

// add counts an answered prompt with the parts.
func (s *shares) add(parts []PartKey) {
	s.prompts++
	for _, part := range parts {
		n, _ := s.counts.Get(part)
		s.counts.Add(part, n+1)
	}
	if s.prompts < maxCounted {
		return
	}
	s.prompts /= 2
	for _, part := range s.counts.Keys() {
		n, _ := s.counts.Peek(part)
		s.counts.Add(part, n/2)
	}
}

// of returns the share of the prompts that have the part, at least that of one more
// prompt, and false if too few prompts have been answered to know.
func (s *shares) of(part PartKey) (share float64, known bool) {
	if s.prompts < minAnswers {
		return 0, false
	}
	n, _ := s.counts.Peek(part)
	return float64(n+1) / float64(s.prompts+1), true
}
