package amrscale

import (
	"cmp"
	"slices"
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"
)

// EngineModel describes the speed and the memory of an engine that batches requests
// continuously and computes prompts in chunks between the tokens of other requests.
type EngineModel struct {
	Slots        int           // Requests that run at the same time.
	MemoryTokens int           // Memory for running requests and cached parts.
	Step         time.Duration // Time of a step that computes no prompt tokens.
	PrefillRate  float64       // Prompt tokens per second.
	Chunk        int           // Prompt tokens that one step computes at most.
	PairsTime    time.Duration // Additional time for a million pairs of a prompt token and a token before it.
	FirstToken   time.Duration // Time from the end of the prefill to the first event.
	TransferRate float64       // Tokens per second that a link transfers.
}

// maxEngineParts is the maximum number of parts in the cache of an engine.
const maxEngineParts = 4096

// engine simulates an engine.
type engine struct {
	sim      *simulation
	model    EngineModel
	name     string
	zone     int
	down     bool
	version  int
	running  []*run // Admitted requests, in the order of admission.
	waiting  []*run
	used     int                         // Memory of the admitted requests, in tokens.
	cache    *simplelru.LRU[uint64, int] // Tokens of cached parts by prefix key.
	cached   int                         // Tokens in the cache.
	stepping bool                        // A step is in progress.
	linkFree time.Duration               // Time from which the link is free for another transfer.
	requests int                         // Requests in the last second of the simulation, for the balance.
}

// run is a request at an engine.
type run struct {
	request  *request
	engine   *engine
	readyAt  time.Duration // End of the transfer of fetched parts.
	prefill  int           // Prompt tokens that remain to be computed.
	computed int           // Prompt tokens before them.
	output   int           // Tokens that remain to be generated.
	memory   int
	started  bool    // The first token has been generated.
	fetch    *engine // Source of parts; nil for none.
	fetchAll bool    // The source is a store that holds all saved parts.
	save     bool
	canceled bool
	ended    func(completed bool)
	first    func()
}

func newEngine(s *simulation, model EngineModel, name string, zone int) *engine {
	e := &engine{sim: s, model: model, name: name, zone: zone, version: 1}
	cache, err := simplelru.NewLRU(maxEngineParts, func(_ uint64, tokens int) { e.cached -= tokens })
	if err != nil {
		panic(err) // Happens only for a size that is not positive.
	}
	e.cache = cache
	return e
}

// inProgress returns the number of running and of waiting requests.
func (e *engine) inProgress() (running, waiting int) {
	for _, r := range e.running {
		if r.started {
			running++
		} else {
			waiting++
		}
	}
	return running, waiting + len(e.waiting)
}

// accept queues a request.
func (e *engine) accept(r *run) {
	r.engine = e
	e.waiting = append(e.waiting, r)
	e.requests++
	slices.SortStableFunc(e.waiting, func(a, b *run) int { return cmp.Compare(a.request.class.Priority, b.request.class.Priority) })
	e.admit()
}

// cancel ends a request whose caller has given up.
func (r *run) cancel() {
	r.canceled = true
	e := r.engine
	if e == nil {
		return
	}
	e.waiting = slices.DeleteFunc(e.waiting, func(other *run) bool { return other == r })
	if i := slices.Index(e.running, r); i >= 0 {
		e.running = slices.Delete(e.running, i, i+1)
		e.used -= r.memory
	}
	e.admit()
}

// admit admits waiting requests while there is room for them.
func (e *engine) admit() {
	for len(e.waiting) > 0 && len(e.running) < e.model.Slots {
		r := e.waiting[0]
		r.memory = min(r.request.promptTokens+r.request.outputTokens, e.model.MemoryTokens)
		if e.used+r.memory > e.model.MemoryTokens && len(e.running) > 0 {
			break
		}
		e.waiting = e.waiting[1:]
		e.used += r.memory
		e.start(r)
	}
	e.evict()
	e.wake()
}

// start looks up the cached parts of an admitted request and begins to fetch the
// others, if they can be fetched.
func (e *engine) start(r *run) {
	e.running = append(e.running, r)
	q := r.request
	depth := 0
	for depth < q.shared && e.use(q.keys[depth]) {
		depth++
	}
	have := depth
	if source := r.fetch; source != nil && !source.down && source.version == e.version && source != e {
		for have < q.shared && source.use(q.keys[have]) {
			have++
		}
		if have > depth {
			r.readyAt = e.transfer(source, sum(q.parts[depth:have]))
		}
	}
	if r.fetchAll {
		for have < q.shared && e.sim.stored[storedKey{e.version, q.keys[have]}] {
			have++
		}
		if have > depth {
			r.readyAt = e.transfer(e.sim.stores[int(q.keys[q.shared-1]%uint64(len(e.sim.stores)))], sum(q.parts[depth:have]))
		}
	}
	r.computed = sum(q.parts[:have])
	r.prefill = q.promptTokens - r.computed
	e.sim.countRead(e, q, have)
	r.output = max(q.outputTokens, 1)
}

// transfer reserves the links of the source and of the engine and returns the time
// at which the tokens have arrived. Transfers between zones take twice as long.
func (e *engine) transfer(source *engine, tokens int) time.Duration {
	took := time.Duration(float64(tokens) / e.model.TransferRate * float64(time.Second))
	if source.zone != e.zone {
		took *= 2
	}
	source.linkFree = max(e.sim.now, source.linkFree) + took
	e.linkFree = max(source.linkFree, e.linkFree+took)
	return e.linkFree + e.sim.params.TransferSetup
}

// use marks a cached part as used. It reports whether the part is cached.
func (e *engine) use(key uint64) bool {
	_, ok := e.cache.Get(key)
	return ok
}

// keep adds a part to the cache.
func (e *engine) keep(key uint64, tokens int) {
	if old, ok := e.cache.Peek(key); ok {
		e.cached -= old
	}
	e.cache.Add(key, tokens)
	e.cached += tokens
}

// evict drops the least recently used parts that do not fit beside the running
// requests. Parts that running requests share with the cache are counted in both.
func (e *engine) evict() {
	for e.cached > 0 && e.used+e.cached > e.model.MemoryTokens+e.shared() {
		if _, _, ok := e.cache.RemoveOldest(); !ok {
			return
		}
	}
}

// shared returns the tokens of running requests that are also counted in the cache.
func (e *engine) shared() int {
	total := 0
	for _, r := range e.running {
		total += sum(r.request.parts[:r.request.shared])
	}
	return min(total, e.cached)
}

// wake begins a step if there is work and none is in progress.
func (e *engine) wake() {
	if e.stepping || e.down {
		return
	}
	prefill, decode := 0, 0
	var work []*run // Requests whose prompt this step continues to compute.
	var amounts []int
	pairs := 0.0
	next := time.Duration(-1)
	for _, r := range e.running {
		if r.readyAt > e.sim.now {
			if next < 0 || r.readyAt < next {
				next = r.readyAt
			}
			continue
		}
		if r.prefill == 0 {
			decode++
			continue
		}
		if n := min(r.prefill, e.model.Chunk-prefill); n > 0 {
			work = append(work, r)
			amounts = append(amounts, n)
			prefill += n
			pairs += float64(n) * (float64(r.computed) + float64(n)/2)
		}
	}
	if prefill == 0 && decode == 0 {
		if next >= 0 {
			e.sim.at(next, e.wake)
		}
		return
	}
	took := e.model.Step + time.Duration(float64(prefill)/e.model.PrefillRate*float64(time.Second)) +
		time.Duration(pairs/1e6*float64(e.model.PairsTime))
	e.stepping = true
	e.sim.at(e.sim.now+took, func() { e.endStep(work, amounts) })
}

// endStep ends a step: the prompts are computed further, and each other running
// request has generated a token.
func (e *engine) endStep(work []*run, amounts []int) {
	e.stepping = false
	for i, r := range work {
		r.prefill -= amounts[i]
		r.computed += amounts[i]
		if r.prefill == 0 {
			e.finishPrefill(r)
		}
	}
	kept := e.running[:0]
	var ended []*run
	for _, r := range e.running {
		if r.started && r.readyAt <= e.sim.now {
			r.output--
		}
		if r.started && r.output <= 0 || r.canceled {
			e.used -= r.memory
			ended = append(ended, r)
			continue
		}
		kept = append(kept, r)
	}
	e.running = kept
	for _, r := range ended {
		if !r.canceled {
			r.ended(true)
		}
	}
	e.admit()
}

// finishPrefill caches the parts of the request and schedules its first event.
func (e *engine) finishPrefill(r *run) {
	q := r.request
	for i, key := range q.keys {
		e.keep(key, q.parts[i])
	}
	for _, key := range q.keys[:q.shared] { // The shared parts are used last.
		e.use(key)
	}
	if r.save {
		for _, key := range q.keys[:q.shared] {
			e.sim.stored[storedKey{e.version, key}] = true
		}
	}
	r.started = true
	r.readyAt = e.sim.now + e.model.FirstToken
	e.sim.at(r.readyAt, func() {
		if !r.canceled {
			r.first()
		}
		e.wake()
	})
}

// setVersion replaces the weights, which empties the cache.
func (e *engine) setVersion(version int) {
	e.version = version
	e.cache.Purge()
	e.cached = 0
}

func sum(tokens []int) int {
	total := 0
	for _, n := range tokens {
		total += n
	}
	return total
}
