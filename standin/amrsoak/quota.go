package amrsoak

import (
	"fmt"
	"slices"
	"time"

	"golang.org/x/sync/errgroup"

	"amaranthreach.example/standin/amrsite"
)

// limitedTeam is the name of the team with a quota. It counts requests.
const limitedTeam = "olinda"

var limitedQuota = amrsite.Quota{RatePerS: 10, Burst: 10}

const (
	quotaWindow       = 8 * time.Second       // Window in which the runs of limitedTeam are counted.
	quotaFactor       = 1.1                   // Multiple of the quota that may run in a window,
	quotaSlack        = 10                    // and the number of runs beyond that.
	quotaSendInterval = 20 * time.Millisecond // Time between two requests of limitedTeam: five times its quota.
)

// maxQuotaRuns is the largest number of runs of limitedTeam in any quotaWindow.
func maxQuotaRuns() int {
	return int((limitedQuota.RatePerS*quotaWindow.Seconds()+limitedQuota.Burst)*quotaFactor) + quotaSlack
}

// teamOfKey returns the name of the team with the key.
func teamOfKey(key string) string {
	if key == limitedKey {
		return limitedTeam
	}
	return amrsite.Team
}

// putRecords writes the records of the last version. The caller must hold s.mu.
func (s *site) putRecords() {
	s.store.PutConfigWithTeams(s.recordsVersion, modelName,
		amrsite.TeamEntry{Name: amrsite.Team, Keys: s.keys},
		amrsite.TeamEntry{Name: limitedTeam, Keys: []string{limitedKey}, Quota: limitedQuota})
}

// exceedQuota sends several times the quota of limitedTeam to all routers in turn, for a
// window and the duration.
func (s *site) exceedQuota(f fault) {
	var group errgroup.Group
	group.SetLimit(maxInFlight)
	n := int((quotaWindow + f.Length) / quotaSendInterval)
	for i := range n {
		request := amrsite.Request{
			ID: fmt.Sprintf("quota-%d-%d", s.clock.Now().UnixNano(), i), Route: routes[i%len(routes)], Key: limitedKey,
			Model: modelName, Timeout: requestTimeout, PromptParts: "2:800",
		}
		group.Go(func() error { s.send(s.routers[(f.Router+i/len(routes))%len(s.routers)], request); return nil })
		s.clock.Sleep(quotaSendInterval)
	}
	_ = group.Wait() // The functions return no error.
}

// checkQuota counts a run of limitedTeam, and checks its quota in the window that ends
// now. Only requests that were also sent in the window count, because faults of links
// delay others. The quota holds whatever disturbs the routers. The caller must hold c.mu.
func (c *Checker) checkQuota(tracked *trackedRequest, now time.Time) {
	if tracked.request.Key != limitedKey {
		return
	}
	c.quotaRuns = slices.DeleteFunc(append(c.quotaRuns, tracked.sent), func(sent time.Time) bool { return now.Sub(sent) > quotaWindow })
	exceeded := c.maxQuotaRuns > maxQuotaRuns()
	c.maxQuotaRuns = max(c.maxQuotaRuns, len(c.quotaRuns))
	if !exceeded && c.maxQuotaRuns > maxQuotaRuns() {
		c.report("quotas of teams", "%d requests of %s ran in %v, of which %d are allowed", len(c.quotaRuns), limitedTeam, quotaWindow, maxQuotaRuns())
	}
}
