package amrdirect

import (
	"amaranthreach.example/core/amrbytes"
	"amaranthreach.example/core/amrgossip"
)

// Settings holds the configuration of a Router.
type Settings struct {
	Host             string // Name of the router's host.
	AvailabilityZone string
	PeersAddress     string   // Address at which other routers read this router's copies of tables; empty if it serves none.
	NoticesAddress   string   // UDP address at which this router receives notices of other routers; empty if it neither receives nor sends any.
	Seeds            []string // Peers addresses of some routers, used until the shared table has been read.
	Bounds           Bounds
	PrefillRate      float64 // Prefill throughput of an engine in prompt tokens per second; 0 selects amrpool.DefaultPrefillRate.
	Capacity         float64 // Processing capacity of the host, relative to those of other routers; 0 counts as 1.
	NoticesBudget    float64 // Bytes per second that this router may send to others by notices; 0 selects amrgossip.DefaultBudget, and a negative number no limit.

	AdmissionByUrgency bool    // All pools admit requests by urgency, not only those whose servers report a pace.
	HardServerMemory   bool    // Routers keep the requests in flight within the memory of servers; see amrpool.WithHardServerMemory.
	ReturnShare        float64 // See amrforward.WithReturnShare.
	HeldBytes          int64   // Bound of the bytes that the router holds for its callers; 0 selects amrbytes.DefaultBound.
}

// heldBytes returns the bound of the bytes that the router holds for its callers.
func (s Settings) heldBytes() int64 {
	if s.HeldBytes == 0 {
		return amrbytes.DefaultBound
	}
	return s.HeldBytes
}

// noticesBudget returns the budget of notices in bytes per second; 0 means no limit.
func (s Settings) noticesBudget() float64 {
	switch {
	case s.NoticesBudget < 0:
		return 0
	case s.NoticesBudget == 0:
		return amrgossip.DefaultBudget
	}
	return s.NoticesBudget
}
