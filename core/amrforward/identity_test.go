package amrforward_test

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"amaranthreach.example/core/amrforward"
	"amaranthreach.example/core/amrorigin"
	"amaranthreach.example/core/amrpool"
)

// brokenStreamBackend is a backend whose first answer breaks off between two events. It
// records to which servers requests are sent.
type brokenStreamBackend struct {
	servers []string
}

func (b *brokenStreamBackend) Send(_ context.Context, a amrforward.Attempt) (*amrforward.Answer, error) {
	if _, err := a.BeforeSend(); err != nil {
		return nil, err
	}
	b.servers = append(b.servers, a.Server)
	answer := &amrforward.Answer{Status: http.StatusOK, Header: http.Header{"Content-Type": {"text/event-stream"}}, Length: -1}
	answer.Body = io.NopCloser(strings.NewReader("id: 2\ndata: x\n\n"))
	if len(b.servers) == 1 {
		answer.Body = cutBody{strings.NewReader("id: 1\ndata: x\n\n")}
	}
	return answer, nil
}

// fakeIdentities says of the servers with a name that they may have started again, and of the
// beginnings of all streams whether they are certain.
type fakeIdentities struct {
	renewed string
	unsure  bool // Beginnings are not certain from the first event on.
	certain bool
	asked   int
}

func (i *fakeIdentities) Serves(_ context.Context, c *amrpool.Choice) bool {
	i.asked++
	return c.Name != i.renewed
}

func (i *fakeIdentities) Begins(context.Context, *amrpool.Choice) bool { return !i.unsure }

func (i *fakeIdentities) Began(context.Context, *amrpool.Choice, time.Time) bool { return i.certain }

// withdrawals records the streams that were withdrawn.
type withdrawals struct {
	fixedOrigin
	streams []amrorigin.Stream
}

func (w *withdrawals) Withdraw(s amrorigin.Stream, _ string) { w.streams = append(w.streams, s) }

// serveBroken serves a stream that breaks off, and returns what the caller got.
func serveBroken(t *testing.T, b amrforward.Backend, r *amrforward.Request, opts ...amrforward.Option) (body string) {
	w := httptest.NewRecorder()
	defer func() {
		_ = recover() // How a broken answer ends.
		body = w.Body.String()
	}()
	newEventSite(b, opts...).Serve(t.Context(), w, r)
	return ""
}

// TestStreamAtRenewedServer guards against streams that go on at a server which has started
// again under its name with other software, within one answer or when a caller takes one up,
// and against streams that do not go on although another server can.
func TestStreamAtRenewedServer(t *testing.T) {
	is := is.New(t)
	for _, renewed := range []string{"s1", "s2", ""} {
		b, identities := &brokenStreamBackend{}, &fakeIdentities{renewed: renewed, certain: true}
		got := serveBroken(t, b, streamRequest(), amrforward.WithIdentities(identities))
		other := map[string]string{"s1": "s2", "s2": "s1"}[b.servers[0]]
		if other == renewed {
			is.Equal(got, "id: 1\ndata: x\n\n")
			is.Equal(len(b.servers), 1)
		} else {
			is.Equal(got, "id: 1\ndata: x\n\nid: 2\ndata: x\n\n")
		}
		is.True(identities.asked > 0)

		b = &brokenStreamBackend{servers: []string{"first"}}
		r := streamRequest()
		r.LastEventID, r.Resumes = "1", "q"
		got = serveBroken(t, b, r, amrforward.WithIdentities(identities),
			amrforward.WithOrigins(fixedOrigin{amrorigin.Origin{Pool: amrorigin.PoolIDOf("app"), Software: amrpool.SoftwareIDOf("")}}))
		is.Equal(got, "id: 2\ndata: x\n\n")
		is.True(b.servers[1] != renewed)
	}
}

// TestUncertainBeginning guards against a stream that goes on although the server which began
// it may have had other software than the list said: here, and wherever its caller takes it up.
func TestUncertainBeginning(t *testing.T) {
	is := is.New(t)
	for _, identities := range []*fakeIdentities{{}, {unsure: true, certain: true}} {
		b, origins := &brokenStreamBackend{}, &withdrawals{}
		got := serveBroken(t, b, streamRequest(), amrforward.WithIdentities(identities), amrforward.WithOrigins(origins))
		is.Equal(got, "id: 1\ndata: x\n\n")
		is.Equal(len(b.servers), 1)
		is.Equal(origins.streams, []amrorigin.Stream{amrorigin.StreamOf("r")})
	}
}

// lateWithdrawal knows the origin of a stream until it is withdrawn.
type lateWithdrawal struct {
	fixedOrigin
	withdrawn *bool
}

func (o lateWithdrawal) Find(context.Context, amrorigin.Stream, string) (amrorigin.Origin, amrorigin.Certainty) {
	if *o.withdrawn {
		return amrorigin.Origin{}, amrorigin.Unknown
	}
	return o.origin, amrorigin.Known
}

// slowIdentities takes a while to confirm a server, in which the stream is withdrawn.
type slowIdentities struct {
	fakeIdentities
	takes    time.Duration
	withdraw *bool
}

func (i *slowIdentities) Serves(context.Context, *amrpool.Choice) bool {
	clock.Sleep(i.takes)
	*i.withdraw = true
	return true
}

// TestWithdrawnWhileWaiting guards against a stream that goes on although its origin was
// withdrawn while the request that takes it up waited for a server.
func TestWithdrawnWhileWaiting(t *testing.T) {
	is := is.New(t)
	withdrawn := false
	b := &brokenStreamBackend{servers: []string{"first"}}
	r := streamRequest()
	r.LastEventID, r.Resumes = "1", "q"
	origin := fixedOrigin{amrorigin.Origin{Pool: amrorigin.PoolIDOf("app"), Software: amrpool.SoftwareIDOf("")}}
	got := serveBroken(t, b, r, amrforward.WithIdentities(&slowIdentities{takes: 50 * time.Millisecond, withdraw: &withdrawn}),
		amrforward.WithOrigins(lateWithdrawal{origin, &withdrawn}))
	is.True(!strings.Contains(got, "id: 2"))
	is.Equal(len(b.servers), 1)
}

// leavingCaller is a caller that leaves after the first event.
type leavingCaller struct {
	*httptest.ResponseRecorder
}

func (c leavingCaller) Write(p []byte) (int, error) {
	n, _ := c.ResponseRecorder.Write(p)
	return n, io.ErrClosedPipe
}

// TestUncertainBeginningOfLeavingCaller guards against a stream whose caller leaves after the
// first event, takes it up elsewhere, and gets events of other software.
func TestUncertainBeginningOfLeavingCaller(t *testing.T) {
	is := is.New(t)
	for _, unsure := range []bool{true, false} {
		origins := &withdrawals{}
		forward := newEventSite(&brokenStreamBackend{}, amrforward.WithIdentities(&fakeIdentities{unsure: unsure, certain: true}), amrforward.WithOrigins(origins))
		func() {
			defer func() { _ = recover() }() // How a broken answer ends.
			forward.Serve(t.Context(), leavingCaller{httptest.NewRecorder()}, streamRequest())
		}()
		is.Equal(len(origins.streams) == 1, unsure)
	}
}
