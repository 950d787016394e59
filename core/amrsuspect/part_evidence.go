package amrsuspect

import (
	"slices"
	"time"
)

const (
	// sameMomentTime is the time within which crashes of several servers count as
	// one: they then have a common cause, such as a loss of power, rather than
	// several requests. Crashes of servers that ran the same request, one after the
	// other, do not.
	sameMomentTime = 50 * time.Millisecond

	// maxEvents is the maximum number of crashes that are remembered of a part.
	maxEvents = 16

	// maxEventServers is the number of servers that are remembered of such crashes.
	maxEventServers = 64
)

// partEvidence holds the latest crashes during which prompts with a part were
// running, since the last one that was answered.
type partEvidence struct {
	part    PartKey
	events  []crashEvent // Oldest first.
	runs    int          // Number of runs that broke off in the events.
	place   int          // Position of the part in the last prompt that broke off.
	askedAt time.Time    // Time at which other routers were last asked for the part.
	sound   bool         // A prompt with the part has been answered before.
}

// crashEvent is a crash of a backend server, or of several at the same moment.
type crashEvent struct {
	servers  []uint64 // Hashes of the servers' names.
	contents []uint64 // Contents of the requests with the part that were running.
	at       time.Time
}

// add adds a crash of the server while it was running a request with the content,
// and drops crashes that are too old. It reports whether that is a new event.
func (e *partEvidence) add(now time.Time, server, content uint64) bool {
	e.drop(func(old crashEvent) bool { return now.Sub(old.at) >= StrikeTTL })
	e.runs++
	for i := range e.events {
		event := &e.events[i]
		known := slices.Contains(event.servers, server) && now.Sub(event.at) < sameCrashTime
		sentAgain := slices.Contains(event.contents, content)
		if !known && (sentAgain || now.Sub(event.at) >= sameMomentTime) {
			continue
		}
		if !known && len(event.servers) < maxEventServers {
			event.servers = append(event.servers, server)
		}
		if !slices.Contains(event.contents, content) && len(event.contents) < minSoundContents {
			event.contents = append(event.contents, content)
		}
		return false
	}
	e.events = append(e.events, crashEvent{servers: []uint64{server}, contents: []uint64{content}, at: now})
	if len(e.events) > maxEvents {
		e.events = e.events[1:]
	}
	return true
}

// markSound records that a prompt with the part, which was sent at the given time, was
// answered. Crashes before that do not count.
func (e *partEvidence) markSound(at time.Time) {
	e.sound = true
	e.drop(func(old crashEvent) bool { return !old.at.After(at) })
}

// drop drops the events for which obsolete returns true.
func (e *partEvidence) drop(obsolete func(crashEvent) bool) {
	e.events = slices.DeleteFunc(e.events, obsolete)
	if len(e.events) == 0 {
		e.runs = 0
	}
}

// explain drops the crashes of the servers, which another part has caused.
func (e *partEvidence) explain(servers []uint64) {
	e.drop(func(event crashEvent) bool {
		return slices.ContainsFunc(event.servers, func(s uint64) bool { return slices.Contains(servers, s) })
	})
}

// isExplainedBy reports whether the crashes of the servers are all that there is of
// evidence against the part.
func (e *partEvidence) isExplainedBy(servers []uint64) bool {
	for _, event := range e.events {
		if !slices.ContainsFunc(event.servers, func(s uint64) bool { return slices.Contains(servers, s) }) {
			return false
		}
	}
	return true
}

// suffices reports whether the part is to be quarantined. Other routers must have had the
// time to reply whether the part is sound. If it was, it must have been in more crashes,
// and so often that this is no chance.
func (e *partEvidence) suffices(now time.Time, chance func(*partEvidence) float64) bool {
	if len(e.events) < minPartCrashes || now.Sub(e.askedAt) < askTime {
		return false
	}
	if !e.sound {
		return e.contents() >= minPartContents
	}
	return len(e.events) >= minSoundCrashes && e.contents() >= minSoundContents && chance(e) <= maxChance
}

// worseThan reports whether the evidence is worse than the other: more crashes; or as
// many, but fewer runs, so that more of them are explained by the part; or a part that
// comes later in the prompt and is therefore in fewer prompts.
func (e *partEvidence) worseThan(other *partEvidence) bool {
	switch {
	case len(e.events) != len(other.events):
		return len(e.events) > len(other.events)
	case e.runs != other.runs:
		return e.runs < other.runs
	}
	return e.place > other.place
}

// contents returns the number of different requests that were running during the
// crashes.
func (e *partEvidence) contents() int {
	contents := make(map[uint64]bool)
	for _, event := range e.events {
		for _, content := range event.contents {
			contents[content] = true
		}
	}
	return len(contents)
}

// ranOn reports whether the server crashed while it was running a request with the part.
func (e *partEvidence) ranOn(server uint64) bool {
	return slices.ContainsFunc(e.events, func(event crashEvent) bool { return slices.Contains(event.servers, server) })
}

// servers returns the servers that crashed.
func (e *partEvidence) servers() []uint64 {
	var servers []uint64
	for _, event := range e.events {
		servers = append(servers, event.servers...)
	}
	return servers
}
