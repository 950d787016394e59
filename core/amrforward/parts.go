package amrforward

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/zeebo/xxh3"

	"amaranthreach.example/core/amrgossip"
	"amaranthreach.example/core/amrreason"
	"amaranthreach.example/core/amrsuspect"
)

// PartChange is a change of a quarantine that this router has decided.
type PartChange struct {
	amrsuspect.PartQuarantine
	Lifted bool
}

// partNews holds the messages about parts of prompts that are to be sent to other
// routers. Each list has at most maxPendingStrikes items; more are dropped.
type partNews struct {
	crashes []amrgossip.PartCrash
	sound   []amrgossip.SoundPart
	notices []amrgossip.PartNotice
}

// WithHost sets the name of the router's host, which decides when it lets a request
// through after the quarantine of a part.
func WithHost(name string) Option {
	return func(f *Forwarder) { f.parts = amrsuspect.NewParts(name) }
}

// WithPartReports makes the forwarder report crashes of servers to the routers that
// collect them. By default it collects only its own.
func WithPartReports() Option {
	return func(f *Forwarder) { f.reportsParts = true }
}

// WithPartChanges sets a function that is called with each change of a quarantine that
// this router decides, which must last beyond this process. It must not block.
func WithPartChanges(store func(PartChange)) Option {
	return func(f *Forwarder) { f.storePartChange = store }
}

// suspectParts returns the keys of the parts of the prompt that may crash servers: all
// but the last one, which no other request has, and at most
// amrgossip.MaxSuspectParts.
func (r *Request) suspectParts() []amrsuspect.PartKey {
	shared := sharedParts(r.Parts)
	var keys []amrsuspect.PartKey
	for _, id := range shared[max(0, len(shared)-amrgossip.MaxSuspectParts):] {
		keys = append(keys, amrsuspect.PartKeyOf(r.Model, id))
	}
	return keys
}

// checkParts returns a refusal if a part of the prompt is quarantined, and nil
// otherwise.
func (x *exchange) checkParts(now time.Time) *refusal {
	q, left, refused := x.f.parts.Check(now, x.suspects)
	if !refused {
		return nil
	}
	return x.refusalForPart(now, q, left)
}

// refusalForPart returns the refusal of a request with a part that is quarantined for the
// given time.
func (x *exchange) refusalForPart(now time.Time, q amrsuspect.PartQuarantine, left time.Duration) *refusal {
	detail := fmt.Sprintf("part %016x crashes servers, quarantined %v ago, level %d", uint64(q.Part), now.Sub(q.Since).Round(time.Millisecond), q.Level)
	return x.refusal(amrreason.QuarantinedPart, roundUp(left), detail)
}

// roundUp returns the time in full seconds, as in the header Retry-After.
func roundUp(d time.Duration) time.Duration {
	return (d + time.Second - 1).Truncate(time.Second)
}

// reportPartCrash reports that the run on the server broke off.
func (x *exchange) reportPartCrash(now time.Time, server uint64) {
	if len(x.suspects) == 0 {
		return
	}
	begun := time.Duration(0)
	if !x.begunAt.IsZero() {
		begun = now.Sub(x.begunAt)
	}
	c := x.f.parts.CrashOf(now, server, x.fingerprint.Hash(), x.suspects, begun)
	if len(c.Parts) == 0 {
		return
	}
	message := amrgossip.PartCrash{Model: xxh3.HashString(x.request.Model), Server: c.Server, Content: c.Content}
	for _, part := range c.Parts {
		message.Parts = append(message.Parts, amrgossip.SuspectPart{Part: uint64(part.Key), Sound: part.Sound, AgeMS: part.Age.Milliseconds()})
	}
	if !x.f.reportsParts {
		x.f.ApplyCrashes(now, []amrgossip.PartCrash{message})
		return
	}
	x.f.queuePartNews(func(n *partNews) { n.crashes = appendBounded(n.crashes, message) })
}

// recordPartAnswer records that the request was answered completely. An answer with a
// failure does not show that servers answer prompts with these parts.
func (x *exchange) recordPartAnswer(now time.Time) {
	if x.status >= http.StatusMultipleChoices {
		return
	}
	model := xxh3.HashString(x.request.Model)
	for _, part := range x.f.parts.RecordAnswer(now, x.sentAt, x.suspects) {
		x.f.reportSound(now, amrgossip.SoundPart{Model: model, Part: uint64(part), AgeMS: now.Sub(x.sentAt).Milliseconds()})
	}
}

// reportSound reports a sound part to the routers that collect crashes.
func (f *Forwarder) reportSound(now time.Time, p amrgossip.SoundPart) {
	if !f.reportsParts {
		f.ApplySound(now, []amrgossip.SoundPart{p})
		return
	}
	f.queuePartNews(func(n *partNews) { n.sound = appendBounded(n.sound, p) })
}

// queuePartNews queues news for other routers.
func (f *Forwarder) queuePartNews(add func(*partNews)) {
	f.mu.Lock()
	add(&f.partNews)
	f.mu.Unlock()
	f.onNews()
}

// appendBounded returns the list with the item, or the list itself if that has
// maxPendingStrikes items.
func appendBounded[T any](list []T, item T) []T {
	if len(list) >= maxPendingStrikes {
		return list
	}
	return append(list, item)
}

// ApplyCrashes applies crashes that this router collects.
func (f *Forwarder) ApplyCrashes(now time.Time, crashes []amrgossip.PartCrash) {
	for _, c := range crashes {
		crash := amrsuspect.PartCrash{Server: c.Server, Content: c.Content}
		for _, part := range c.Parts {
			age := time.Duration(part.AgeMS) * time.Millisecond
			crash.Parts = append(crash.Parts, amrsuspect.SuspectPart{Key: amrsuspect.PartKey(part.Part), Sound: part.Sound, Age: age})
		}
		ask, quarantine := f.parts.AddCrash(now, crash)
		for _, part := range ask {
			f.log.Info("asking whether a part of prompts is sound", "part", partName(part))
			f.notifyPart(amrgossip.PartNotice{Kind: amrgossip.PartAsked, Model: c.Model, Part: uint64(part)})
		}
		if quarantine != nil {
			f.forgetExplainedStrikes(*quarantine)
			f.log.Warn("part of prompts is quarantined, since servers crash with it", "part", partName(quarantine.Part), "level", quarantine.Level, "was-sound", quarantine.Sound)
			f.metrics.quarantines.WithLabelValues(quarantineDecided).Inc()
			f.notifyPart(amrgossip.PartNotice{Kind: amrgossip.PartQuarantined, Model: c.Model, Part: uint64(quarantine.Part), Level: quarantine.Level, Sound: quarantine.Sound, Servers: quarantine.Servers})
			f.storePartChange(PartChange{PartQuarantine: *quarantine})
		}
	}
}

// ApplySound applies reports that prompts with parts were answered.
func (f *Forwarder) ApplySound(now time.Time, parts []amrgossip.SoundPart) {
	for _, p := range parts {
		part := amrsuspect.PartKey(p.Part)
		if !f.parts.MarkSound(now, part, time.Duration(p.AgeMS)*time.Millisecond) {
			continue
		}
		f.log.Info("quarantine of a part of prompts is lifted, since a prompt with it was answered", "part", partName(part), "answered-ms-ago", p.AgeMS)
		f.metrics.quarantines.WithLabelValues(quarantineLifted).Inc()
		f.notifyPart(amrgossip.PartNotice{Kind: amrgossip.PartLifted, Model: p.Model, Part: p.Part})
		f.storePartChange(PartChange{PartQuarantine: amrsuspect.PartQuarantine{Part: part}, Lifted: true})
	}
}

// notifyPart queues a notice for all other routers.
func (f *Forwarder) notifyPart(n amrgossip.PartNotice) {
	n.Sequence = rand.Uint32()
	f.queuePartNews(func(news *partNews) { news.notices = appendBounded(news.notices, n) })
}

// ApplyPartNotices applies notices of another router.
func (f *Forwarder) ApplyPartNotices(now time.Time, notices []amrgossip.PartNotice) {
	for _, n := range notices {
		part := amrsuspect.PartKey(n.Part)
		switch n.Kind {
		case amrgossip.PartAsked:
			if age, sound := f.parts.Ask(now, part); sound {
				f.reportSound(now, amrgossip.SoundPart{Model: n.Model, Part: n.Part, AgeMS: age.Milliseconds()})
			}
		case amrgossip.PartQuarantined:
			since := now.Add(-time.Duration(n.AgeMS) * time.Millisecond)
			f.ApplyQuarantine(amrsuspect.PartQuarantine{Part: part, Level: n.Level, Since: since, Sound: n.Sound, Servers: n.Servers})
		case amrgossip.PartLifted:
			f.LiftQuarantine(part)
		}
	}
}

// ApplyQuarantine puts a quarantine in force that another router has decided.
func (f *Forwarder) ApplyQuarantine(q amrsuspect.PartQuarantine) {
	if f.parts.Apply(q) {
		f.forgetExplainedStrikes(q)
		f.log.Info("part of prompts is quarantined, as another router has decided", "part", partName(q.Part), "level", q.Level, "since", q.Since.UTC())
		f.metrics.quarantines.WithLabelValues(quarantineReceived).Inc()
	}
}

// Quarantines returns the quarantines of parts that this router knows.
func (f *Forwarder) Quarantines() []amrsuspect.PartQuarantine {
	return f.parts.Quarantines()
}

// explainedTime is the time before the quarantine of a part in which crashes of servers
// are attributed to the part.
const explainedTime = 10 * time.Second

// forgetExplainedStrikes removes the strikes that requests got when prompts with the
// part crashed the servers that were running them, too.
func (f *Forwarder) forgetExplainedStrikes(q amrsuspect.PartQuarantine) {
	f.strikes.ForgetServers(q.Servers, q.Since.Add(-explainedTime))
}

// LiftQuarantine ends the quarantine of a part, as another router has decided.
func (f *Forwarder) LiftQuarantine(part amrsuspect.PartKey) {
	if f.parts.Lift(part) {
		f.log.Info("quarantine of a part of prompts is lifted, as another router has decided", "part", partName(part))
	}
}

// TakePartNotices returns the notices to send to all other routers, and removes them
// from the queue.
func (f *Forwarder) TakePartNotices() []amrgossip.PartNotice {
	f.mu.Lock()
	defer f.mu.Unlock()
	notices := f.partNews.notices
	f.partNews.notices = nil
	return notices
}

// partName returns the part as it stands in logs and refusals.
func partName(part amrsuspect.PartKey) string {
	return fmt.Sprintf("%016x", uint64(part))
}
