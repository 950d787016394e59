package amrsuspect_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"amaranthreach.example/core/amrsuspect"
)

// TestStrikes checks that a request that breaks its backend servers is stopped
// after the third, and that one that was only beside it is not.
func TestStrikes(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	s := amrsuspect.NewStrikes()
	bad := amrsuspect.FingerprintOf("recife", "/x", "crash")
	neighbour := amrsuspect.FingerprintOf("recife", "/x", "innocent")
	for i := range amrsuspect.MaxStrikes {
		is.True(!s.Quarantined(now, bad))
		s.Add(now, bad, uint64(i))
		if i == 0 {
			s.Add(now, neighbour, uint64(i))
		}
	}
	is.True(s.Quarantined(now, bad))
	is.True(!s.Quarantined(now, neighbour))
	is.True(s.Clear(neighbour))
	is.True(!s.Clear(neighbour))

	now = now.Add(amrsuspect.StrikeTime)
	is.True(!s.Quarantined(now, bad)) // It may try again, once.
	s.Add(now, bad, 1)
	is.True(!s.Quarantined(now, bad))
}

// TestCopiesOfOneCrash checks that many copies of a request that break off with
// one server, as those of a popular prompt do when it crashes, count as one
// strike, and that a further crash of the server counts again.
func TestCopiesOfOneCrash(t *testing.T) {
	const copies = 20
	is := is.New(t)
	now := time.Unix(1000, 0)
	s := amrsuspect.NewStrikes()
	popular := amrsuspect.FingerprintOf("recife", "/x", "popular")
	for crash := range amrsuspect.MaxStrikes {
		is.True(!s.Quarantined(now, popular))
		for i := range copies {
			s.Add(now.Add(time.Duration(i)*10*time.Millisecond), popular, 7)
		}
		is.Equal(s.Quarantined(now, popular), crash == amrsuspect.MaxStrikes-1)
		now = now.Add(5 * time.Second)
	}
}
