package amrsuspect

import (
	"time"

	"github.com/zeebo/xxh3"
)

// PartKey identifies a part of the prompts for a model.
type PartKey uint64

// PartKeyOf returns the key of the part with the ID in prompts for the model.
func PartKeyOf(model, id string) PartKey {
	return PartKey(xxh3.HashStringSeed(id, xxh3.HashString(model)))
}

// PartCrash reports that a run broke off, probably because its backend server
// crashed.
type PartCrash struct {
	Server  uint64        // Hash of the server's name.
	Content uint64        // Identifies the content of the request.
	Parts   []SuspectPart // Parts of the prompt that may have caused the crash, in the order of the prompt.
}

// SuspectPart is a part of a prompt that was running when a server crashed.
type SuspectPart struct {
	Key   PartKey
	Sound bool          // A prompt with the part has been answered before.
	Age   time.Duration // Time since then.
}

// PartQuarantine is the refusal of prompts with a part.
type PartQuarantine struct {
	Part  PartKey
	Level int       // Number of times in a row that the part has been quarantined.
	Since time.Time // Start of this quarantine.
	Sound bool      // Prompts with the part had been answered before.

	// Servers are the hashes of the names of the servers whose crashes led to a first
	// quarantine, at most MaxQuarantineServers. A quarantine that was read from the
	// shared table has none.
	Servers []uint64
}

// MaxQuarantineServers is the maximum number of servers of a PartQuarantine.
const MaxQuarantineServers = 12

const (
	// minPartCrashes is the number of crashes after which a part is quarantined,
	// and minPartContents the number of different requests that must have been
	// running in them. A single request that is sent again and again shows nothing
	// about its parts.
	minPartCrashes  = 3
	minPartContents = 2

	// minSoundCrashes and minSoundContents are the same for a part with which
	// prompts have been answered before. Such a part usually was in prompts that
	// happened to be running when servers crashed.
	minSoundCrashes  = 4
	minSoundContents = 3

	// askCrashes is the number of crashes after which other routers are asked
	// whether they know the part to be sound.
	askCrashes = 2

	// minAnswers is the number of prompts that this router must have answered to know
	// the share of them that has a part.
	minAnswers = 50

	// BegunTime is the time after the first event of an answer from which the parts of its
	// prompt are not suspected when the server crashes.
	BegunTime = 250 * time.Millisecond

	// askTime is the time that other routers have to reply.
	askTime = 100 * time.Millisecond

	// SoundTime is the time for which a part counts as sound after a prompt with it
	// was answered.
	SoundTime = 10 * time.Minute

	// firstPartTime is the duration of a first quarantine, after which a request
	// that is let through shows whether the part was rightly suspected.
	firstPartTime = 5 * time.Second

	// secondPartTime is the duration of a second quarantine in a row, which doubles
	// with each further one up to maxPartTime.
	secondPartTime = 2 * time.Minute
	maxPartTime    = time.Hour

	// sentBeforeTime is the time after the start of a quarantine in which servers
	// crash by requests with the part that were sent before.
	sentBeforeTime = time.Second

	// trialTime is the time to wait for the outcome of a request that is let through
	// after a quarantine.
	trialTime = 10 * time.Second
)

// duration returns the duration of the quarantine, to which each router adds up to
// the same time.
func (q PartQuarantine) duration() time.Duration {
	if q.Level <= 1 {
		return firstPartTime
	}
	d := secondPartTime
	for range q.Level - 2 {
		d = min(2*d, maxPartTime)
	}
	return d
}
