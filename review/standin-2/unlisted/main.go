// Command unlisted shows what becomes of streams that begin at a runner which has just
// started again under its id with another version of the software, and crashes once more.
package main

import (
	"fmt"
	"os"
	"strings"
	"sync"
	"time"

	"amaranthreach.example/review/standin2/lab"
)

const (
	engineCount = 4
	events      = 40
	pause       = 60 * time.Millisecond
	downTime    = time.Second
	beat        = 1200 * time.Millisecond // heartbeatMs.
	streams     = 6
	upTime      = 700 * time.Millisecond // From the second start to the second crash.
	older       = "v1"
	newer       = "v2"
)

func header(prefix, id string) map[string]string {
	return map[string]string{"Amaranthreach-Model": lab.Model, "Amaranthreach-Token-Count": "6500,80", "Amaranthreach-Prefix-Hash": prefix + ":6300," + id + ":200"}
}

func main() {
	trouble := os.Getenv("TROUBLE") != "0"
	record := lab.NewRecord(os.Args[1])
	dir := lab.TempDir()
	store := lab.NewStore()
	address := lab.Serve(store.Handler())
	lab.PutConfig(store, 1)
	lab.NameVersion(store, 1)
	stop := make(chan struct{})
	engines := make(map[string]*lab.Engine)
	for i := range engineCount {
		e := lab.NewEngine(fmt.Sprintf("i-engine%d", i+1), lab.EnginePool, "recife", store, record)
		e.Software, e.Events, e.Pause = older, events, pause
		engines[e.Name] = e
		go e.Beat(stop)
	}
	router := lab.NewRouter(1, "front-recife-1", "recife", address, dir, nil, record)
	router.Start()
	router.AwaitReady()
	client := lab.NewClient(record)
	time.Sleep(3 * time.Second)

	// A prompt whose shared part is kept at some runner, which then gets all prompts with it.
	const prefix = "5c1e07a2"
	id := client.NewID()
	first := client.Send(router, "POST", "/stream/x", id, 15*time.Second, header(prefix, id), nil)
	name := strings.TrimPrefix(first.Stamp, "stamp-of-")
	engine := engines[name]
	if engine == nil {
		lab.Fail("the first stream got %d %v", first.Status, first.Err)
	}
	record.Add("prompts with the part %s go to %s", prefix, name)
	time.Sleep(500 * time.Millisecond)
	if trouble {
		engine.CrashAs(downTime, newer, beat)
	}
	bodies := make([]lab.Answer, streams)
	var group sync.WaitGroup
	for i := range streams {
		group.Add(1)
		go func() {
			defer group.Done()
			id := client.NewID()
			bodies[i] = client.Send(router, "POST", "/stream/x", id, 15*time.Second, header(prefix, id), nil)
		}()
		time.Sleep(10 * time.Millisecond)
	}
	time.Sleep(upTime)
	if trouble {
		engine.CrashAs(downTime, newer, 0)
	}
	group.Wait()
	close(stop)
	mixed := 0
	for _, a := range bodies {
		byOlder, byNewer := strings.Count(a.Body, " by "+older+" "), strings.Count(a.Body, " by "+newer+" ")
		record.Add("a stream: status %d, whole %v, %d events by %s, %d events by %s", a.Status, a.Err == nil, byOlder, older, byNewer, newer)
		if byOlder > 0 && byNewer > 0 {
			mixed++
		}
	}
	if mixed > 2 {
		record.Add("ORDER is broken: %d streams hold events of two software versions", mixed)
		lab.Exit(1)
	}
	record.Add("ORDER held")
	lab.Exit(0)
}
