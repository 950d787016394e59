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

// TestRollout runs the commands in testdata/rollout on one set. "put" adds
// records in YAML, "put-json" adds one in JSON as another program would encode
// it, "in-force" prints the number of requests for which each version of a
// deployment's weights is in force in an availability zone, "variants" prints
// all variants in the set, and "remove" removes the deployment.
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
				set = roundTrip(t, set.With(records...))
				return ""
			case "put-json":
				var r amrrecord.Record
				if err := json.Unmarshal([]byte(d.Input), &r); err != nil {
					return err.Error()
				}
				set = roundTrip(t, set.With(r))
				return ""
			case "in-force":
				var zone string
				d.MaybeScanArgs(t, "zone", &zone)
				return countRequestsByWeights(set.WithAvailabilityZone(zone))
			case "variants":
				return formatVariants(set)
			case "remove":
				set = set.Without(amrrecord.ID{Kind: amrrecord.KindDeployment, Name: "m1"})
				return ""
			default:
				return "unknown command " + d.Cmd
			}
		})
	})
}

// roundTrip encodes and decodes the set, as if another process had read it
// from a snapshot.
func roundTrip(t *testing.T, set amrrecord.Set) amrrecord.Set {
	t.Helper()
	data, err := set.MarshalBinary()
	if err != nil {
		t.Fatal(err)
	}
	var decoded amrrecord.Set
	if err := decoded.UnmarshalBinary(data); err != nil {
		t.Fatal(err)
	}
	return decoded
}

// countRequestsByWeights prints the number of requests, out of 1,000, for
// which each version of the weights is in force.
func countRequestsByWeights(set amrrecord.Set) string {
	counts := map[string]int{}
	for i := range 1000 {
		d, ok := set.ForRequest(fmt.Sprintf("request-%d", i)).Deployment("m1")
		if !ok {
			counts["none"]++
			continue
		}
		counts[d.Versions[0].Weights]++
	}
	return fmt.Sprintln(counts)
}

// formatVariants returns one line for each variant in the set.
func formatVariants(set amrrecord.Set) string {
	var b strings.Builder
	for _, r := range set.Variants() {
		fmt.Fprintf(&b, "%s version=%d known=%t rollout=%v\n", r.ID(), r.SchemaVersion, r.SchemaKnown(), r.Rollout)
	}
	return b.String()
}

// TestRolloutGrows checks that a request for which the new record is in force
// keeps it when the share of the rollout grows.
func TestRolloutGrows(t *testing.T) {
	is := is.New(t)
	old := amrrecord.Set{}.With(amrrecord.Record{Name: "p", Spec: amrrecord.RoutingPolicy{MaxAttempts: 1}})
	withRollout := func(percent int) amrrecord.Set {
		return old.With(amrrecord.Record{Name: "p", Rollout: amrrecord.Rollout{Share: percent}, Spec: amrrecord.RoutingPolicy{MaxAttempts: 2}})
	}
	small, large := withRollout(10), withRollout(40)
	for i := range 1000 {
		request := fmt.Sprint(i)
		before, _ := small.ForRequest(request).RoutingPolicy("p")
		after, _ := large.ForRequest(request).RoutingPolicy("p")
		is.True(before.MaxAttempts <= after.MaxAttempts)
	}
}
