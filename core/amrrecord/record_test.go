package amrrecord_test

import (
	"errors"
	"fmt"
	"os"
	"runtime"
	"strings"
	"testing"

	"github.com/cockroachdb/datadriven"
	"github.com/matryer/is"

	"amaranthreach.example/core/amrrecord"
)

// TestParse runs the commands in testdata/parse on records in YAML. "parse"
// prints the parsed records as Marshal writes them, "convert to=VERSION"
// prints them in another schema version, and "validate" prints the errors of
// Validate for a set of the records.
func TestParse(t *testing.T) {
	datadriven.Walk(t, "testdata/parse", func(t *testing.T, path string) {
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			records, err := amrrecord.Parse("records.yaml", []byte(d.Input))
			if err != nil {
				return err.Error() + "\n"
			}
			switch d.Cmd {
			case "parse":
				return marshalAll(records)
			case "convert":
				var version int
				d.ScanArgs(t, "to", &version)
				return convertAll(records, version)
			case "validate":
				return fmt.Sprintln(amrrecord.Validate(amrrecord.Set{}.With(records...)))
			default:
				return "unknown command " + d.Cmd
			}
		})
	})
}

// marshalAll returns the records as YAML, with a line of two hyphens between
// them, or the first error.
func marshalAll(records []amrrecord.Record) string {
	var b strings.Builder
	for i, r := range records {
		text, err := amrrecord.Marshal(r)
		if err != nil {
			return err.Error()
		}
		if i > 0 {
			b.WriteString("--\n")
		}
		b.Write(text)
	}
	return b.String()
}

// convertAll returns the records as YAML in the given schema version, or all
// errors of the conversion.
func convertAll(records []amrrecord.Record, version int) string {
	var errs []error
	for i, r := range records {
		var err error
		records[i], err = r.Convert(version)
		errs = append(errs, err)
	}
	if err := errors.Join(errs...); err != nil {
		return err.Error() + "\n"
	}
	return marshalAll(records)
}

// TestSetIndexes checks that changes to a set update the lookups of teams by
// key and of backend servers by deployment, and that the original set keeps
// its own.
func TestSetIndexes(t *testing.T) {
	is := is.New(t)
	digest := strings.Repeat("ab", 32)
	team := amrrecord.Record{Name: "recife", Spec: amrrecord.Team{KeySHA256: []string{digest}}}
	backendServer := func(name, deployment string) amrrecord.Record {
		return amrrecord.Record{Name: name, Spec: amrrecord.BackendServer{Deployment: deployment}}
	}
	old := amrrecord.Set{}.With(team, backendServer("b2", "m1"), backendServer("b1", "m1"))
	moved := old.With(backendServer("b1", "m2"))

	name, _, ok := old.TeamByKey(digest)
	is.True(ok)
	is.Equal(name, "recife")
	is.Equal(old.BackendServers("m1"), []amrrecord.Record{backendServer("b1", "m1"), backendServer("b2", "m1")})
	is.Equal(moved.BackendServers("m1"), []amrrecord.Record{backendServer("b2", "m1")})
	is.Equal(moved.BackendServers("m2"), []amrrecord.Record{backendServer("b1", "m2")})
	is.Equal(moved.Len(), 3)

	_, _, ok = old.With(amrrecord.Record{Name: "recife", Spec: amrrecord.Team{}}).TeamByKey(digest)
	is.True(!ok) // The new record of the team no longer has the key.
	is.Equal(len(moved.Without(backendServer("b1", "").ID()).BackendServers("m2")), 0)
}

// TestSnapshot checks that a set is unchanged after it is encoded and decoded.
func TestSnapshot(t *testing.T) {
	is := is.New(t)
	data, err := os.ReadFile("testdata/example.yaml")
	is.NoErr(err)
	records, err := amrrecord.Parse("example.yaml", data)
	is.NoErr(err)
	set := amrrecord.Set{}.With(records...).WithRevision(7)
	is.NoErr(amrrecord.Validate(set))

	snapshot, err := set.MarshalBinary()
	is.NoErr(err)
	var decoded amrrecord.Set
	is.NoErr(decoded.UnmarshalBinary(snapshot))
	is.Equal(decoded.Revision(), uint64(7))
	is.Equal(marshalAll(decoded.Records()), marshalAll(set.Records()))
}

// FuzzParse checks that each error of Parse contains the file name and that
// Parse accepts the output of Marshal for each record.
func FuzzParse(f *testing.F) {
	example, err := os.ReadFile("testdata/example.yaml")
	if err != nil {
		f.Fatal(err)
	}
	f.Add(example)
	f.Fuzz(func(t *testing.T, data []byte) {
		records, err := amrrecord.Parse("f.yaml", data)
		if err != nil {
			if !strings.Contains(err.Error(), "f.yaml:") {
				t.Fatalf("the error does not contain the file name: %v", err)
			}
			return
		}
		for _, r := range records {
			text, err := amrrecord.Marshal(r)
			if err != nil {
				t.Fatal(err)
			}
			if _, err := amrrecord.Parse("again.yaml", text); err != nil {
				t.Fatalf("%s\n%v", text, err)
			}
		}
	})
}

const (
	serverCount     = 12000
	teamCount       = 2800
	deploymentCount = 7
)

// newLargeSet returns a set of 12,000 backend servers and 2,800 teams.
func newLargeSet() amrrecord.Set {
	var records []amrrecord.Record
	for i := range serverCount {
		records = append(records, newBackendServerRecord(i, deploymentCount, false))
	}
	for i := range teamCount {
		records = append(records, amrrecord.Record{Name: fmt.Sprint("team-", i), Spec: amrrecord.Team{
			KeySHA256: []string{amrrecord.KeyDigest(fmt.Sprint(i))}, RequestsPerSecond: float64(i)}})
	}
	return amrrecord.Set{}.With(records...)
}

// BenchmarkSnapshot encodes and decodes a large set. It reports the encoded
// size and the size of the set in memory.
func BenchmarkSnapshot(b *testing.B) {
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	set := newLargeSet()
	runtime.GC()
	runtime.ReadMemStats(&after)
	var size int
	for b.Loop() {
		data, err := set.MarshalBinary()
		if err != nil {
			b.Fatal(err)
		}
		size = len(data)
		var decoded amrrecord.Set
		if err := decoded.UnmarshalBinary(data); err != nil {
			b.Fatal(err)
		}
	}
	b.ReportMetric(float64(size), "snapshot-bytes")
	b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc), "set-bytes")
}

// BenchmarkSetWith replaces one backend server in a large set.
func BenchmarkSetWith(b *testing.B) {
	set := newLargeSet()
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		set = set.With(newBackendServerRecord(i%serverCount, deploymentCount, i/serverCount%2 == 0))
	}
}

// newBackendServerRecord returns the record of backend server i, which belongs
// to deployment i%deployments.
func newBackendServerRecord(i, deployments int, drain bool) amrrecord.Record {
	return amrrecord.Record{Name: fmt.Sprint("b", i), Spec: amrrecord.BackendServer{
		Deployment: fmt.Sprint("m", i%deployments), Address: "10.0.0.1:7000", AvailabilityZone: "a", Drain: drain}}
}
