// Command replaced shows how long the weights of the runners stay old after the machines of
// the routers were replaced, one after the other, by new ones at other addresses.
package main

import (
	"fmt"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"amaranthreach.example/review/standin2/lab"
)

const (
	replacements = 85
	pause        = 250 * time.Millisecond // Between two replacements.
	settleTime   = 9 * time.Second        // A stop takes up to 8 s.
	engineCount  = 3
	allTime      = 11 * time.Second // versionAllMs.
	watchTime    = 16 * time.Second
	interval     = 100 * time.Millisecond
)

func main() {
	trouble := os.Getenv("TROUBLE") != "0"
	record := lab.NewRecord(os.Args[1])
	dir := lab.TempDir()
	store := lab.NewStore()
	address := lab.Serve(store.Handler())
	lab.PutConfig(store, 1)
	lab.NameVersion(store, 1)
	stop := make(chan struct{})
	var engines []*lab.Engine
	for i := range engineCount {
		e := lab.NewEngine(fmt.Sprintf("i-engine%d", i+1), lab.EnginePool, "recife", store, record)
		engines = append(engines, e)
		go e.Beat(stop)
	}
	var live []*lab.Router
	add := func(n int) {
		var seeds []string
		if len(live) > 0 {
			seeds = []string{live[len(live)-1].Control()}
		}
		r := lab.NewRouter(n, fmt.Sprintf("front-recife-%03d", n), "recife", address, dir, seeds, record)
		r.Start()
		r.AwaitReady()
		live = append(live, r)
	}
	add(1)
	add(2)
	lab.NameVersion(store, 2)
	time.Sleep(5 * time.Second)
	var group sync.WaitGroup
	for n := 3; trouble && n < 3+replacements; n++ {
		add(n)
		old := live[0]
		live = live[1:]
		old.Signal(syscall.SIGTERM)
		group.Add(1)
		go func() {
			defer group.Done()
			old.Wait()
		}()
		time.Sleep(pause)
	}
	time.Sleep(settleTime)
	group.Wait()
	record.Add("%d machines serve, and %d are registered in the store", len(live), len(store.Rows("amaranthreach", "router/")))

	var answered, refused, other atomic.Int64
	client := lab.NewClient(record)
	group.Add(1)
	go func() {
		defer group.Done()
		for i := 0; ; i++ {
			select {
			case <-stop:
				return
			case <-time.After(interval):
			}
			group.Add(1)
			go func() {
				defer group.Done()
				id := client.NewID()
				a := client.Send(live[i%2], "POST", "/stream/x", id, 5*time.Second, lab.StreamHeader(id), nil)
				switch {
				case a.Status == 200 && a.Err == nil:
					answered.Add(1)
				case a.Status == 503:
					refused.Add(1)
				default:
					other.Add(1)
				}
			}()
		}
	}()
	time.Sleep(2 * time.Second)
	record.Add("version 3 is named")
	named := time.Now()
	lab.NameVersion(store, 3)
	time.Sleep(time.Until(named.Add(allTime)))
	old := 0
	for _, e := range engines {
		if e.Version() < 3 {
			old++
		}
	}
	record.Add("%.1f s after version 3 was named, %d of %d runners have an older version; so far %d requests answered, %d refused, %d neither", time.Since(named).Seconds(), old, engineCount, answered.Load(), refused.Load(), other.Load())
	time.Sleep(time.Until(named.Add(watchTime)))
	close(stop)
	group.Wait()
	record.Add("%d requests answered, %d refused, %d neither", answered.Load(), refused.Load(), other.Load())
	if old > 1 && old*10 > engineCount {
		record.Add("VERSION is broken")
		lab.Exit(1)
	}
	record.Add("VERSION held")
	lab.Exit(0)
}
