package amrforward_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"

	"amaranthreach.example/core/amrforward"
	"amaranthreach.example/core/amrhttp"
	"amaranthreach.example/core/amrpool"
)

// pausingBackend calls pause between the choice of a server and the moment at which
// the request would be sent.
type pausingBackend struct {
	pause func(a amrforward.Attempt)
	sent  []string // Servers to which the request was sent.
}

func (b *pausingBackend) Send(_ context.Context, a amrforward.Attempt) (*amrforward.Answer, error) {
	b.pause(a)
	if _, err := a.BeforeSend(); err != nil {
		return nil, amrhttp.NotSent.Wrap(err, "withheld")
	}
	b.sent = append(b.sent, a.Server)
	return &amrforward.Answer{Status: http.StatusOK, Header: http.Header{}, Length: -1, Body: &body{data: "ok", err: http.ErrBodyReadAfterClose}}, nil
}

// TestPausedBeforeSend checks that a request is not sent by a choice that no longer
// holds when the process continues after a pause: its deadline has passed while the
// host was suspended, or its server has begun to drain or asked for no requests.
func TestPausedBeforeSend(t *testing.T) {
	drain := func(f *amrpool.Fleet, server string) {
		f.UpdateServer(amrpool.Listing{Name: server, Pool: "app", Address: server, Slots: 1, Draining: true})
	}
	for name, test := range map[string]struct {
		suspended time.Duration
		change    func(f *amrpool.Fleet, server string)
		refused   bool // The request is sent to no server.
	}{
		"suspended": {suspended: 5 * time.Second, refused: true},
		"draining":  {change: drain},
		"asks for time": {change: func(f *amrpool.Fleet, server string) {
			f.ObserveSignals(clock.Now(), clock.Now(), server, amrpool.Signals{Pause: time.Second})
		}},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s := &script{fleet: amrpool.New(), backend: &backend{}}
			s.newForwarder(10)
			for _, server := range []string{"s1", "s2"} {
				s.fleet.UpdateServer(amrpool.Listing{Name: server, Pool: "app", Address: server, Slots: 1})
			}
			boot := clockwork.NewFakeClockAt(clock.Now())
			first := ""
			b := &pausingBackend{}
			b.pause = func(a amrforward.Attempt) {
				if first != "" {
					return
				}
				first = a.Server
				boot.Advance(test.suspended)
				if test.change != nil {
					test.change(s.fleet, a.Server)
				}
			}
			forward := amrforward.New(s.fleet, b, amrforward.WithWarmUp(0), amrforward.WithBootClock(boot))
			forward.SetTable(s.forward.Table())
			w := httptest.NewRecorder()
			forward.Serve(t.Context(), w, &amrforward.Request{
				ID: "r", Method: http.MethodGet, Path: "/once/x", Host: "shop.example", Key: "k1", Header: http.Header{}, Arrived: clock.Now(),
			})
			if test.refused {
				is.Equal(len(b.sent), 0)
				is.Equal(w.Code, http.StatusServiceUnavailable)
				is.True(strings.Contains(w.Body.String(), `"ran":"not-run"`))
				return
			}
			is.Equal(len(b.sent), 1)
			is.True(b.sent[0] != first)
		})
	}
}
