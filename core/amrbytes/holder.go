package amrbytes

// Holder counts the bytes that are held for one request. It is safe for concurrent use.
// The methods of a nil Holder count nothing and set no limit.
type Holder struct {
	account  *Account
	breakOff func()

	// Guarded by account.mu.
	bytes  int64
	ahead  int64 // Part of bytes that was read ahead of the caller.
	event  int64 // Part of bytes that belongs to an incomplete event.
	broken bool
	closed bool
}

// Add counts n more bytes, which cannot be avoided. If they are beyond the bound, the
// largest holders are broken off. It returns false if this holder is one of them or was
// before; the bytes are then not counted.
func (h *Holder) Add(n int64) bool {
	if h == nil {
		return true
	}
	a := h.account
	a.mu.Lock()
	ok := !h.broken && !h.closed
	var breakOff []func()
	if ok {
		breakOff, ok = a.makeRoom(h, n)
	}
	if ok {
		h.bytes += n
		a.held += n
	}
	a.mu.Unlock()
	for _, f := range breakOff {
		f()
	}
	return ok
}

// AddEvent counts n more bytes of an incomplete event, as Add does.
func (h *Holder) AddEvent(n int64) bool {
	if !h.Add(n) {
		return false
	}
	h.countEvent(n)
	return true
}

// ReleaseEvent counts n bytes less, which AddEvent has counted.
func (h *Holder) ReleaseEvent(n int64) {
	h.countEvent(-n)
	h.Release(n)
}

// countEvent counts n more bytes of an incomplete event, which are part of the held bytes.
func (h *Holder) countEvent(n int64) {
	if h == nil {
		return
	}
	h.account.mu.Lock()
	defer h.account.mu.Unlock()
	h.event += n
}

// holderSize is the size of a holder, by which it is broken off.
type holderSize struct {
	event int64 // Bytes of an incomplete event; 0 up to usualEventBytes.
	bytes int64
}

// exceeds reports whether a holder of the size is broken off before one of the other size. A
// caller that reads slowly thus keeps what was read ahead for it while there are events
// without end.
func (s holderSize) exceeds(other holderSize) bool {
	if s.event != other.event {
		return s.event > other.event
	}
	return s.bytes > other.bytes
}

// size returns the size of the holder with n more bytes. The caller must hold account.mu.
func (h *Holder) size(n int64) holderSize {
	s := holderSize{bytes: h.bytes + n}
	if h.event > usualEventBytes {
		s.event = h.event
	}
	return s
}

// TryAhead counts n more bytes of the answer that are read ahead of the caller. It
// returns false, and counts nothing, if they are beyond the limit of one caller or of all
// callers together.
func (h *Holder) TryAhead(n int64) bool {
	if h == nil {
		return false
	}
	a := h.account
	a.mu.Lock()
	defer a.mu.Unlock()
	if h.broken || h.closed || h.ahead+n > a.aheadLimit() {
		return false
	}
	if float64(a.ahead+n) > aheadShare*float64(a.bound) || float64(a.held+n) > maxShare*float64(a.bound) {
		return false
	}
	h.ahead += n
	a.ahead += n
	h.bytes += n
	a.held += n
	return true
}

// ReleaseAhead counts n bytes less of the answer, which the caller has read.
func (h *Holder) ReleaseAhead(n int64) {
	if h == nil {
		return
	}
	h.account.mu.Lock()
	defer h.account.mu.Unlock()
	if h.closed {
		return
	}
	h.ahead -= n
	h.account.ahead -= n
	h.release(n)
}

// Release counts n bytes less, which Add has counted.
func (h *Holder) Release(n int64) {
	if h == nil {
		return
	}
	h.account.mu.Lock()
	defer h.account.mu.Unlock()
	if !h.closed {
		h.release(n)
	}
}

// release counts n bytes less. The caller must hold account.mu.
func (h *Holder) release(n int64) {
	h.bytes -= n
	h.account.held -= n
	if h.broken {
		h.account.releasing -= n
	}
}

// OnBreakOff adds a function that is called, after those before it, if the request is to be
// broken off. It calls the function at once if that was decided before.
func (h *Holder) OnBreakOff(f func()) {
	if h == nil {
		return
	}
	h.account.mu.Lock()
	broken, before := h.broken, h.breakOff
	h.breakOff = func() {
		before()
		f()
	}
	h.account.mu.Unlock()
	if broken {
		f()
	}
}

// Broken reports whether the request was broken off, because it held the most.
func (h *Holder) Broken() bool {
	if h == nil {
		return false
	}
	h.account.mu.Lock()
	defer h.account.mu.Unlock()
	return h.broken
}

// Close releases all bytes of the holder.
func (h *Holder) Close() {
	if h == nil {
		return
	}
	a := h.account
	a.mu.Lock()
	defer a.mu.Unlock()
	if h.closed {
		return
	}
	a.ahead -= h.ahead
	h.release(h.bytes)
	h.ahead, h.closed = 0, true
	delete(a.holders, h)
}
