// Command holders shows whether two routers order the same engine within the time in which
// holders must not take turns, after the store was restored from an older copy and all
// routers were killed at the same time.
package main

import (
	"fmt"
	"os"
	"slices"
	"sync"
	"syscall"
	"time"

	"amaranthreach.example/review/standin2/lab"
)

const (
	awayTime     = 300 * time.Millisecond  // The store is away.
	restartDelay = 300 * time.Millisecond  // From the kill of a process to its restart.
	copyAge      = 2 * time.Second         // Age of the copy from which the store comes back.
	nextVersion  = 1600 * time.Millisecond // From the last order for version 3 to the naming of version 4.
	watchTime    = 6 * time.Second
	engineCount  = 2
)

func main() {
	trouble := os.Getenv("TROUBLE") != "0"
	only := os.Getenv("ONLY") // "kill" or "restore": one of the two disruptions.
	record := lab.NewRecord(os.Args[1])
	dir := lab.TempDir()
	store := lab.NewStore()
	address := lab.Serve(store.Handler())
	lab.PutConfig(store, 1)
	lab.NameVersion(store, 1)
	stop := make(chan struct{})
	var engines []*lab.Engine
	var ordered sync.WaitGroup
	ordered.Add(engineCount)
	for i := range engineCount {
		e := lab.NewEngine(fmt.Sprintf("i-engine%d", i+1), lab.EnginePool, "recife", store, record)
		e.OnOrder = func(o lab.Order) {
			if o.Version == 3 {
				ordered.Done()
			}
		}
		engines = append(engines, e)
		go e.Beat(stop)
	}
	app := lab.NewEngine("i-app1", lab.AppPool, "recife", store, record)
	go app.Beat(stop)

	// The first router changes the weights once. Then two machines are added.
	recife := lab.NewRouter(1, "front-recife-1", "recife", address, dir, nil, record)
	fortaleza := lab.NewRouter(2, "front-fortaleza-1", "fortaleza", address, dir, []string{recife.Control()}, record)
	pessoa := lab.NewRouter(3, "front-joao-pessoa-1", "joao-pessoa", address, dir, []string{recife.Control()}, record)
	routers := []*lab.Router{recife, fortaleza, pessoa}
	recife.Start()
	recife.AwaitReady()
	lab.NameVersion(store, 2)
	time.Sleep(2500 * time.Millisecond)
	fortaleza.Start()
	pessoa.Start()
	fortaleza.AwaitReady()
	pessoa.AwaitReady()
	time.Sleep(3 * time.Second)
	saved := store.Copy()
	time.Sleep(copyAge)

	record.Add("version 3 is named")
	lab.NameVersion(store, 3)
	ordered.Wait()
	last := time.Now()
	if trouble && only != "restore" {
		for _, r := range routers {
			r.Signal(syscall.SIGKILL)
		}
	}
	if trouble && only != "kill" {
		record.Add("the store goes away")
		store.SetDown(true)
	}
	time.Sleep(min(awayTime, restartDelay))
	if trouble && only != "kill" {
		store.Restore(saved)
		lab.PutConfig(store, 1)
		lab.NameVersion(store, 3)
		for _, e := range append(slices.Clone(engines), app) {
			e.List()
		}
		store.SetDown(false)
		record.Add("the store is back from a copy of %v before version 3; the operator and the runners have written again", copyAge)
	}
	if trouble && only != "restore" {
		for _, r := range routers {
			r.Wait()
			r.Start()
		}
	}
	time.Sleep(time.Until(last.Add(nextVersion)))
	record.Add("version 4 is named")
	lab.NameVersion(store, 4)
	time.Sleep(watchTime)
	broken := false
	for _, e := range engines {
		broken = judge(e, record) || broken
	}
	for _, r := range routers {
		for _, line := range r.Log("lease of orders") {
			record.Add("log of %s: %s", r.Name, line)
		}
	}
	close(stop)
	if broken {
		record.Add("ONE is broken")
		lab.Exit(1)
	}
	record.Add("ONE held")
	lab.Exit(0)
}

// judge reports whether the orders to the engine break the rule: two holders with one fencing
// token, a lower token after a higher one, or holders that take turns within leaseMs.
func judge(e *lab.Engine, record *lab.Record) bool {
	broken := false
	for i, o := range e.Orders {
		for _, earlier := range e.Orders[:i] {
			if earlier.Holder != o.Holder && earlier.Fence == o.Fence {
				record.Add("%s: %s and %s gave orders with the fencing token %d", e.Name, earlier.Holder, o.Holder, o.Fence)
				broken = true
			}
			if o.Fence < earlier.Fence {
				record.Add("%s: fencing token %d after %d", e.Name, o.Fence, earlier.Fence)
				broken = true
			}
			if apart := o.At.Sub(earlier.At); earlier.Holder != o.Holder && apart < lab.LeaseMs*time.Millisecond {
				record.Add("%s: an order of %s %.3f s after one of %s", e.Name, o.Holder, apart.Seconds(), earlier.Holder)
				broken = true
			}
		}
	}
	return broken
}
