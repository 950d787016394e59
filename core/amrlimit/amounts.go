// Package amrlimit holds the limits of each team over all routers. Every
// router works with a share of the limit that one of the routers, the team's
// accountant, gives out by demand.
package amrlimit

import (
	"slices"
	"time"

	"github.com/zeebo/xxh3"

	"amaranthreach.example/core/amrrecord"
)

// Dimension is one of the limits of a team.
type Dimension int

// The dimensions.
const (
	Requests    Dimension = iota // Per second.
	Tokens                       // Per second.
	Concurrency                  // Requests in flight.

	dimensions = 3
)

// String returns the name of the dimension in a team's record.
func (d Dimension) String() string {
	return [dimensions]string{"requests-per-second", "tokens-per-second", "concurrency"}[d]
}

// Amounts holds a value for each dimension.
type Amounts [dimensions]float64

// LimitsOf returns the limits of the team; 0 means no limit.
func LimitsOf(t amrrecord.Team) Amounts {
	return Amounts{t.RequestsPerSecond, t.TokensPerSecond, float64(t.Concurrency)}
}

func (a Amounts) isZero() bool {
	return a == Amounts{}
}

// Usage is what a router tells the accountant of a team.
type Usage struct {
	Team   string
	Limits Amounts
	Demand Amounts // Rates offered, and the highest number wanted in flight.
	Used   Amounts // Rates admitted.
	Held   Amounts // Share that the router works with; zero for none.
}

// Grant is the share of a router until it expires.
type Grant struct {
	Team  string
	Share Amounts
	Next  time.Duration // After which the router reports again, at the latest.
}

// lifetime returns how long a router may use a share that it can't renew.
func lifetime(next time.Duration) time.Duration {
	return 2*next + time.Second
}

// expiry returns how long an accountant counts a share that was not renewed.
// It is longer than the lifetime, so that a share is never given out twice.
func expiry(next time.Duration) time.Duration {
	return 3*next + 2*time.Second
}

// Accountant returns the router that gives out the shares of the team: the one
// with the highest rendezvous score. It returns "" when there is no router.
func Accountant(team string, routers []string) string {
	if len(routers) == 0 {
		return ""
	}
	return slices.MaxFunc(routers, func(a, b string) int {
		x, y := xxh3.HashString(team+"\x00"+a), xxh3.HashString(team+"\x00"+b)
		switch {
		case x < y:
			return -1
		case x > y:
			return 1
		default:
			return 0
		}
	})
}
