package amrorder

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"amaranthreach.example/core/amrplatform"
)

const testTTL = 10 * time.Second

// leaseTable applies the actions of a lease to an item of a table.
type leaseTable struct {
	item amrplatform.Item
}

// perform performs the action and those that follow it, until there is none.
func (t *leaseTable) perform(l *Lease, now time.Time, action LeaseAction) {
	for action != nil {
		switch a := action.(type) {
		case ReadLease:
			action = l.Apply(now, LeaseRead{Item: t.item})
		case WriteLease:
			t.write(a)
			action = l.Apply(now, LeaseWritten{})
		}
	}
}

func (t *leaseTable) write(a WriteLease) {
	t.item = amrplatform.Item{Key: a.Txn.Puts[0].Key, Value: a.Txn.Puts[0].Value, Version: t.item.Version + 1}
}

// TestResignDuringRenewal guards against a lease that its holder takes for released
// although the table still names it: Resign is called while a renewal is in flight.
func TestResignDuringRenewal(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	table := &leaseTable{}
	l := NewLease(now, "m1", "router-1", testTTL)
	now = now.Add(testTTL)
	table.perform(&l, now, l.Apply(now, LeaseTick{}))
	_, held := l.Held(now)
	is.True(held)

	now = now.Add(testTTL / renewalsPerTTL)
	action := l.Apply(now, LeaseTick{})
	is.True(action != nil)
	renewal, ok := l.Apply(now, LeaseRead{Item: table.item}).(WriteLease)
	is.True(ok)
	l.Resign()
	table.write(renewal)
	table.perform(&l, now, l.Apply(now, LeaseWritten{}))
	is.True(!l.Resigned())
	table.perform(&l, now, l.Apply(now, LeaseTick{}))
	is.True(l.Resigned())
	value, err := decodeLease(table.item)
	is.NoErr(err)
	is.Equal(value.Holder, "")
}

// TestUnreadableLease guards against fencing tokens that fall: an item that cannot be
// decoded does not tell the tokens of earlier holders.
func TestUnreadableLease(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	table := &leaseTable{item: amrplatform.Item{Key: LeaseKey("m1"), Value: leaseValue{Fence: 40}.encode(), Version: 80}}
	table.item.Value, table.item.Version = []byte("garbage"), 81
	l := NewLease(now, "m1", "router-1", testTTL)
	now = now.Add(testTTL)
	table.perform(&l, now, l.Apply(now, LeaseTick{}))
	fence, held := l.Held(now)
	is.True(held)
	is.True(fence > 40)
	is.Equal(LeaseFence(table.item), fence)
}
