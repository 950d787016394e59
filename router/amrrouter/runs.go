package amrrouter

import (
	"sync"

	"golang.org/x/sync/errgroup"
)

// runs are the non-idempotent requests in progress, which outlive their
// callers' connections. The zero value is ready for use.
type runs struct {
	mu     sync.Mutex
	closed bool
	group  errgroup.Group
}

// start runs f, or reports false after wait has been called.
func (r *runs) start(f func() error) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.closed {
		return false
	}
	r.group.Go(f)
	return true
}

// wait lets no more runs start and waits for those in progress.
func (r *runs) wait() error {
	r.mu.Lock()
	r.closed = true
	r.mu.Unlock()
	return r.group.Wait()
}
