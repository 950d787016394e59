// Command lateorder shows what becomes of runners that carry out a late order after they
// started again under their ids: the order names a version that has been replaced since.
package main

import (
	"fmt"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"amaranthreach.example/review/standin2/lab"
)

const (
	engineCount = 7
	lateCount   = 2 // Share of the runners that crash: 0.29.
	lateBy      = 11500 * time.Millisecond
	thirdAfter  = 5 * time.Second         // From the naming of version 2 to that of version 3.
	crashAfter  = 9500 * time.Millisecond // From the naming of version 2 to the crash.
	downTime    = time.Second
	watchTime   = 30 * time.Second // From the naming of version 2 on.
	stableTime  = 12 * time.Second // 1.5 x versionMs.
	interval    = 100 * time.Millisecond
)

func main() {
	trouble := os.Getenv("TROUBLE") != "0"
	only := os.Getenv("ONLY") // "late" or "crash": one of the two disruptions.
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
	recife := lab.NewRouter(1, "front-recife-1", "recife", address, dir, nil, record)
	fortaleza := lab.NewRouter(2, "front-fortaleza-1", "fortaleza", address, dir, []string{recife.Control()}, record)
	routers := []*lab.Router{recife, fortaleza}
	for _, r := range routers {
		r.Start()
	}
	for _, r := range routers {
		r.AwaitReady()
	}
	var group sync.WaitGroup
	var answered, other atomic.Int64
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
				a := client.Send(routers[i%2], "POST", "/stream/x", id, 5*time.Second, lab.StreamHeader(id), nil)
				if a.Status == 200 && a.Err == nil {
					answered.Add(1)
				} else {
					other.Add(1)
				}
			}()
		}
	}()
	time.Sleep(4 * time.Second)

	if trouble && only != "crash" {
		for _, e := range engines[:lateCount] {
			e.LateOrders, e.LateBy = 1, lateBy
		}
	}
	record.Add("version 2 is named")
	start := time.Now()
	lab.NameVersion(store, 2)
	time.Sleep(thirdAfter)
	for _, e := range engines {
		record.Add("%s has version %d", e.Name, e.Version())
	}
	record.Add("version 3 is named")
	acknowledged := time.Now()
	lab.NameVersion(store, 3)
	time.Sleep(time.Until(start.Add(crashAfter)))
	if trouble && only != "late" {
		for _, e := range engines[:lateCount] {
			go e.Crash(downTime)
		}
	}
	time.Sleep(time.Until(start.Add(watchTime)))
	old := 0
	for _, e := range engines {
		record.Add("%s has version %d", e.Name, e.Version())
		if e.Version() < 3 {
			old++
		}
	}
	record.Add("%.1f s after version 3 was named, and %.1f s after the runners that crashed were back", time.Since(acknowledged).Seconds(), time.Since(start.Add(crashAfter+downTime)).Seconds())
	close(stop)
	group.Wait()
	record.Add("%d requests answered, %d not", answered.Load(), other.Load())
	if old > 1 && old*10 > engineCount && time.Since(start.Add(crashAfter+downTime)) >= stableTime {
		record.Add("VERSION is broken: %d of %d runners still have an older version", old, engineCount)
		lab.Exit(1)
	}
	record.Add("VERSION held")
	lab.Exit(0)
}
