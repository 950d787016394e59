package amrfollow_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
	"github.com/jonboulle/clockwork"
	"golang.org/x/sync/errgroup"

	"amaranthreach.example/core/amrfollow"
)

// TestFollower plays testdata/follower: the input of each step is what the
// table and the replica answer to the next calls, and the output what the
// consumer is told.
//
//	rows VERSION KEY=VERSION... [-KEY=VERSION]   an answer of the table
//	lost                                         the table's history is gone
//	down                                         the table does not answer
//	replica VERSION KEY=VERSION...               another router's copy
func TestFollower(t *testing.T) {
	datadriven.RunTest(t, "testdata/follower", func(t *testing.T, d *datadriven.TestData) string {
		p := &player{}
		for line := range strings.SplitSeq(d.Input, "\n") {
			words := strings.Fields(line)
			if words[0] == "replica" {
				p.replicas = append(p.replicas, batchOf(words[1:]))
				continue
			}
			p.answers = append(p.answers, words)
		}
		ctx, cancel := context.WithCancel(t.Context())
		p.end = cancel
		log := slog.New(slog.NewTextHandler(io.Discard, nil))
		clock := clockwork.NewFakeClock()
		f := amrfollow.New("test", p, log, p.apply, amrfollow.WithReplica(p), amrfollow.WithClock(clock))
		var group errgroup.Group
		group.Go(func() error { return f.Run(ctx) })
		for clock.BlockUntilContext(ctx, 1) == nil {
			clock.Advance(pauseStep)
		}
		if err := group.Wait(); err != nil {
			t.Fatal(err)
		}
		var keys []string
		for _, row := range f.Copy().Rows() {
			keys = append(keys, row.Key)
		}
		return p.out.String() + "copy: " + strings.Join(keys, " ") + "\n"
	})
}

// pauseStep is by how much the clock goes on while the follower pauses.
const pauseStep = 50 * time.Millisecond

type player struct {
	mu       sync.Mutex
	answers  [][]string
	replicas []amrfollow.Batch
	out      strings.Builder
	end      context.CancelFunc
}

var errDown = errors.New("down")

// Snapshot answers with the next line.
func (p *player) Snapshot(context.Context) (amrfollow.Batch, error) {
	return p.answer("all")
}

// Changes answers with the next line.
func (p *player) Changes(_ context.Context, after uint64, wait time.Duration) (amrfollow.Batch, error) {
	call := "after " + strconv.FormatUint(after, 10)
	if wait == 0 {
		call += " without waiting"
	}
	return p.answer(call)
}

func (p *player) answer(call string) (amrfollow.Batch, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.answers) == 0 {
		p.end()
		return amrfollow.Batch{}, errDown
	}
	words := p.answers[0]
	p.answers = p.answers[1:]
	fmt.Fprintf(&p.out, "asked for %s\n", call)
	switch words[0] {
	case "lost":
		return amrfollow.Batch{}, amrfollow.HistoryLost.New("gone")
	case "down":
		return amrfollow.Batch{}, errDown
	}
	return batchOf(words[1:]), nil
}

// Copy answers with the next copy.
func (p *player) Copy(_ context.Context, lastKnown bool) (amrfollow.Batch, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.replicas) == 0 {
		return amrfollow.Batch{}, errDown
	}
	batch := p.replicas[0]
	p.replicas = p.replicas[1:]
	wanted := "a replica"
	if lastKnown {
		wanted = "a replica for what it knew last"
	}
	fmt.Fprintln(&p.out, "asked", wanted)
	return batch, nil
}

func (p *player) apply(u amrfollow.Update) {
	p.mu.Lock()
	defer p.mu.Unlock()
	var rows []string
	for _, row := range u.Rows {
		text := fmt.Sprintf("%s=%d", row.Key, row.Version)
		if row.Deleted {
			text = "-" + text
		}
		rows = append(rows, text)
	}
	fmt.Fprintf(&p.out, "told %s regained=%v\n", strings.Join(rows, " "), u.Regained)
}

func batchOf(words []string) amrfollow.Batch {
	batch := amrfollow.Batch{Version: number(words[0])}
	for _, w := range words[1:] {
		key, version, _ := strings.Cut(w, "=")
		name, deleted := strings.CutPrefix(key, "-")
		batch.Rows = append(batch.Rows, amrfollow.Row{Key: name, Version: number(version), Deleted: deleted})
	}
	return batch
}

func number(text string) uint64 {
	n, err := strconv.ParseUint(text, 10, 64)
	if err != nil {
		panic(err)
	}
	return n
}
