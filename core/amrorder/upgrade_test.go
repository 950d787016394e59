package amrorder_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"amaranthreach.example/core/amrorder"
)

func upgradeServers(n int) []amrorder.UpgradeServer {
	servers := make([]amrorder.UpgradeServer, n)
	for i := range servers {
		servers[i] = amrorder.UpgradeServer{Name: fmt.Sprintf("e%02d", i), Version: 1, InProgress: float64(n - i)}
	}
	return servers
}

// TestUpgradeKeepsCapacity checks that at most a third of a pool changes at the
// same time, beginning with the least loaded servers, and that a newer target
// replaces one to which not all servers have changed yet.
func TestUpgradeKeepsCapacity(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	u := amrorder.NewUpgrade()
	servers := upgradeServers(12)
	is.True(!u.Needed(1, servers))
	is.True(u.Needed(2, servers))
	is.Equal(u.Plan(now, 2, servers), []string{"e11", "e10", "e09", "e08"})
	is.Equal(len(u.Plan(now, 2, servers)), 0)

	servers[11].Version = 2
	u.Finish(now, "e11", true)
	is.Equal(u.Plan(now, 3, servers), []string{"e07"}) // The oldest weights go first.
	is.Equal(u.Running(), []string{"e07", "e08", "e09", "e10"})
}

// TestUpgradeSkipsServers checks that draining and blocked servers, and for a
// while those whose change failed, are not changed.
func TestUpgradeSkipsServers(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	u := amrorder.NewUpgrade()
	servers := upgradeServers(3)
	servers[0].Draining = true
	servers[1].Blocked = true
	is.Equal(u.Plan(now, 2, servers), []string{"e02"})
	u.Finish(now, "e02", false)
	is.Equal(len(u.Plan(now, 2, servers)), 0) // A failed change is tried again after a delay.
	is.Equal(u.Plan(now.Add(time.Second), 2, servers), []string{"e02"})
	u.Finish(now, "e02", true)
	servers[2].Version = 2
	servers[1].Blocked = false
	is.Equal(u.Plan(now, 2, servers), []string{"e01"}) // At least one server changes, even in a small pool.
	is.True(u.Needed(2, servers))
	servers[1].Version = 2
	is.True(!u.Needed(2, servers)) // A draining server needs no new weights.
}
