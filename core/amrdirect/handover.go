package amrdirect

import (
	"maps"
	"time"
)

// handover enforces the minimum time between orders that two hosts give to the
// same engine. It relies on the notes in the rollout lease: a holder gives
// orders only to engines that its note names, and each note tells the last orders to
// the others, so that the newest one suffices.
type handover struct {
	gap           time.Duration        // Minimum time between orders of two hosts.
	knownFrom     time.Time            // Time from which all orders are known.
	host          string               // Name of this router's host.
	holder        string               // Host that wrote the last note; empty before the first one.
	holderEngines map[string]bool      // Engines that the last note names.
	allowedFrom   map[string]time.Time // Earliest time at which this host may give orders, by engine.
}

// lastOrder is the last order of a host to an engine. The time is not earlier than that of
// the order.
type lastOrder struct {
	engine string
	host   string
	at     time.Time
}

// observedNote is what a note in the rollout lease tells of orders.
type observedNote struct {
	engines   map[string]bool // Engines to which the holder may be giving orders.
	orders    []lastOrder     // Last orders to other engines.
	knownFrom time.Time       // Time from which the note tells them all; zero if it does not tell them.
}

// newHandover returns the handover of a router that starts at now on the host.
func newHandover(now time.Time, host string, gap time.Duration) *handover {
	return &handover{gap: gap, knownFrom: now, host: host, holderEngines: make(map[string]bool), allowedFrom: make(map[string]time.Time)}
}

// observeLease records a note of the lease holder.
func (h *handover) observeLease(now time.Time, holder string, note observedNote) {
	tellsOrders := !note.knownFrom.IsZero()
	if h.holder != h.host && !tellsOrders {
		for engine := range h.holderEngines {
			h.wait(engine, now)
		}
	}
	for _, o := range note.orders {
		if o.host != h.host {
			h.wait(o.engine, o.at)
		}
	}
	if tellsOrders && note.knownFrom.Before(h.knownFrom) {
		h.knownFrom = note.knownFrom
	}
	h.holder = holder
	h.holderEngines = maps.Clone(note.engines)
	for engine, at := range h.allowedFrom {
		if now.Sub(at) > 0 {
			delete(h.allowedFrom, engine)
		}
	}
}

// wait records that another host may have given the engine an order at the time.
func (h *handover) wait(engine string, at time.Time) {
	if from := at.Add(h.gap); from.After(h.allowedFrom[engine]) {
		h.allowedFrom[engine] = from
	}
}

// forget records that notes may have been lost, so that any host may have given
// orders to any engine until now.
func (h *handover) forget(now time.Time) {
	h.knownFrom = now
}

// takeOver records that this host takes over the lease from the last holder,
// which may have given orders to the engines of its note until its lease
// expired.
func (h *handover) takeOver(expiry time.Time) {
	for _, o := range h.ordersUntil(expiry) {
		h.wait(o.engine, o.at)
	}
	if h.holder != "" {
		h.holder = h.host
	}
}

// ordersUntil returns the orders that another host may have given as the holder of the
// lease until that expired.
func (h *handover) ordersUntil(expiry time.Time) []lastOrder {
	if h.holder == h.host {
		return nil
	}
	var orders []lastOrder
	for engine := range h.holderEngines {
		orders = append(orders, lastOrder{engine: engine, host: h.holder, at: expiry})
	}
	return orders
}

// noneBefore records that no host has given orders before now.
func (h *handover) noneBefore(now time.Time) {
	h.knownFrom = now.Add(-h.gap)
}

// allowed reports whether this host may give the engine an order. Orders that
// another host gave before they were all known are not known. Therefore no engine
// is allowed until the minimum time has passed since then.
func (h *handover) allowed(now time.Time, engine string) bool {
	return !now.Before(h.knownFrom.Add(h.gap)) && !now.Before(h.allowedFrom[engine])
}
