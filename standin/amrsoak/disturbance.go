package amrsoak

import (
	"sync"
	"time"
)

// allRouters is used in place of a router's name for a disturbance of all
// routers.
const allRouters = ""

// interval is the time interval of a disturbance.
type interval struct {
	from, to time.Time // to is zero while the disturbance lasts.
}

// overlaps reports whether the disturbance was active at any time between from
// and to.
func (i interval) overlaps(from, to time.Time) bool {
	return i.from.Before(to) && (i.to.IsZero() || i.to.After(from))
}

// disturbances records when faults disturbed each router. The time limits of the
// promises apply only to routers without a disturbance for the settle time of
// timeLimits. The zero value is ready to use.
type disturbances struct {
	mu        sync.Mutex
	intervals map[string][]*interval
}

// begin records that the router is disturbed from now on until the returned
// function is called. The router may be allRouters.
func (d *disturbances) begin(router string, now time.Time) (end func(now time.Time)) {
	d.mu.Lock()
	defer d.mu.Unlock()
	i := &interval{from: now}
	if d.intervals == nil {
		d.intervals = make(map[string][]*interval)
	}
	d.intervals[router] = append(d.intervals[router], i)
	return func(now time.Time) {
		d.mu.Lock()
		defer d.mu.Unlock()
		i.to = now
	}
}

// undisturbed reports whether no disturbance of the router or of allRouters was
// active at any time between from and to.
func (d *disturbances) undisturbed(router string, from, to time.Time) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return !d.overlaps(router, from, to) && !d.overlaps(allRouters, from, to)
}

// undisturbedAlone reports whether no disturbance of the router itself was active
// at any time between from and to. Disturbances of allRouters, such as those of the
// store, do not count.
func (d *disturbances) undisturbedAlone(router string, from, to time.Time) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return !d.overlaps(router, from, to)
}

// overlaps reports whether a disturbance with the name was active at any time
// between from and to. The caller must hold d.mu.
func (d *disturbances) overlaps(name string, from, to time.Time) bool {
	for _, i := range d.intervals[name] {
		if i.overlaps(from, to) {
			return true
		}
	}
	return false
}

// any reports whether there was a disturbance with the name.
func (d *disturbances) any(name string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return len(d.intervals[name]) > 0
}

// covers reports whether one disturbance with the name began by from and lasted until to.
// The caller must hold d.mu.
func (d *disturbances) covers(name string, from, to time.Time) bool {
	for _, i := range d.intervals[name] {
		if !i.from.After(from) && (i.to.IsZero() || !i.to.Before(to)) {
			return true
		}
	}
	return false
}
