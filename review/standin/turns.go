package main

import (
	"fmt"
	"strings"
	"sync/atomic"
	"time"
)

func init() { cases["turns"] = turns }

const (
	leaseMs     = 3 * time.Second
	thawSlackMs = 300 * time.Millisecond
)

// turns: the watches of the store hear nothing for a second, and then the store discards its
// history and cuts them. Meanwhile the machine that holds the lease of orders gives the last order
// of a rollout and is stopped as planned. The check is ONE, as written, for runners that check no
// fences: holders that take turns within leaseMs at one runner. Orders that arrive within
// thawSlackMs after watches hear again are left out, as for a link that heals.
func turns(t *trial) bool {
	t.configure(1,
		route{name: "chat", kind: "stream", service: "llm", timeout: 15 * time.Second, goal: 400 * time.Millisecond, attempts: 2, resumable: true, sticky: true},
	)
	var runners []*runner
	for i := range 3 {
		runners = append(runners, t.addRunner(&runner{id: fmt.Sprintf("i-llm%d", i+1), service: "llm", model: model, software: "s1", zone: "recife", events: 40, pause: 12 * time.Millisecond}))
	}
	for _, name := range []string{"front-recife-1", "front-recife-2"} {
		t.machines = append(t.machines, newProcess(t.record, name, "recife"))
	}
	t.connect()
	for _, p := range t.machines {
		p.start()
	}
	awaitReady(t.machines...)
	version := 1
	name := func() {
		version++
		t.add("weights named version=%d", version)
		t.store.put("op", "version/"+model, map[string]any{"model": model, "version": version})
	}
	await := func(what string, limit time.Duration, done func() bool) {
		for end := time.Now().Add(limit); !done(); time.Sleep(5 * time.Millisecond) {
			if time.Now().After(end) {
				cannotRun("not in time: %s", what)
			}
		}
		t.add("seen: %s", what)
	}
	// outdated returns the runners that don't hold the version.
	outdated := func(v int) (out []*runner) {
		for _, r := range runners {
			if r.weights.Load() != int64(v) {
				out = append(out, r)
			}
		}
		return out
	}
	holds := func(v int) func() bool { return func() bool { return len(outdated(v)) == 0 } }
	name()
	await("all have the first new weights", 10*time.Second, holds(2))
	time.Sleep(4 * time.Second)
	first := t.machines[0]
	if runners[0].ordersSeen()[0].Holder != first.name {
		first = t.machines[1]
	}
	t.add("%s holds the lease of orders", first.name)
	// As the first machine writes that it is about to order the last runner, watches hear
	// nothing for a second.
	deaf := make(chan *runner, 1)
	t.store.mu.Lock()
	t.store.onWrite = func(key string, value []byte) {
		left := outdated(3)
		if strings.HasPrefix(key, "rollout") && len(left) == 1 && contains(value, left[0].id) {
			t.store.onWrite = nil
			t.store.deaf = t.trouble
			deaf <- left[0]
		}
	}
	t.store.mu.Unlock()
	name()
	var last *runner
	select {
	case last = <-deaf:
	case <-time.After(15 * time.Second):
		cannotRun("nobody takes the rollout up")
	}
	ordered := len(last.ordersSeen())
	t.add("trouble: watches hear nothing: %v", t.trouble)
	var heard atomic.Int64 // When watches hear again.
	if t.trouble {
		time.AfterFunc(time.Second, func() {
			t.add("the store discards its history and cuts the watches")
			heard.Store(time.Now().UnixNano())
			t.store.compact()
		})
	}
	await("the order for the last runner", 6*time.Second, func() bool { return len(last.ordersSeen()) > ordered })
	first.terminate()
	await("all have the next weights", 6*time.Second, holds(3))
	resigned := func() bool {
		return contains(t.store.value("amaranthreach", "rollout/1"), `"resigned":true`)
	}
	await("the lease was given up", 6*time.Second, resigned)
	time.Sleep(400 * time.Millisecond)
	name()
	await("all have the last weights", 20*time.Second, holds(4))
	time.Sleep(500 * time.Millisecond)
	broken := false
	for _, r := range runners {
		orders := r.ordersSeen()
		for i, o := range orders[1:] {
			before := orders[i]
			gap := o.At.Sub(before.At)
			if o.Holder == before.Holder || gap >= leaseMs {
				continue
			}
			if after := o.At.Sub(time.Unix(0, heard.Load())); after >= 0 && after < thawSlackMs {
				t.add("not counted: an order within thawSlackMs after watches hear again")
				continue
			}
			broken = true
			t.add("ONE %s ordered %d ms after %s at %s", o.Holder, gap.Milliseconds(), before.Holder, r.id)
			fmt.Printf("ONE: %s ordered %d ms after %s at %s\n", o.Holder, gap.Milliseconds(), before.Holder, r.id)
		}
	}
	return broken
}

// contains reports whether the value contains the text.
func contains(value []byte, text string) bool {
	return strings.Contains(string(value), text)
}
