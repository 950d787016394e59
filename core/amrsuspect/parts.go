package amrsuspect

import (
	"encoding/binary"
	"sync"
	"time"

	lru "github.com/hashicorp/golang-lru/v2"
	"github.com/zeebo/xxh3"
)

// Parts finds the parts of prompts that crash the backend servers which begin to
// answer them, and decides which prompts are refused.
//
// A server that crashes breaks off all requests that it runs. A part is suspected if
// it is in prompts of several different requests that were running during several
// crashes, and no prompt with it was answered in between. Routers report crashes to
// the few that collect them for a model, which therefore see all crashes and can tell
// the part that they have in common from those that are only in some of them.
//
// Parts is safe for concurrent use. Create it with NewParts.
type Parts struct {
	seed uint64 // Differs between routers.

	mu          sync.Mutex
	answered    *lru.Cache[PartKey, time.Time] // Time at which the last prompt with the part was sent that was answered here.
	asked       *lru.Cache[PartKey, time.Time] // Time at which another router last asked for the part.
	evidence    *lru.Cache[PartKey, *partEvidence]
	quarantines *lru.Cache[PartKey, *partState]
	explained   *lru.Cache[uint64, time.Time] // Servers whose last crash was caused by a quarantined part.
	shares      *shares                       // Shares of the prompts answered here that have a part.
	crashes     crashLog                      // Latest crashes, by all reports.
}

// partState is the state of a part that is or was quarantined.
type partState struct {
	PartQuarantine
	trialUntil time.Time // Until then, the outcome of the last request that was let through is awaited.
}

// NewParts returns a Parts that suspects no part. The name of the host decides when
// the router lets a request through after a quarantine.
func NewParts(host string) *Parts {
	return &Parts{
		seed: xxh3.HashString(host), answered: newPartCache[PartKey, time.Time](), asked: newPartCache[PartKey, time.Time](),
		evidence: newPartCache[PartKey, *partEvidence](), quarantines: newPartCache[PartKey, *partState](),
		explained: newPartCache[uint64, time.Time](), shares: newShares(),
	}
}

func newPartCache[K comparable, V any]() *lru.Cache[K, V] {
	cache, err := lru.New[K, V](MaxTracked)
	if err != nil {
		panic(err) // New fails only if the size is less than 1.
	}
	return cache
}

// RecordAnswer records that a prompt with the parts, which was sent to its server at the
// given time, was answered completely. The parts count as sound at the time at which it
// was sent: prompts that were already being answered then do not show whether servers
// crash by beginning to answer others. RecordAnswer returns the parts to report to the
// collecting routers, because they suspect or refuse them.
func (p *Parts) RecordAnswer(now, sentAt time.Time, parts []PartKey) (news []PartKey) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.shares.add(parts)
	for _, part := range parts {
		if at, ok := p.answered.Peek(part); !ok || at.Before(sentAt) {
			p.answered.Add(part, sentAt)
		}
		_, quarantined := p.quarantines.Peek(part)
		at, asked := p.asked.Peek(part)
		if quarantined || asked && now.Sub(at) < StrikeTTL {
			p.asked.Remove(part)
			news = append(news, part)
		}
	}
	return news
}

// CrashOf returns the report of a run that broke off the given time after its first event,
// or before that. The parts that this router knows to be sound are not in the report,
// unless all are. The result has no parts if the prompt has none, or if the run had been
// answered for BegunTime: a server that crashes by a part does so when it begins to answer.
func (p *Parts) CrashOf(now time.Time, server, content uint64, parts []PartKey, begun time.Duration) PartCrash {
	p.mu.Lock()
	defer p.mu.Unlock()
	c := PartCrash{Server: server, Content: content}
	if begun >= BegunTime {
		return c
	}
	var sound []SuspectPart
	for _, part := range parts {
		if age, ok := p.answerAge(now, part); ok {
			sound = append(sound, SuspectPart{Key: part, Sound: true, Age: age})
			continue
		}
		c.Parts = append(c.Parts, SuspectPart{Key: part})
	}
	if len(c.Parts) == 0 {
		c.Parts = sound
	}
	return c
}

// answerAge returns the time since a prompt with the part was last answered here, and
// false if that is too long ago to count. The caller must hold p.mu.
func (p *Parts) answerAge(now time.Time, part PartKey) (age time.Duration, ok bool) {
	at, ok := p.answered.Peek(part)
	if !ok || now.Sub(at) >= SoundTime {
		return 0, false
	}
	return now.Sub(at), true
}

// AddCrash adds a crash that a router has reported to this one. It returns the parts
// about which to ask all routers whether they are sound, and the new quarantine to
// announce to all routers, or nil if there is none.
func (p *Parts) AddCrash(now time.Time, c PartCrash) (ask []PartKey, quarantine *PartQuarantine) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if q, explained := p.explainedBy(now, c); explained {
		p.explainServer(now, c.Server)
		return nil, q
	}
	if at, ok := p.explained.Peek(c.Server); ok && now.Sub(at) < sameCrashTime {
		return nil, nil
	}
	p.crashes.add(now, c.Server)
	enough := false
	for place, part := range c.Parts {
		e := p.evidenceOf(now, part)
		e.place = place
		if e.add(now, c.Server, c.Content) && len(e.events) == askCrashes {
			e.askedAt = now
			ask = append(ask, part.Key)
		}
		enough = enough || e.suffices(now, p.chanceAt(now))
	}
	if !enough {
		return ask, nil
	}
	worst := p.worst(now)
	servers := worst.servers()
	q := PartQuarantine{Part: worst.part, Level: 1, Since: now, Sound: worst.sound, Servers: servers[:min(len(servers), MaxQuarantineServers)]}
	p.explain(now, servers)
	p.set(q)
	return ask, &q
}

// worst returns the worst evidence that suffices for a quarantine, or nil if there is
// none. Parts that were not known to be sound go first. The caller must hold p.mu.
func (p *Parts) worst(now time.Time) *partEvidence {
	chance := p.chanceAt(now)
	var worst *partEvidence
	for _, e := range p.evidence.Values() {
		switch {
		case !e.suffices(now, chance):
		case worst == nil || worst.sound && !e.sound:
			worst = e
		case worst.sound != e.sound:
		case e.sound && chance(e) < chance(worst) || !e.sound && e.worseThan(worst):
			worst = e
		}
	}
	return worst
}

// chanceAt returns a function that returns the probability with which a part was in so
// many crashes by chance. The caller must hold p.mu, also when it calls the function.
func (p *Parts) chanceAt(now time.Time) func(*partEvidence) float64 {
	return func(e *partEvidence) float64 {
		share, known := p.shares.of(e.part)
		if !known || len(e.events) == 0 {
			return 1
		}
		return p.crashes.chance(now, e.events[0].at, share, e.ranOn)
	}
}

// evidenceOf returns the evidence against the part, with what this router and the
// report know of its soundness. The caller must hold p.mu.
func (p *Parts) evidenceOf(now time.Time, part SuspectPart) *partEvidence {
	e, ok := p.evidence.Get(part.Key)
	if !ok {
		e = &partEvidence{part: part.Key}
		p.evidence.Add(part.Key, e)
	}
	if part.Sound {
		e.markSound(now.Add(-part.Age))
	}
	if age, ok := p.answerAge(now, part.Key); ok {
		e.markSound(now.Add(-age))
	}
	return e
}

// explainedBy reports whether a quarantined part explains the crash. If a request with
// that part was let through after its quarantine, it returns the next, longer one. The
// caller must hold p.mu.
func (p *Parts) explainedBy(now time.Time, c PartCrash) (next *PartQuarantine, explained bool) {
	for _, part := range c.Parts {
		s, ok := p.quarantines.Peek(part.Key)
		if !ok {
			continue
		}
		if now.Sub(s.Since) < sentBeforeTime {
			return nil, true
		}
		if now.Sub(s.Since) < s.duration() {
			continue // Requests with the part are no longer sent, so that another one is the cause.
		}
		q := PartQuarantine{Part: part.Key, Level: s.Level + 1, Since: now, Sound: s.Sound}
		p.set(q)
		return &q, true
	}
	return nil, false
}

// explain records that a quarantined part has caused the crashes of the servers. Evidence
// against other parts that consists of these crashes alone is dropped; a part that was
// also in other crashes may have caused all of them. The caller must hold p.mu.
func (p *Parts) explain(now time.Time, servers []uint64) {
	for _, server := range servers {
		p.explained.Add(server, now)
	}
	for _, e := range p.evidence.Values() {
		if e.isExplainedBy(servers) {
			e.explain(servers)
		}
	}
}

// explainServer records that a quarantined part has caused the crash of the server, which
// then does not count against other parts. The caller must hold p.mu.
func (p *Parts) explainServer(now time.Time, server uint64) {
	p.explained.Add(server, now)
	for _, e := range p.evidence.Values() {
		e.explain([]uint64{server})
	}
}

// set puts the quarantine in force. The caller must hold p.mu.
func (p *Parts) set(q PartQuarantine) {
	p.quarantines.Add(q.Part, &partState{PartQuarantine: q})
	p.evidence.Remove(q.Part)
}

// Ask handles the question of another router whether the part is sound. It returns
// the time since a prompt with it was answered here, and false if that is not known.
// From then on, RecordAnswer returns the part.
func (p *Parts) Ask(now time.Time, part PartKey) (age time.Duration, sound bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.asked.Add(part, now)
	return p.answerAge(now, part)
}

// MarkSound handles the report of a router that answered a prompt with the part, which it
// had sent the given time ago. It reports whether that lifts the quarantine of the part,
// which must then be announced to all routers. It does if the prompt was sent after the
// quarantine began, or if the part was quarantined in the belief that no prompt with it had
// been answered.
func (p *Parts) MarkSound(now time.Time, part PartKey, age time.Duration) (lifted bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	at := now.Add(-age)
	if e, ok := p.evidence.Peek(part); ok {
		e.markSound(at)
	}
	s, ok := p.quarantines.Peek(part)
	if !ok || !at.After(s.Since) && s.Sound {
		return false
	}
	p.lift(part)
	return true
}

// Apply puts a quarantine in force that another router has decided. It returns false
// if a later one is already in force.
func (p *Parts) Apply(q PartQuarantine) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if s, ok := p.quarantines.Peek(q.Part); ok && s.Level >= q.Level {
		return false
	}
	p.set(q)
	return true
}

// Quarantines returns the quarantines that are known, also those after which no
// request has been answered yet.
func (p *Parts) Quarantines() []PartQuarantine {
	p.mu.Lock()
	defer p.mu.Unlock()
	var quarantines []PartQuarantine
	for _, s := range p.quarantines.Values() {
		quarantines = append(quarantines, s.PartQuarantine)
	}
	return quarantines
}

// Lift ends the quarantine of the part. It reports whether there was one.
func (p *Parts) Lift(part PartKey) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.lift(part)
}

// lift ends the quarantine of the part, and forgets the crashes that led to it. The
// caller must hold p.mu.
func (p *Parts) lift(part PartKey) bool {
	p.evidence.Remove(part)
	return p.quarantines.Remove(part)
}

// Check returns the quarantine by which a prompt with the parts must be refused, and
// the time for which it lasts, or false if it may be sent. After a quarantine, one
// request with the part is let through at a time until one is answered. Routers do so
// at different times, since each such request may crash a server.
func (p *Parts) Check(now time.Time, parts []PartKey) (q PartQuarantine, left time.Duration, refused bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	q, left, trials, refused := p.check(now, parts, p.quarantines.Get)
	for _, s := range trials {
		s.trialUntil = now.Add(trialTime)
	}
	return q, left, refused
}

// Peek returns what Check would return. It lets no request through.
func (p *Parts) Peek(now time.Time, parts []PartKey) (q PartQuarantine, left time.Duration, refused bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	q, left, _, refused = p.check(now, parts, p.quarantines.Peek)
	return q, left, refused
}

// check decides for Check, and returns the parts after whose quarantine the request is let
// through.
func (p *Parts) check(now time.Time, parts []PartKey, quarantine func(PartKey) (*partState, bool)) (q PartQuarantine, left time.Duration, trials []*partState, refused bool) {
	for _, part := range parts {
		s, ok := quarantine(part)
		if !ok {
			continue
		}
		if left := s.duration() + p.delay(s.PartQuarantine) - now.Sub(s.Since); left > 0 {
			return s.PartQuarantine, left, nil, true
		}
		if left := s.trialUntil.Sub(now); left > 0 {
			return s.PartQuarantine, left, nil, true
		}
		trials = append(trials, s)
	}
	return PartQuarantine{}, 0, trials, false
}

// delay returns the time that this router adds to the quarantine, which is at most
// the duration of the quarantine.
func (p *Parts) delay(q PartQuarantine) time.Duration {
	hash := xxh3.HashSeed(binary.LittleEndian.AppendUint64(nil, uint64(q.Part)), p.seed)
	return time.Duration(float64(q.duration()) * float64(hash) / (1 << 64))
}
