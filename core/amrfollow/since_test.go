package amrfollow_test

import (
	"context"
	"log/slog"
	"testing"
	"testing/synctest"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"

	"amaranthreach.example/core/amrfollow"
)

// timedTable is a table whose successive responses are given.
type timedTable struct {
	start     time.Time
	responses []timedResponse
	end       context.CancelFunc // Called when no response is left.
}

// timedResponse is a response of a timedTable, with a row that has changed.
type timedResponse struct {
	wait    time.Duration // Time until it arrives.
	partial bool
	down    bool // There is none.
}

var realClock = clockwork.NewRealClock()

// Snapshot returns the next response.
func (s *timedTable) Snapshot(ctx context.Context) (amrfollow.Batch, error) {
	return s.respond(ctx)
}

// Changes returns the next response.
func (s *timedTable) Changes(ctx context.Context, _ amrfollow.Position, _ time.Duration) (amrfollow.Batch, error) {
	return s.respond(ctx)
}

func (s *timedTable) respond(context.Context) (amrfollow.Batch, error) {
	if len(s.responses) == 0 {
		s.end()
		return amrfollow.Batch{}, errDown
	}
	r := s.responses[0]
	s.responses = s.responses[1:]
	realClock.Sleep(r.wait)
	if r.down {
		return amrfollow.Batch{}, errDown
	}
	version := uint64(100 - len(s.responses))
	return amrfollow.Batch{
		Position: amrfollow.Position{Version: version}, Rows: []amrfollow.Row{{Key: "a", Version: version}},
		Now: realClock.Since(s.start), Partial: r.partial,
	}, nil
}

// TestSince guards against rows that count as written when they are read, although they may have
// been written long before: while the table could not be reached, or before a response that did
// not hold all changes. The opposite: a call that waited for a change dates it by the response.
func TestSince(t *testing.T) {
	for name, test := range map[string]struct {
		responses []timedResponse
		since     []time.Duration // Of the updates.
	}{
		"first":   {[]timedResponse{{wait: time.Second}}, []time.Duration{0}},
		"waited":  {[]timedResponse{{wait: time.Second}, {wait: 3 * time.Second}, {wait: time.Second}}, []time.Duration{0, 4 * time.Second, 5 * time.Second}},
		"away":    {[]timedResponse{{wait: time.Second}, {wait: time.Second, down: true}, {wait: 5 * time.Second}, {wait: time.Second}}, []time.Duration{0, time.Second, 8100 * time.Millisecond}},
		"partial": {[]timedResponse{{wait: time.Second}, {wait: 2 * time.Second, partial: true}, {wait: time.Second}, {wait: time.Second}}, []time.Duration{0, 3 * time.Second, time.Second, 5 * time.Second}},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				ctx, cancel := context.WithCancel(t.Context())
				table := &timedTable{start: realClock.Now(), responses: test.responses, end: cancel}
				var since []time.Duration
				f := amrfollow.New("test", table, slog.New(slog.DiscardHandler), func(u amrfollow.Update) { since = append(since, u.Since) })
				is.NoErr(f.Run(ctx))
				is.Equal(since, test.since)
			})
		})
	}
}
