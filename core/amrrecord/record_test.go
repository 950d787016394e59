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

// TestParse runs the commands of testdata/parse: "parse" prints the records
// as they are written again, "convert" in another schema version, "validate"
// what is wrong with the set.
func TestParse(t *testing.T) {
	datadriven.Walk(t, "testdata/parse", func(t *testing.T, path string) {
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			records, err := amrrecord.Parse("records.yaml", []byte(d.Input))
			if err != nil {
				return err.Error() + "\n"
			}
			switch d.Cmd {
			case "parse":
				return write(records)
			case "convert":
				var version int
				d.ScanArgs(t, "to", &version)
				return convert(records, version)
			case "validate":
				return fmt.Sprintln(amrrecord.Validate(amrrecord.Set{}.With(records...)))
			default:
				return "unknown command " + d.Cmd
			}
		})
	})
}

func write(records []amrrecord.Record) string {
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

func convert(records []amrrecord.Record, version int) string {
	var errs []error
	for i, r := range records {
		var err error
		records[i], err = r.Convert(version)
		errs = append(errs, err)
	}
	if err := errors.Join(errs...); err != nil {
		return err.Error() + "\n"
	}
	return write(records)
}

func TestSetIndexes(t *testing.T) {
	is := is.New(t)
	digest := strings.Repeat("ab", 32)
	team := amrrecord.Record{Name: "recife", Spec: amrrecord.Team{KeySHA256: []string{digest}}}
	of := func(name, deployment string) amrrecord.Record {
		return amrrecord.Record{Name: name, Spec: amrrecord.BackendServer{Deployment: deployment}}
	}
	old := amrrecord.Set{}.With(team, of("b2", "m1"), of("b1", "m1"))
	moved := old.With(of("b1", "m2"))

	name, _, ok := old.TeamByKey(digest)
	is.True(ok)
	is.Equal(name, "recife")
	is.Equal(old.BackendServers("m1"), []amrrecord.Record{of("b1", "m1"), of("b2", "m1")})
	is.Equal(moved.BackendServers("m1"), []amrrecord.Record{of("b2", "m1")})
	is.Equal(moved.BackendServers("m2"), []amrrecord.Record{of("b1", "m2")})
	is.Equal(moved.Len(), 3)

	_, _, ok = old.With(amrrecord.Record{Name: "recife", Spec: amrrecord.Team{}}).TeamByKey(digest)
	is.True(!ok) // The key was taken from the team.
	is.Equal(len(moved.Without(of("b1", "").ID()).BackendServers("m2")), 0)
}

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
	var back amrrecord.Set
	is.NoErr(back.UnmarshalBinary(snapshot))
	is.Equal(back.Revision(), uint64(7))
	is.Equal(write(back.Records()), write(set.Records()))
}

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
				t.Fatalf("error names no file: %v", err)
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
	servers     = 12000
	teams       = 2800
	deployments = 7
)

// fullSet returns 12,000 backend servers and 2,800 teams.
func fullSet() amrrecord.Set {
	var records []amrrecord.Record
	for i := range servers {
		records = append(records, server(i, deployments, false))
	}
	for i := range teams {
		records = append(records, amrrecord.Record{Name: fmt.Sprint("team-", i), Spec: amrrecord.Team{
			KeySHA256: []string{amrrecord.KeyDigest(fmt.Sprint(i))}, RequestsPerSecond: float64(i)}})
	}
	return amrrecord.Set{}.With(records...)
}

// BenchmarkSnapshot writes and reads a whole set. It reports the size of the
// snapshot and of the set in memory.
func BenchmarkSnapshot(b *testing.B) {
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	set := fullSet()
	runtime.GC()
	runtime.ReadMemStats(&after)
	var size int
	for b.Loop() {
		data, err := set.MarshalBinary()
		if err != nil {
			b.Fatal(err)
		}
		size = len(data)
		var back amrrecord.Set
		if err := back.UnmarshalBinary(data); err != nil {
			b.Fatal(err)
		}
	}
	b.ReportMetric(float64(size), "snapshot-bytes")
	b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc), "set-bytes")
}

// BenchmarkSetWith changes one backend server of a whole set.
func BenchmarkSetWith(b *testing.B) {
	set := fullSet()
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		set = set.With(server(i%servers, deployments, i/servers%2 == 0))
	}
}

func server(i, deployments int, drain bool) amrrecord.Record {
	return amrrecord.Record{Name: fmt.Sprint("b", i), Spec: amrrecord.BackendServer{
		Deployment: fmt.Sprint("m", i%deployments), Address: "10.0.0.1:7000", AvailabilityZone: "a", Drain: drain}}
}
