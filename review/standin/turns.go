package main

import (
	"fmt"
	"strings"
	"time"
)

func init() { cases["turns"] = turns }

const leaseMs = 3 * time.Second

// turns: the watches of the store hear nothing for a second, and then the store discards its
// history and cuts them. Meanwhile the machine that holds the lease of orders gives an order and
// is stopped as planned. The check is ONE, as written, for runners that check no fences: holders
// that take turns within leaseMs at one runner.
func turns(t *trial) bool {
	t.configure(1,
		route{name: "chat", kind: "stream", service: "llm", timeout: 15 * time.Second, goal: 400 * time.Millisecond, attempts: 2, resumable: true, sticky: true},
	)
	r := t.addRunner(&runner{id: "i-llm1", service: "llm", model: model, software: "s1", zone: "recife", events: 40, pause: 12 * time.Millisecond})
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
	holds := func(v int) func() bool { return func() bool { return r.weights.Load() == int64(v) } }
	name()
	await("the runner has the first new weights", 10*time.Second, holds(2))
	time.Sleep(4 * time.Second)
	first := t.machines[0]
	if len(r.ordersSeen()) > 0 && r.ordersSeen()[0].Holder != first.name {
		first = t.machines[1]
	}
	second := t.machines[0]
	if second == first {
		second = t.machines[1]
	}
	t.add("%s holds the lease of orders", first.name)
	// As the first machine writes that it is about to order the runner, watches hear nothing
	// for a second.
	deaf := make(chan struct{})
	t.store.mu.Lock()
	t.store.onWrite = func(key string, value []byte) {
		if strings.HasPrefix(key, "rollout") && contains(value, r.id) {
			t.store.onWrite = nil
			t.store.deaf = t.trouble
			close(deaf)
		}
	}
	t.store.mu.Unlock()
	ordered := len(r.ordersSeen())
	name()
	select {
	case <-deaf:
	case <-time.After(6 * time.Second):
		cannotRun("nobody takes the rollout up")
	}
	t.add("trouble: watches hear nothing: %v", t.trouble)
	if t.trouble {
		time.AfterFunc(time.Second, func() {
			t.add("the store discards its history and cuts the watches")
			t.store.compact()
		})
	}
	await("an order for the next weights", 6*time.Second, func() bool { return len(r.ordersSeen()) > ordered })
	first.terminate()
	await("the runner has the next weights", 6*time.Second, holds(3))
	resigned := func() bool {
		return contains(t.store.value("amaranthreach", "rollout/1"), `"resigned":true`)
	}
	await("the lease was given up", 6*time.Second, resigned)
	time.Sleep(400 * time.Millisecond)
	name()
	await("the runner has the last weights", 12*time.Second, holds(4))
	time.Sleep(500 * time.Millisecond)
	broken := false
	orders := r.ordersSeen()
	for i, o := range orders[1:] {
		before := orders[i]
		gap := o.At.Sub(before.At)
		if o.Holder == before.Holder || gap >= leaseMs {
			continue
		}
		broken = true
		t.add("ONE %s ordered %d ms after %s at %s", o.Holder, gap.Milliseconds(), before.Holder, r.id)
		fmt.Printf("ONE: %s ordered %d ms after %s at %s\n", o.Holder, gap.Milliseconds(), before.Holder, r.id)
	}
	return broken
}

// contains reports whether the value contains the text.
func contains(value []byte, text string) bool {
	return strings.Contains(string(value), text)
}
