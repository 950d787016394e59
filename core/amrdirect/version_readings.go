package amrdirect

import (
	"slices"
	"time"

	"amaranthreach.example/core/amrfollow"
)

// maxVersionReadings is the maximum number of readings that versionReadings keeps. It has
// room for one of each of many hosts.
const maxVersionReadings = 1024

// readingNote is the form of a reading in the rows that routers write. The time that it tells
// is from before the write.
type readingNote struct {
	Era     uint64 `json:"era"`
	Version uint64 `json:"version"`
	AtMS    int64  `json:"at-ms"`
}

// noteOf returns the note of the reading, or nil if there is none.
func noteOf(r amrfollow.Reading) *readingNote {
	if r == (amrfollow.Reading{}) {
		return nil
	}
	return &readingNote{Era: r.Era, Version: r.Version, AtMS: r.Now.Milliseconds()}
}

// reading returns the noted reading, which is the zero value if n is nil.
func (n *readingNote) reading() amrfollow.Reading {
	if n == nil {
		return amrfollow.Reading{}
	}
	position := amrfollow.Position{Era: n.Era, Version: n.Version}
	return amrfollow.Reading{Position: position, Now: time.Duration(n.AtMS) * time.Millisecond}
}

// versionReadings tells from when rows of the platform's tables may be. All tables share one
// counter of versions, so that a row with a higher version than that of a reading was
// written later. A row itself does not tell when it was written, and a router that starts
// may read it long afterwards. It is not safe for concurrent use. The zero value has no
// readings.
type versionReadings struct {
	readings []amrfollow.Reading // In ascending order of their times.
}

// observe adds a reading, and reports whether it was not known.
func (v *versionReadings) observe(r amrfollow.Reading) bool {
	if r == (amrfollow.Reading{}) || slices.Contains(v.readings, r) {
		return false
	}
	i, _ := slices.BinarySearchFunc(v.readings, r.Now, func(known amrfollow.Reading, now time.Duration) int {
		return int(known.Now - now)
	})
	v.readings = slices.Insert(v.readings, i, r)
	excess := max(0, len(v.readings)-maxVersionReadings)
	v.readings = slices.Delete(v.readings, 0, excess)
	return true
}

// notBefore returns the latest known time before which a row of the position was not
// written, by the clock of the tables. It is 0 if nothing is known.
func (v *versionReadings) notBefore(row amrfollow.Position) time.Duration {
	for _, r := range slices.Backward(v.readings) {
		if r.Era == row.Era && r.Version < row.Version {
			return r.Now
		}
	}
	return 0
}
