package amrdirect

import (
	"slices"
	"strings"
	"time"
)

const (
	// waitLogAge is the age of declared weights from which the engines that do not hold them
	// yet are logged, with the reason, once in each waitLogInterval.
	waitLogAge      = 3 * time.Second
	waitLogInterval = time.Second
)

// logWaits logs which engines do not hold the declared weights yet although these are not
// new any more, why not, and which host holds the lease.
func (r *rollout) logWaits(now time.Time) {
	if now.Before(r.nextWaitLog) {
		return
	}
	r.nextWaitLog = now.Add(waitLogInterval)
	for model, pools := range r.pools() {
		oldest, waits := r.waits(now, model, pools)
		if oldest < waitLogAge {
			continue
		}
		r.mu.Lock()
		_, held := r.lease.Held(now)
		holder, free := r.lease.Holder(), r.lease.Expiry().Sub(now)
		r.mu.Unlock()
		r.log.Info("engines wait for new weights", "model", model, "weights", r.fleet.Target(model), "oldest", oldest.Round(time.Millisecond),
			"lease-held", held, "holder", holder, "lease-free-in", free.Round(time.Millisecond), "engines", strings.Join(waits, " "))
	}
}

// waits returns the engines of the pools with old weights and the reason for which each of
// them waits, as far as this router plans the changes, and the age of the weights that the
// first of them should hold.
func (r *rollout) waits(now time.Time, model string, pools []string) (oldest time.Duration, waits []string) {
	outdated := make(map[string]time.Duration)
	for _, pool := range pools {
		for name, age := range r.fleet.OutdatedFor(r.clock.Now(), pool, model) {
			outdated[name] = age
			oldest = max(oldest, age)
		}
	}
	if oldest < waitLogAge {
		return oldest, nil
	}
	servers, _ := r.servers(model, pools)
	u := r.upgrade(model)
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, s := range servers {
		if age, ok := outdated[s.Name]; ok {
			waits = append(waits, s.Name+"="+string(u.Wait(now, s))+":"+age.Round(time.Millisecond).String())
		}
	}
	slices.Sort(waits)
	return oldest, waits
}
