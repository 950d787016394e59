package amrforward_test

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"os"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"amaranthreach.example/core/amrbytes"
	"amaranthreach.example/core/amrforward"
	"amaranthreach.example/core/amrpool"
	"amaranthreach.example/core/amrroute"
)

// heldSite is a forwarder with one server and callers, of which some are slow. The
// bytes held for its requests are not counted if the account is nil.
type heldSite struct {
	account *amrbytes.Account
	forward *amrforward.Forwarder

	answerBytes int
	answerDelay time.Duration // Time from a request to the start of its answer.
	cutAt       int           // Number of bytes after which the server breaks the answer off; 0 for never.
	unreadLimit time.Duration // Time for which an answer may remain unread before the server cuts it off.

	mu         sync.Mutex
	mostHeld   int64 // Largest number of held bytes, as seen at each read of a caller.
	writes     int   // Number of writes to callers that are in progress.
	readsAhead int   // Number of reads from the server during such a write.
}

// heldTimeout is the timeout of the routes.
const heldTimeout = 30 * time.Second

// newHeldSite returns a site with the bound in bytes. With 0, its requests count nothing. It must
// not be called in a bubble of synctest, because caches of the forwarder have goroutines
// that do not end.
func newHeldSite(bound int64) *heldSite {
	s := &heldSite{answerBytes: 256 << 10, unreadLimit: time.Second}
	fleet := amrpool.New()
	fleet.UpdateServer(amrpool.Listing{Name: "s1", Pool: "app", Address: "s1", Slots: 2000})
	options := []amrforward.Option{amrforward.WithWarmUp(0), amrforward.WithLogger(slog.New(slog.DiscardHandler))}
	if bound > 0 {
		s.account = amrbytes.New(bound)
		options = append(options, amrforward.WithHeldBytes(s.account))
	}
	s.forward = amrforward.New(fleet, s, options...)
	s.forward.SetTable(amrroute.New(amrroute.Records{Version: 1, Routes: []amrroute.Route{{
		Name: "plain", Host: "shop.example", Prefix: "/", Kind: amrroute.Idempotent, Timeout: heldTimeout, MaxServers: 1,
		Targets: []amrroute.Target{{Pool: "app", Weight: 1}},
	}}}))
	return s
}

// Send answers the attempt after the delay.
func (s *heldSite) Send(ctx context.Context, a amrforward.Attempt) (*amrforward.Answer, error) {
	if _, err := a.BeforeSend(); err != nil {
		return nil, err
	}
	select {
	case <-ctx.Done():
		return nil, ctx.Err()
	case <-clock.After(s.answerDelay):
	}
	return &amrforward.Answer{Status: http.StatusOK, Header: http.Header{}, Length: -1, Body: &expiringBody{site: s, left: s.answerBytes, readAt: clock.Now()}}, nil
}

// expiringBody is the body of an answer of a server that cuts off what is not read for some
// time.
type expiringBody struct {
	site   *heldSite
	left   int
	readAt time.Time
}

func (b *expiringBody) Read(p []byte) (int, error) {
	if clock.Since(b.readAt) > b.site.unreadLimit || b.site.cutAt > 0 && b.site.answerBytes-b.left >= b.site.cutAt {
		return 0, io.ErrUnexpectedEOF
	}
	b.readAt = clock.Now()
	if b.left == 0 {
		return 0, io.EOF
	}
	n := min(len(p), b.left)
	b.left -= n
	b.site.mu.Lock()
	if b.site.writes > 0 {
		b.site.readsAhead++
	}
	b.site.mu.Unlock()
	return n, nil
}

func (b *expiringBody) Close() error { return nil }

// slowCaller is the connection to a caller, which takes in the bytes of each write after a
// pause.
type slowCaller struct {
	site  *heldSite
	pause func(received int) time.Duration

	header   http.Header
	status   int
	body     bytes.Buffer
	mu       sync.Mutex
	deadline time.Time
}

func (c *slowCaller) Header() http.Header    { return c.header }
func (c *slowCaller) WriteHeader(status int) { c.status = status }

func (c *slowCaller) SetWriteDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.deadline = t
	return nil
}

func (c *slowCaller) overdue() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return !c.deadline.IsZero() && !clock.Now().Before(c.deadline)
}

func (c *slowCaller) Write(p []byte) (int, error) {
	c.site.addWrites(1)
	defer c.site.addWrites(-1)
	for end := clock.Now().Add(c.pause(c.body.Len())); clock.Now().Before(end); clock.Sleep(10 * time.Millisecond) {
		if c.overdue() {
			return 0, os.ErrDeadlineExceeded
		}
	}
	if c.site.account != nil {
		held := c.site.account.Stats().Held
		c.site.mu.Lock()
		c.site.mostHeld = max(c.site.mostHeld, held)
		c.site.mu.Unlock()
	}
	return c.body.Write(p)
}

// addWrites changes the number of writes in progress.
func (s *heldSite) addWrites(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.writes += n
}

// serve serves a request with a body of the size to the caller. It returns false if the
// answer was broken off.
func (s *heldSite) serve(ctx context.Context, bodyBytes int, c *slowCaller) (whole bool) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	c.site, c.header = s, http.Header{}
	r := &amrforward.Request{ID: "r", Method: http.MethodPost, Target: "/x", Path: "/x", Host: "shop.example", Header: http.Header{}, Arrived: clock.Now(), Body: make([]byte, bodyBytes)}
	if s.account != nil {
		r.Held = s.forward.Hold(int64(bodyBytes), cancel)
		defer r.Held.Close()
		if r.Held == nil {
			s.forward.RefuseHeld(ctx, c, r)
			return true
		}
	}
	defer func() {
		if v := recover(); v != nil {
			if err, ok := v.(error); !ok || !errors.Is(err, http.ErrAbortHandler) {
				panic(v)
			}
			whole = false
		}
	}()
	s.forward.Serve(ctx, c, r)
	return true
}

// pauseOnce returns a pause before the first byte only.
func pauseOnce(d time.Duration) func(int) time.Duration {
	return func(received int) time.Duration {
		if received == 0 {
			return d
		}
		return 0
	}
}

// TestCallerPauses guards against answers that are cut off because a caller does not read
// for two seconds, where the server waits for one. Without a bound, which is the control,
// the server cuts the answer off.
func TestCallerPauses(t *testing.T) {
	unbounded := newHeldSite(0)
	s := newHeldSite(16 << 20)
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		is.True(!unbounded.serve(t.Context(), 0, &slowCaller{pause: pauseOnce(2 * time.Second)}))

		c := &slowCaller{pause: pauseOnce(2 * time.Second)}
		is.True(s.serve(t.Context(), 0, c))
		is.Equal(c.body.Len(), s.answerBytes)
		is.Equal(s.account.Stats(), amrbytes.Stats{Bound: 16 << 20})
	})
}

// TestCallerKeepsUp guards against a goroutine and a copy for each answer, on hosts with a
// tenth of a core: only answers whose callers do not keep up are read ahead. A caller that
// takes 100 ms for its first bytes is the control.
func TestCallerKeepsUp(t *testing.T) {
	s := newHeldSite(16 << 20)
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		for range 20 {
			c := &slowCaller{pause: func(int) time.Duration { return 10 * time.Millisecond }}
			is.True(s.serve(t.Context(), 0, c))
			is.Equal(c.body.Len(), s.answerBytes)
		}
		is.Equal(s.readsAhead, 0)
		is.True(s.serve(t.Context(), 0, &slowCaller{pause: pauseOnce(100 * time.Millisecond)}))
		is.True(s.readsAhead > 0)
	})
}

// TestServerBreaksOffWhileCallerPauses guards against bytes that were read ahead and are
// lost when the server breaks the answer off, and against such an answer that looks whole.
func TestServerBreaksOffWhileCallerPauses(t *testing.T) {
	s := newHeldSite(16 << 20)
	s.cutAt = 200 << 10
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c := &slowCaller{pause: pauseOnce(2 * time.Second)}
		is.True(!s.serve(t.Context(), 0, c))
		is.Equal(c.body.Len(), s.cutAt)
		is.Equal(s.account.Stats(), amrbytes.Stats{Bound: 16 << 20})
	})
}

// TestCallerNeverReads guards against a caller that holds more than its part of the bound,
// or whose request does not end, and against an effect on other callers.
func TestCallerNeverReads(t *testing.T) {
	s := newHeldSite(16 << 20)
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s.answerBytes = 64 << 20
		var wait sync.WaitGroup
		start := clock.Now()
		wait.Go(func() {
			is.True(!s.serve(t.Context(), 0, &slowCaller{pause: pauseOnce(time.Hour)}))
		})
		clock.Sleep(5 * time.Second)
		held := s.account.Stats().Held
		is.True(held > 512<<10)
		is.True(held <= 1<<20+amrbytes.RequestBytes)
		s.answerBytes = 256 << 10
		other := &slowCaller{pause: pauseOnce(0)}
		is.True(s.serve(t.Context(), 0, other))
		is.Equal(other.body.Len(), s.answerBytes)
		is.True(clock.Since(start) < 6*time.Second)
		wait.Wait()
		is.True(clock.Since(start) < heldTimeout+time.Second)
		is.Equal(s.account.Stats().Held, int64(0))
	})
}

// TestThousandSlowCallers guards against a router that holds more than the bound for many
// callers which read slowly, and against answers that are lost or broken off for it: what
// is too much is refused.
func TestThousandSlowCallers(t *testing.T) {
	const callers, bound = 1000, 8 << 20
	s := newHeldSite(bound)
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		outcomes := make(map[string]int)
		var wait sync.WaitGroup
		for range callers {
			wait.Go(func() {
				c := &slowCaller{pause: func(int) time.Duration { return 100 * time.Millisecond }}
				whole := s.serve(t.Context(), 0, c)
				s.mu.Lock()
				defer s.mu.Unlock()
				switch {
				case whole && c.status == http.StatusOK && c.body.Len() == s.answerBytes:
					outcomes["whole"]++
				case c.status == http.StatusServiceUnavailable && c.header.Get("Retry-After") != "" && strings.Contains(c.body.String(), `"code":"overloaded","ran":"not-run"`):
					outcomes["refused"]++
				default:
					outcomes[fmt.Sprintf("status %d, %d bytes, whole %v", c.status, c.body.Len(), whole)]++
				}
			})
			clock.Sleep(time.Millisecond)
		}
		wait.Wait()
		t.Logf("%v, at most %d of %d bytes held", outcomes, s.mostHeld, int64(bound))
		is.Equal(outcomes["whole"]+outcomes["refused"], callers)
		is.True(outcomes["whole"] >= 200)
		is.True(s.mostHeld <= bound)
		is.Equal(s.account.Stats(), amrbytes.Stats{Bound: bound, Refusals: int64(outcomes["refused"])})
	})
}

// TestServerAnswersSlowly guards against bodies of requests that pile up while a server
// does not answer, and against bytes that count for ever.
func TestServerAnswersSlowly(t *testing.T) {
	const bound = 4 << 20
	s := newHeldSite(bound)
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s.answerDelay = 5 * time.Second
		var wait sync.WaitGroup
		refused := 0
		for range 100 {
			wait.Go(func() {
				c := &slowCaller{pause: pauseOnce(0)}
				is.True(s.serve(t.Context(), 64<<10, c))
				s.mu.Lock()
				defer s.mu.Unlock()
				if c.status == http.StatusServiceUnavailable {
					refused++
				}
			})
		}
		synctest.Wait()
		is.True(s.account.Stats().Held <= bound)
		is.True(s.account.Stats().Held > bound/2)
		wait.Wait()
		is.True(refused > 0)
		is.Equal(s.account.Stats(), amrbytes.Stats{Bound: bound, Refusals: int64(refused)})
		c := &slowCaller{pause: pauseOnce(0)}
		is.True(s.serve(t.Context(), 64<<10, c))
		is.Equal(c.status, http.StatusOK)
	})
}

// TestLargestIsBrokenOff guards against a router that exceeds the bound when bodies that
// were admitted grow, and against an answer that was broken off but looks complete.
func TestLargestIsBrokenOff(t *testing.T) {
	s := newHeldSite(1 << 20)
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s.unreadLimit = time.Hour
		var wait sync.WaitGroup
		start := clock.Now()
		wait.Go(func() {
			is.True(!s.serve(t.Context(), 300<<10, &slowCaller{pause: pauseOnce(time.Hour)}))
			is.True(clock.Since(start) < 3*time.Second)
		})
		clock.Sleep(2 * time.Second)
		first, second := s.forward.Hold(100<<10, func() {}), s.forward.Hold(80<<10, func() {})
		is.True(first.Add(250 << 10))
		is.True(second.Add(260 << 10)) // Both are smaller than the caller that does not read.
		wait.Wait()
		is.True(!first.Broken())
		is.True(!second.Broken())
		is.Equal(s.account.Stats(), amrbytes.Stats{Bound: 1 << 20, Held: 690<<10 + 2*amrbytes.RequestBytes, Breaks: 1})
		first.Close()
		second.Close()
	})
}
