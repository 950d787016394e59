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
		is.True(s.Quarantined(now, bad) == 0)
		s.Add(now, bad, uint64(i))
		if i == 0 {
			s.Add(now, neighbour, uint64(i))
		}
	}
	is.Equal(s.Quarantined(now, bad), amrsuspect.StrikeTime)
	is.True(s.Quarantined(now, neighbour) == 0)
	is.True(s.RanWell(now, neighbour))
	is.True(!s.RanWell(now, neighbour))

	now = now.Add(amrsuspect.StrikeTime)
	is.True(s.Quarantined(now, bad) == 0) // It may try again, once.
	s.Add(now, bad, 1)
	is.True(s.Quarantined(now, bad) == 0)
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
		is.True(s.Quarantined(now, popular) == 0)
		for i := range copies {
			s.Add(now.Add(time.Duration(i)*10*time.Millisecond), popular, 7)
		}
		is.Equal(s.Quarantined(now, popular) > 0, crash == amrsuspect.MaxStrikes-1)
		now = now.Add(5 * time.Second)
	}
}

// TestPopularRequest checks that a request which runs well all the while is not
// stopped when many servers crash at once, and that one which begins to break
// servers is.
func TestPopularRequest(t *testing.T) {
	const crashes = 10
	is := is.New(t)
	now := time.Unix(1000, 0)
	s := amrsuspect.NewStrikes()
	popular := amrsuspect.FingerprintOf("recife", "/x", "popular")
	s.RanWell(now, popular)
	now = now.Add(100 * time.Millisecond)
	for server := range uint64(crashes) {
		is.True(!s.Add(now, popular, server))
	}
	is.True(s.Quarantined(now, popular) == 0)
	now = now.Add(3 * time.Second)
	for server := range uint64(amrsuspect.MaxStrikes) {
		is.True(s.Add(now, popular, server))
	}
	is.True(s.Quarantined(now, popular) > 0)
}

// TestRetell checks that a router which refuses a request tells of it again, now
// and then, so that another one which runs it well can clear it.
func TestRetell(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	here, there := amrsuspect.NewStrikes(), amrsuspect.NewStrikes()
	f := amrsuspect.FingerprintOf("recife", "/x", "popular")
	_, ok := here.Retell(now, f)
	is.True(!ok)
	for server := range uint64(amrsuspect.MaxStrikes) {
		here.Add(now, f, server)
	}
	server, ok := here.Retell(now, f)
	is.True(ok)
	_, ok = here.Retell(now, f)
	is.True(!ok) // Not for each request that is refused.
	there.Add(now, f, server)
	is.True(there.Quarantined(now, f) == 0) // It is told of one strike, and runs it.
	is.True(there.RanWell(now, f))          // So that it tells that the request is cleared.
	here.Clear(f)
	is.True(here.Quarantined(now, f) == 0)
}
