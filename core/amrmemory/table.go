package amrmemory

import (
	"context"
	"slices"

	"amaranthreach.example/core/amrplatform"
)

// Get implements amrplatform.Table.
func (p *Platform) Get(ctx context.Context, key string) (amrplatform.Item, error) {
	var item amrplatform.Item
	err := p.read(ctx, func() error {
		found, ok := p.table.get(key)
		if !ok {
			return amrplatform.NotFound.New("no item has the key %q: check the key", key)
		}
		item = cloneItem(found)
		return nil
	})
	return item, err
}

// Scan implements amrplatform.Table.
func (p *Platform) Scan(ctx context.Context, prefix, after string, limit int) ([]amrplatform.Item, error) {
	var items []amrplatform.Item
	err := p.read(ctx, func() error {
		for _, key := range p.table.after(prefix, after, limit) {
			item, _ := p.table.get(key)
			items = append(items, cloneItem(item))
		}
		return nil
	})
	return items, err
}

// Commit implements amrplatform.Table.
func (p *Platform) Commit(ctx context.Context, txn amrplatform.Txn) error {
	if p.delayTxn(txn) {
		return amrplatform.OutcomeUnknown.New("the answer to the write was lost: read the key again to see whether the write took effect")
	}
	return p.write(ctx, func() error { return p.apply(txn) })
}

// delayTxn delays the transaction until a later call if the simulated faults
// require it, and reports whether it did.
func (p *Platform) delayTxn(txn amrplatform.Txn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.faults.DelayNextTxns == 0 || p.faults.Down {
		return false
	}
	p.faults.DelayNextTxns--
	p.counters.Writes++
	p.counters.LostAnswers++
	p.delayed = append(p.delayed, cloneTxn(txn))
	return true
}

// applyDelayed applies the delayed transactions. p.mu must be held.
func (p *Platform) applyDelayed() {
	delayed := p.delayed
	p.delayed = nil
	for _, txn := range delayed {
		_ = p.apply(txn) // A transaction whose check fails has no effect, as if it had arrived only now.
	}
}

// apply applies the transaction, or returns an error of kind Conflict if one of
// its checks fails. p.mu must be held.
func (p *Platform) apply(txn amrplatform.Txn) error {
	for _, check := range txn.Checks {
		item, _ := p.table.get(check.Key)
		if item.Version != check.Version {
			return amrplatform.Conflict.New("key %q is at version %d, not %d: read it again and retry",
				check.Key, item.Version, check.Version)
		}
	}
	for _, put := range txn.Puts {
		p.versions[put.Key]++
		p.table.put(put.Key, amrplatform.Item{
			Key:     put.Key,
			Value:   slices.Clone(put.Value),
			Version: p.versions[put.Key],
		})
	}
	for _, key := range txn.Deletes {
		p.table.remove(key)
	}
	return nil
}

func cloneItem(item amrplatform.Item) amrplatform.Item {
	item.Value = slices.Clone(item.Value)
	return item
}

func cloneTxn(txn amrplatform.Txn) amrplatform.Txn {
	txn.Checks = slices.Clone(txn.Checks)
	txn.Puts = slices.Clone(txn.Puts)
	txn.Deletes = slices.Clone(txn.Deletes)
	for i := range txn.Puts {
		txn.Puts[i].Value = slices.Clone(txn.Puts[i].Value)
	}
	return txn
}
