package amrrouter

import (
	"sync"

	"golang.org/x/sync/errgroup"
)

// backgroundTasks runs tasks that outlive the connection of their caller, such as
// non-idempotent requests, and for which the router waits when it stops. The zero
// value is ready to use. It is safe for concurrent use.
type backgroundTasks struct {
	mu     sync.Mutex
	closed bool
	group  errgroup.Group
}

// start runs f on a goroutine of its own. It returns false, without running f, once
// wait has been called.
func (b *backgroundTasks) start(f func() error) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.closed {
		return false
	}
	b.group.Go(f)
	return true
}

// wait rejects further tasks and waits for those in progress. It returns their
// first error.
func (b *backgroundTasks) wait() error {
	b.mu.Lock()
	b.closed = true
	b.mu.Unlock()
	return b.group.Wait()
}
