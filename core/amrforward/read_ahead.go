package amrforward

import (
	"net/http"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"golang.org/x/sync/errgroup"

	"amaranthreach.example/core/amrbytes"
)

// stallTime is the time after which a write to a caller counts as stalled, so that the
// answer is read ahead. Servers cut off what remains unread for some seconds, and most
// writes take less than a millisecond.
const stallTime = 50 * time.Millisecond

// readAhead is the body of an answer that goes on being read from the server while the
// caller does not read. As long as no write to the caller stalls, it has no goroutine and
// no buffer, and Read reads from the server. When the first write stalls, a goroutine
// begins to read into a queue of blocks, from which Read takes them to the end of the
// answer. The goroutine pauses while the bounds of the holder allow no further block, so
// that the server is held up.
type readAhead struct {
	Body
	held      *amrbytes.Holder
	clock     clockwork.Clock
	cancel    func() // Ends a read from the server that is in progress.
	endWrites func() // Ends a write to the caller that is in progress.
	group     errgroup.Group

	mu           sync.Mutex
	changed      *sync.Cond
	timer        clockwork.Timer // Checks for a stalled write; nil before the first write.
	timerRuns    bool
	writing      bool
	writingSince time.Time
	started      bool
	stopped      bool
	blocks       []*aheadBlock // The first one is not counted, as without reading ahead.
	waiting      bool          // The goroutine waits for room for a block.
	granted      bool          // It may use the room of a block that the caller has read.
	err          error         // Of the last read from the server.
}

// aheadBlock holds a part of an answer: data[start:end].
type aheadBlock struct {
	data       *[copyBufferBytes]byte
	start, end int
}

// newReadAhead returns the body, to be read ahead of the caller of the exchange.
func (x *exchange) newReadAhead(body Body) *readAhead {
	r := &readAhead{Body: body, held: x.request.Held, clock: x.f.clock, cancel: x.cancelAttempt}
	r.changed = sync.NewCond(&r.mu)
	r.endWrites = func() {
		_ = http.NewResponseController(x.w).SetWriteDeadline(r.clock.Now()) // Without deadlines, the write ends with the caller.
	}
	return r
}

// beginWrite records that a write to the caller begins.
func (r *readAhead) beginWrite() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.writing, r.writingSince = true, r.clock.Now()
	switch {
	case r.started || r.timerRuns:
		return
	case r.timer == nil:
		r.timer = r.clock.AfterFunc(stallTime, r.checkStall)
	default:
		r.timer.Reset(stallTime)
	}
	r.timerRuns = true
}

// endWrite records that the write has ended.
func (r *readAhead) endWrite() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.writing = false
}

// checkStall starts to read ahead if the write in progress has taken stallTime.
func (r *readAhead) checkStall() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.timerRuns = false
	if !r.writing || r.started || r.stopped {
		return
	}
	if left := stallTime - r.clock.Since(r.writingSince); left > 0 {
		r.timerRuns = true
		r.timer.Reset(left)
		return
	}
	r.started = true
	r.group.Go(r.fill)
}

// fill reads the answer from the server to its end. It always returns nil.
func (r *readAhead) fill() error {
	r.held.OnBreakOff(r.endWrites)
	for {
		b := r.freeBlock()
		if b == nil {
			return nil
		}
		n, err := r.Body.Read(b.data[b.end:])
		r.mu.Lock()
		b.end += n
		r.err = err
		r.changed.Broadcast()
		r.mu.Unlock()
		if err != nil {
			return nil
		}
	}
}

// freeBlock waits until there is room and returns the block to read into. It returns nil
// if the answer is no longer to be read.
func (r *readAhead) freeBlock() *aheadBlock {
	r.mu.Lock()
	defer r.mu.Unlock()
	for !r.stopped {
		if n := len(r.blocks); n > 0 && r.blocks[n-1].end < copyBufferBytes {
			return r.blocks[n-1]
		}
		if len(r.blocks) == 0 || r.granted || r.held.TryAhead(copyBufferBytes) {
			r.granted = r.granted && len(r.blocks) == 0
			b := &aheadBlock{data: copyBuffers.Get().(*[copyBufferBytes]byte)}
			r.blocks = append(r.blocks, b)
			return b
		}
		r.waiting = true
		r.changed.Wait()
		r.waiting = false
	}
	return nil
}

// Read reads the next bytes of the answer.
func (r *readAhead) Read(p []byte) (int, error) {
	r.mu.Lock()
	if !r.started {
		r.mu.Unlock()
		return r.Body.Read(p)
	}
	defer r.mu.Unlock()
	for {
		if len(r.blocks) > 0 && r.blocks[0].start < r.blocks[0].end {
			return r.take(p), nil
		}
		if r.err != nil {
			return 0, r.err
		}
		r.changed.Wait()
	}
}

// take moves bytes of the first block to p. The caller must hold r.mu.
func (r *readAhead) take(p []byte) int {
	b := r.blocks[0]
	n := copy(p, b.data[b.start:b.end])
	b.start += n
	if b.start == copyBufferBytes {
		r.drop()
		r.changed.Broadcast()
	}
	return n
}

// drop removes the first block. Its room goes to the goroutine if that waits: others may take
// all room that becomes free, and the server cuts off an answer that is not read meanwhile. The
// caller must hold r.mu.
func (r *readAhead) drop() {
	copyBuffers.Put(r.blocks[0].data)
	r.blocks = r.blocks[1:]
	switch {
	case len(r.blocks) == 0:
	case r.waiting && !r.granted:
		r.granted = true
	default:
		r.held.ReleaseAhead(copyBufferBytes)
	}
}

// Close ends reading ahead and closes the body of the server. It must not be called while
// a write to the caller is in progress.
func (r *readAhead) Close() error {
	r.mu.Lock()
	r.stopped = true
	if r.timer != nil {
		r.timer.Stop()
	}
	if r.started && r.err == nil {
		r.cancel() // The goroutine may be reading from the server.
	}
	r.changed.Broadcast()
	r.mu.Unlock()
	_ = r.group.Wait() // The function returns nil.
	for len(r.blocks) > 0 {
		r.drop()
	}
	if r.granted {
		r.held.ReleaseAhead(copyBufferBytes)
	}
	return r.Body.Close()
}
