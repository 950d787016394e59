package amrcoord

import "amaranthreach.example/core/amrgossip"

// maxRepeats is the maximum number of ends that a query reports again.
const maxRepeats = 8

// Repeats holds the ends of requests that the next query to their coordinators reports
// again, because the first report may be lost. Without it, the coordinator would count
// the request as in flight until its deadline. The zero value is ready to use. It is
// not safe for concurrent use.
type Repeats struct {
	byHost map[amrgossip.HostID][]amrgossip.Update
}

// Add records an end that was reported to the coordinator. If there are more than a
// query can report, the oldest one is forgotten.
func (r *Repeats) Add(host amrgossip.HostID, end amrgossip.Update) {
	if r.byHost == nil {
		r.byHost = make(map[amrgossip.HostID][]amrgossip.Update)
	}
	r.byHost[host] = append(r.byHost[host], end)
	if n := len(r.byHost[host]); n > maxRepeats {
		r.byHost[host] = r.byHost[host][n-maxRepeats:]
	}
}

// Take returns the ends to report again with a query to the coordinator, and forgets
// them.
func (r *Repeats) Take(host amrgossip.HostID) []amrgossip.Update {
	ends := r.byHost[host]
	delete(r.byHost, host)
	return ends
}

// retain forgets the ends for coordinators that are not among the hosts.
func (r *Repeats) retain(hosts map[amrgossip.HostID]bool) {
	for host := range r.byHost {
		if !hosts[host] {
			delete(r.byHost, host)
		}
	}
}
