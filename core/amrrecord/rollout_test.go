package amrrecord_test

import (
	"encoding/json"
	"fmt"
	"strings"
	"testing"

	"github.com/cockroachdb/datadriven"
	"github.com/matryer/is"

	"amaranthreach.example/core/amrrecord"
)

// TestRollout runs the commands of testdata/rollout on one set: "put" adds
// records, "put-json" one as another program wrote it, "in-force" prints the
// weights of a deployment for an availability zone and a request, "variants"
// what is kept, and "remove" removes the deployment.
func TestRollout(t *testing.T) {
	datadriven.Walk(t, "testdata/rollout", func(t *testing.T, path string) {
		var set amrrecord.Set
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			switch d.Cmd {
			case "put":
				records, err := amrrecord.Parse("records.yaml", []byte(d.Input))
				if err != nil {
					return err.Error()
				}
				set = reread(t, set.With(records...))
				return ""
			case "put-json":
				var r amrrecord.Record
				if err := json.Unmarshal([]byte(d.Input), &r); err != nil {
					return err.Error()
				}
				set = reread(t, set.With(r))
				return ""
			case "in-force":
				var zone string
				d.MaybeScanArgs(t, "zone", &zone)
				return weights(set.WithAvailabilityZone(zone))
			case "variants":
				return variants(set)
			case "remove":
				set = set.Without(amrrecord.ID{Kind: amrrecord.KindDeployment, Name: "m1"})
				return ""
			default:
				return "unknown command " + d.Cmd
			}
		})
	})
}

// reread returns the set as another process takes it from a snapshot.
func reread(t *testing.T, set amrrecord.Set) amrrecord.Set {
	t.Helper()
	data, err := set.MarshalBinary()
	if err != nil {
		t.Fatal(err)
	}
	var back amrrecord.Set
	if err := back.UnmarshalBinary(data); err != nil {
		t.Fatal(err)
	}
	return back
}

// weights counts for how many of 1,000 requests each version is in force.
func weights(set amrrecord.Set) string {
	counts := map[string]int{}
	for i := range 1000 {
		d, ok := set.For(fmt.Sprintf("request-%d", i)).Deployment("m1")
		if !ok {
			counts["none"]++
			continue
		}
		counts[d.Versions[0].Weights]++
	}
	return fmt.Sprintln(counts)
}

func variants(set amrrecord.Set) string {
	var b strings.Builder
	for _, r := range set.Variants() {
		fmt.Fprintf(&b, "%s version=%d known=%t rollout=%v\n", r.ID(), r.SchemaVersion, r.Known(), r.Rollout)
	}
	return b.String()
}

// TestRolloutGrows checks that a request keeps the new record while the share
// grows.
func TestRolloutGrows(t *testing.T) {
	is := is.New(t)
	old := amrrecord.Set{}.With(amrrecord.Record{Name: "p", Spec: amrrecord.RoutingPolicy{MaxAttempts: 1}})
	share := func(percent int) amrrecord.Set {
		return old.With(amrrecord.Record{Name: "p", Rollout: amrrecord.Rollout{Share: percent}, Spec: amrrecord.RoutingPolicy{MaxAttempts: 2}})
	}
	few, many := share(10), share(40)
	for i := range 1000 {
		request := fmt.Sprint(i)
		before, _ := few.For(request).RoutingPolicy("p")
		after, _ := many.For(request).RoutingPolicy("p")
		is.True(before.MaxAttempts <= after.MaxAttempts)
	}
}
