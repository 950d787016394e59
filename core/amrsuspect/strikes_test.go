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
		s.Add(now, bad)
		if i == 0 {
			s.Add(now, neighbour)
		}
	}
	is.True(s.Quarantined(now, bad))
	is.True(!s.Quarantined(now, neighbour))
	is.True(s.Clear(neighbour))
	is.True(!s.Clear(neighbour))

	now = now.Add(amrsuspect.StrikeTime)
	is.True(!s.Quarantined(now, bad)) // It may try again, once.
	s.Add(now, bad)
	is.True(!s.Quarantined(now, bad))
}
