package amrconfig_test

import (
	"context"
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/joomcode/errorx"
	"github.com/matryer/is"
	"golang.org/x/sync/errgroup"

	"amaranthreach.example/core/amrconfig"
	"amaranthreach.example/core/amrmemory"
	"amaranthreach.example/core/amrrecord"
)

// teamRecord returns the record of a team with a limit on its concurrency.
func teamRecord(name string, limit int) amrrecord.Record {
	return amrrecord.Record{Name: name, Spec: amrrecord.Team{Concurrency: limit}}
}

// putChange returns a change that puts the records.
func putChange(records ...amrrecord.Record) amrconfig.Change {
	return amrconfig.Change{Put: records, Author: "ana", SourceAddress: "10.0.0.9", Reason: "test"}
}

// TestApply checks the revisions that Apply returns, the detection of
// conflicts and the check of references.
func TestApply(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx := t.Context()
		platform := amrmemory.New()
		store := amrconfig.NewStore(platform, platform)

		first, err := store.Apply(ctx, putChange(teamRecord("recife", 1), teamRecord("olinda", 1)))
		is.NoErr(err)
		is.Equal(first, uint64(1))
		second, err := store.Apply(ctx, putChange(teamRecord("recife", 2)))
		is.NoErr(err)
		is.Equal(second, uint64(2))
		same, err := store.Apply(ctx, putChange(teamRecord("recife", 2)))
		is.NoErr(err)
		is.Equal(same, uint64(2)) // The record is already the same.

		other := putChange(teamRecord("olinda", 5))
		other.Base = 1
		third, err := store.Apply(ctx, other)
		is.NoErr(err) // No other change to olinda since the base revision.
		is.Equal(third, uint64(3))
		late := putChange(teamRecord("recife", 9))
		late.Base = 1
		_, err = store.Apply(ctx, late)
		is.True(errorx.IsOfType(err, amrconfig.Conflict))

		set, err := amrconfig.NewStore(platform, platform).Load(ctx)
		is.NoErr(err)
		is.Equal(set.Revision(), uint64(3))
		recife, _ := set.Team("recife")
		is.Equal(recife.Concurrency, 2)

		_, err = store.Apply(ctx, putChange(amrrecord.Record{Name: "b1", Spec: amrrecord.BackendServer{
			Deployment: "m1", Address: "127.0.0.1:1", AvailabilityZone: "a"}}))
		is.True(err != nil) // The deployment m1 does not exist.
		is.True(strings.Contains(err.Error(), "there is no deployment/m1"))
	})
}

// TestDeleteReferencedRecord checks that a record cannot be deleted while a
// variant in force for some requests refers to it.
func TestDeleteReferencedRecord(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		platform := amrmemory.New()
		store := amrconfig.NewStore(platform, platform)
		policy := func(name string) amrrecord.Record {
			return amrrecord.Record{Name: name, Spec: amrrecord.RoutingPolicy{Policy: amrrecord.PolicyCacheAware}}
		}
		deployment := func(policy string, rollout amrrecord.Rollout) amrrecord.Record {
			return amrrecord.Record{Name: "m1", Rollout: rollout, Spec: amrrecord.Deployment{
				Type: amrrecord.TypeModel, Model: "m1", RoutingPolicy: policy}}
		}
		_, err := store.Apply(t.Context(), putChange(policy("old"), policy("new"), deployment("old", amrrecord.Rollout{}),
			deployment("new", amrrecord.Rollout{Share: 10})))
		is.NoErr(err)
		for _, name := range []string{"old", "new"} {
			change := putChange()
			change.Delete = []amrrecord.ID{{Kind: amrrecord.KindRoutingPolicy, Name: name}}
			_, err = store.Apply(t.Context(), change)
			is.True(err != nil) // Each is in force for some of the requests.
		}
		_, err = store.Apply(t.Context(), putChange(deployment("new", amrrecord.Rollout{})))
		is.NoErr(err)
		change := putChange()
		change.Delete = []amrrecord.ID{{Kind: amrrecord.KindRoutingPolicy, Name: "old"}}
		_, err = store.Apply(t.Context(), change)
		is.NoErr(err)
	})
}

// TestApplyLostAnswers checks that each change is applied exactly once
// although the table loses replies or transactions take effect late.
func TestApplyLostAnswers(t *testing.T) {
	faults := map[string]amrmemory.Faults{
		"lost":    {LoseNextAnswers: 3},
		"delayed": {DelayNextTxns: 3},
	}
	for name, fault := range faults {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				platform := amrmemory.New()
				store := amrconfig.NewStore(platform, platform)
				platform.SetFaults(fault)
				for i := range 5 {
					revision, err := store.Apply(t.Context(), putChange(teamRecord("recife", i+1)))
					is.NoErr(err)
					is.Equal(revision, uint64(i+1))
				}
			})
		})
	}
}

// TestApplyToken checks that a change that is applied again with the same
// token has no further effect.
func TestApplyToken(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		platform := amrmemory.New()
		store := amrconfig.NewStore(platform, platform)
		change := putChange(teamRecord("recife", 1))
		change.Token = "t1"

		platform.SetFaults(amrmemory.Faults{LostAnswerRate: 1})
		revision, err := store.Apply(t.Context(), change)
		is.NoErr(err) // The attempt after the lost reply finds the token.
		is.Equal(revision, uint64(1))

		again, err := store.Apply(t.Context(), change)
		is.NoErr(err)
		is.Equal(again, uint64(1)) // The token was already applied.
	})
}

// TestApplyRace checks that 20 concurrent writers apply each change exactly
// once while the table loses replies.
func TestApplyRace(t *testing.T) {
	const (
		writers = 20
		changes = 10
		lost    = 0.1
	)
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		platform := amrmemory.New(amrmemory.WithSeed(7))
		platform.SetFaults(amrmemory.Faults{LostAnswerRate: lost, Latency: 2 * time.Millisecond})
		var g errgroup.Group
		for w := range writers {
			store := amrconfig.NewStore(platform, platform, amrconfig.WithSeed(uint64(w)))
			g.Go(func() error {
				for i := range changes {
					own := teamRecord(fmt.Sprintf("team-%d", w), i+1)
					if _, err := store.Apply(t.Context(), putChange(own, teamRecord(fmt.Sprintf("last-%d-%d", w, i), 1))); err != nil {
						return err
					}
				}
				return nil
			})
		}
		is.NoErr(g.Wait())

		store := amrconfig.NewStore(platform, platform)
		set, err := store.Load(t.Context())
		is.NoErr(err)
		is.Equal(set.Revision(), uint64(writers*changes))
		is.Equal(set.Len(), writers+writers*changes)
		is.True(platform.Counters().LostAnswers > 0)
		entries, err := store.VerifyAudit(t.Context())
		is.NoErr(err)
		is.Equal(entries, writers*changes)
	})
}

// TestFollower checks that a follower without peers reads new records from the
// store.
func TestFollower(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx, cancel := context.WithCancel(t.Context())
		platform := amrmemory.New()
		store := amrconfig.NewStore(platform, platform)
		follower := amrconfig.NewFollower(amrconfig.NewStore(platform, platform))
		var g errgroup.Group
		g.Go(func() error { return follower.Run(ctx) })

		_, err := store.Apply(ctx, putChange(teamRecord("recife", 1)))
		is.NoErr(err)
		time.Sleep(2 * time.Second) //nolint:forbidigo // Fake time of the bubble.
		is.Equal(follower.Current().Revision(), uint64(1))
		cancel()
		is.NoErr(g.Wait())
	})
}
