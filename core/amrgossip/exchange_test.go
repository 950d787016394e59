package amrgossip_test

import (
	"context"
	"io"
	"log/slog"
	"net"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"
	"golang.org/x/sync/errgroup"

	"amaranthreach.example/core/amrgossip"
)

// beliefs have notices to tell once, and keep those heard.
type beliefs struct {
	loads   []amrgossip.Load
	parts   []amrgossip.Part
	strikes []amrgossip.Strike
	rollout *amrgossip.Rollout
	changed chan struct{}
	heard   chan amrgossip.Notice
}

func (b *beliefs) Notices() amrgossip.Notice {
	n := amrgossip.Notice{Loads: b.loads, Parts: b.parts, Strikes: b.strikes, Rollout: b.rollout}
	b.loads, b.parts, b.strikes, b.rollout = nil, nil, nil, nil
	return n
}

func (b *beliefs) Heard(_ time.Time, n amrgossip.Notice) { b.heard <- n }

func (b *beliefs) Urgent() <-chan struct{} { return b.changed }

func newBeliefs() *beliefs {
	return &beliefs{changed: make(chan struct{}, 1), heard: make(chan amrgossip.Notice, 100)}
}

// freeAddress returns an address at which nothing receives.
func freeAddress(t *testing.T) string {
	conn, err := net.ListenPacket("udp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	return conn.LocalAddr().String()
}

// awaitBound waits until something receives at the address.
func awaitBound(ctx context.Context, t *testing.T, clock clockwork.Clock, address string) {
	for ctx.Err() == nil {
		conn, err := net.ListenPacket("udp", address)
		if err != nil {
			return
		}
		_ = conn.Close()
		clock.Sleep(time.Millisecond)
	}
	t.Fatal("nothing receives at " + address)
}

// TestExchange checks that a router hears all that another one tells, in as
// many datagrams as it takes, and nothing of a sender that cannot be read.
func TestExchange(t *testing.T) {
	is := is.New(t)
	const loads, parts, strikes = 130, 90, 20
	teller, listener := newBeliefs(), newBeliefs()
	for i := range loads {
		teller.loads = append(teller.loads, amrgossip.Load{Server: uint64(i), InFlight: i, Pending: 100 * i})
	}
	for i := range parts {
		teller.parts = append(teller.parts, amrgossip.Part{Version: 3, Key: uint64(i) << 40, State: amrgossip.Cached, Place: 7, Tokens: i})
	}
	for i := range strikes {
		teller.strikes = append(teller.strikes, amrgossip.Strike{Fingerprint: [16]byte{byte(i)}, Cleared: i%2 == 0})
	}
	const changes = 60
	teller.rollout = &amrgossip.Rollout{Row: 9, Done: []amrgossip.Change{{Server: 1, Model: "m1", Version: 2}}}
	for i := range changes {
		teller.rollout.Changing = append(teller.rollout.Changing, amrgossip.Change{Server: 1<<63 + uint64(i), Model: "a-model-with-a-long-name", Version: 1000 + i})
	}
	rollout := *teller.rollout
	var heardRollout amrgossip.Rollout
	log := slog.New(slog.NewTextHandler(io.Discard, nil))
	clock := clockwork.NewRealClock()
	from, to := freeAddress(t), freeAddress(t)
	sender := amrgossip.New("r1", from, teller, clock, log)
	sender.SetPeers([]string{from, to, "no address"})
	receiver := amrgossip.New("r2", to, listener, clock, log)
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	var group errgroup.Group
	group.Go(func() error { return receiver.Run(ctx) })
	awaitBound(ctx, t, clock, to)

	strange, err := net.Dial("udp", to)
	is.NoErr(err)
	_, err = strange.Write([]byte("no notice"))
	is.NoErr(err)
	is.NoErr(strange.Close())

	group.Go(func() error { return sender.Run(ctx) })
	teller.changed <- struct{}{}
	heardLoads, heardParts, heardStrikes := 0, 0, 0
	for heardLoads < loads || heardParts < parts || heardStrikes < strikes || len(heardRollout.Changing) < changes {
		select {
		case n := <-listener.heard:
			is.Equal(n.From, "r1")
			if r := n.Rollout; r != nil {
				heardRollout.Row = max(heardRollout.Row, r.Row)
				heardRollout.Changing = append(heardRollout.Changing, r.Changing...)
				heardRollout.Done = append(heardRollout.Done, r.Done...)
			}
			heardLoads += len(n.Loads)
			heardStrikes += len(n.Strikes)
			for _, p := range n.Parts {
				is.Equal(p, amrgossip.Part{Version: 3, Key: uint64(heardParts) << 40, State: amrgossip.Cached, Place: 7, Tokens: heardParts})
				heardParts++
			}
		case <-ctx.Done():
			t.Fatalf("heard %d loads and %d parts", heardLoads, heardParts)
		}
	}
	is.Equal(heardRollout, rollout)
	cancel()
	is.NoErr(group.Wait())
	is.Equal(len(teller.heard), 0) // A router does not tell itself.
}
