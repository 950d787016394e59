package amrdirect

import "time"

// orderNotes are the times of the last orders, by the clock of the shared table, by host and
// engine. They are not earlier than the orders.
type orderNotes map[string]map[string]orderMS

// orderMS is a time in milliseconds of the shared table's clock.
type orderMS int64

// add records an order unless a later one is known.
func (n orderNotes) add(host, engine string, at time.Duration) {
	if n[host] == nil {
		n[host] = make(map[string]orderMS)
	}
	n[host][engine] = max(n[host][engine], orderMS((at + time.Millisecond - 1).Milliseconds()))
}

// merge records the orders of other notes.
func (n orderNotes) merge(other orderNotes) {
	for host, engines := range other {
		for engine, at := range engines {
			n.add(host, engine, at.duration())
		}
	}
}

// drop drops the orders from before the time.
func (n orderNotes) drop(before time.Duration) {
	for host, engines := range n {
		for engine, at := range engines {
			if at.duration() < before {
				delete(engines, engine)
			}
		}
		if len(engines) == 0 {
			delete(n, host)
		}
	}
}

func (ms orderMS) duration() time.Duration {
	return time.Duration(ms) * time.Millisecond
}

// orderRetention is how much longer than necessary notes tell orders, since the clock of the
// table is known only by bounds.
const orderRetention = time.Second

// recordOrder records that this host may just have given the engine an order.
func (r *rollout) recordOrder(engine string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.orderTimes.add(r.host, engine, r.latestTableTime(r.boot.Now()))
}

// latestTableTime returns the latest possible reading of the table's clock at the local time.
// The caller must hold r.mu.
func (r *rollout) latestTableTime(at time.Time) time.Duration {
	if latest, ok := r.tableTime.latest(at); ok {
		return latest
	}
	return r.tableNow() + at.Sub(r.boot.Now()) + callTimeout // No call takes longer.
}

// noteOrders adds the last orders to the note, with those that the last holder may have given
// until its lease expired. The caller must hold r.mu.
func (r *rollout) noteOrders(note *rolloutNote) {
	now := r.boot.Now()
	for _, o := range r.handover.ordersUntil(r.lease.Expiry()) {
		r.orderTimes.add(o.host, o.engine, r.latestTableTime(o.at))
	}
	r.orderTimes.drop(r.latestTableTime(now) - r.handover.gap - orderRetention)
	knownFrom := r.handover.knownFrom
	if r.eraAt.After(knownFrom) {
		knownFrom = r.eraAt
	}
	since := r.latestTableTime(knownFrom).Milliseconds()
	note.Orders, note.OrdersSinceMS = r.orderTimes, &since
}

// observedOrders returns what the note tells of orders, by the local clock, when the table's
// clock reads tableNow or later. No order can be later than the note is read. The caller must
// hold r.mu.
func (r *rollout) observedOrders(note rolloutNote, tableNow time.Duration) observedNote {
	observed := observedNote{engines: note.engines()}
	if note.OrdersSinceMS == nil {
		return observed
	}
	now := r.boot.Now()
	local := func(at time.Duration) time.Time { return now.Add(min(0, at-tableNow)) }
	observed.knownFrom = local(orderMS(*note.OrdersSinceMS).duration())
	for host, engines := range note.Orders {
		for engine, at := range engines {
			observed.orders = append(observed.orders, lastOrder{engine: engine, host: host, at: local(at.duration())})
		}
	}
	return observed
}
