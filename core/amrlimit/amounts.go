// Package amrlimit enforces limits on the requests of each team across all
// routers.
//
// Each router enforces a share of the team's limits on its own. One of the
// routers, the allocator of the team, divides the limits among all routers: the
// routers regularly report their demand to it, and it grants shares in
// proportion to the demand. A share expires unless it is renewed.
//
// With Quotas, routers together never exceed a team's quota: credit accrues in one place
// only, and is lost, but never doubled, when something fails.
package amrlimit

import (
	"slices"
	"time"

	"github.com/zeebo/xxh3"

	"amaranthreach.example/core/amrrecord"
)

// Dimension is a quantity that a team's limits apply to.
type Dimension int

// The dimensions.
const (
	Requests    Dimension = iota // Per second.
	Tokens                       // Per second.
	Concurrency                  // Requests in flight.

	dimensions = 3
)

// String returns the name of the dimension's limit in the record of a team.
func (d Dimension) String() string {
	return [dimensions]string{"requests-per-second", "tokens-per-second", "concurrency"}[d]
}

// Amounts holds a value for each dimension.
type Amounts [dimensions]float64

// LimitsOf returns the limits of the team. A limit of 0 means that there is none.
func LimitsOf(t amrrecord.Team) Amounts {
	return Amounts{t.RequestsPerSecond, t.TokensPerSecond, float64(t.Concurrency)}
}

func (a Amounts) isZero() bool {
	return a == Amounts{}
}

// Usage is the report of a router to the allocator of a team.
type Usage struct {
	Team   string
	Limits Amounts
	Demand Amounts // Rates of the requests and tokens that arrived, and the peak concurrency that they asked for.
	Used   Amounts // Rates of the requests and tokens that were admitted.
	Held   Amounts // Share that the router holds, or zero if it has none.
}

// Grant is a share of the limits of a team that its allocator gives to a router.
// The share expires unless it is renewed by a later grant.
type Grant struct {
	Team       string
	Share      Amounts
	NextReport time.Duration // Longest time until the router's next report.
}

// shareLifetime returns how long a router may use a share that it cannot renew.
func shareLifetime(next time.Duration) time.Duration {
	return 2*next + time.Second
}

// shareExpiry returns how long the allocator reserves a share that is not
// renewed. It is longer than shareLifetime, so that a share is not granted to
// another router while the first one may still use it.
func shareExpiry(next time.Duration) time.Duration {
	return 3*next + 2*time.Second
}

// AllocatorOf returns the router that is the allocator of the team, or "" if
// there are no routers. It is selected by rendezvous hashing, so that routers
// that know the same routers agree on it and few teams change their allocator
// when a router joins or leaves.
func AllocatorOf(team string, routers []string) string {
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
