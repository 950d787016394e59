package amrcache

import (
	"encoding/binary"
	"fmt"
	"runtime"
	"strings"
	"testing"

	"github.com/cockroachdb/datadriven"
	"github.com/matryer/is"
	"github.com/zeebo/xxh3"

	"amaranthreach.example/core/amrprompt"
)

// TestScripts runs the scripts in testdata. Each letter of a prompt stands for a
// block whose key consists of that letter.
func TestScripts(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		x := New(WithCapacity(6))
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			return command(t, x, d)
		})
	})
}

// command carries out one command of a script and returns the state of the index.
func command(t *testing.T, x *Index, d *datadriven.TestData) string {
	var prompt string
	if d.HasArg("prompt") {
		d.ScanArgs(t, "prompt", &prompt)
	}
	keys := blocks(prompt)
	switch d.Cmd {
	case "events":
		var incarnation string
		d.ScanArgs(t, "incarnation", &incarnation)
		x.Apply(incarnation, events(t, d.Input))
	case "expect":
		x.Expect(keys)
	case "abandoned":
		x.CancelExpected(keys)
	case "computed":
		x.MarkComputed(keys)
	case "observed":
		var cached int
		d.ScanArgs(t, "cached", &cached)
		x.Reconcile(keys, cached, d.HasArg("computed"))
	case "capacity":
		var n int
		d.ScanArgs(t, "blocks", &n)
		x.SetCapacity(n)
	case "depth":
	default:
		d.Fatalf(t, "unknown command %q", d.Cmd)
	}
	return fmt.Sprintf("depth=%d expected=%d len=%d missed=%d\n",
		x.Depth(keys), x.ExpectedDepth(keys), x.Len(), x.LostEvents())
}

// blocks returns one key for each letter of the prompt.
func blocks(prompt string) []amrprompt.Key {
	keys := make([]amrprompt.Key, len(prompt))
	for i := range keys {
		keys[i][0] = prompt[i]
	}
	return keys
}

// events parses cache events, one on each line.
func events(t *testing.T, input string) []Event {
	var all []Event
	for line := range strings.Lines(input) {
		var e Event
		var letter string
		if _, err := fmt.Sscan(line, &e.Seq, &e.Kind, &letter); err != nil && e.Kind != Cleared {
			t.Fatal(err)
		}
		if letter != "" {
			e.Key[0] = letter[0]
		}
		all = append(all, e)
	}
	return all
}

// TestLatest checks that the most recently used blocks are returned first.
func TestLatest(t *testing.T) {
	is := is.New(t)
	x := New()
	x.Expect(blocks("abc"))
	x.MarkComputed(blocks("abc"))
	x.Reconcile(blocks("ad"), 2, true)
	is.Equal(x.Latest(3), []uint64{'a', 'd', 'b'})
	is.Equal(len(x.Latest(9)), 4)
}

// TestJournal checks that readers get the blocks stored for other readers exactly
// once, and that the numbers of blocks and readers stay within their limits.
func TestJournal(t *testing.T) {
	is := is.New(t)
	var j Journal
	j.Add("router-1", blocks("ab"))
	j.Add("router-2", blocks("c"))
	is.Equal(j.Read("router-1", 5), []uint64{'c'})
	is.Equal(j.Read("router-2", 1), []uint64{'a'})
	is.Equal(j.Read("router-2", 5), []uint64{'b'})
	is.Equal(len(j.Read("router-2", 5)), 0)
	for i := range 2 * journalSize {
		j.Add("router-1", numbered(i, 1))
	}
	is.Equal(len(j.Read("router-1", 5)), 0)
	is.Equal(len(j.Read("router-2", 2*journalSize)), journalSize)
	for i := range 2 * maxReaders {
		j.Read(fmt.Sprint(i), 1)
	}
	is.Equal(len(j.readers), maxReaders)
}

// TestFullSizeMemory checks that an index with the capacity of a full-size engine
// takes at most 64 bytes per block. That is 6 MB of the 256 MB that a process may
// take.
func TestFullSizeMemory(t *testing.T) {
	is := is.New(t)
	const bound = 64 // Bytes per block.
	is.True(bytesPerBlock() <= bound)
}

func BenchmarkMemory(b *testing.B) {
	for b.Loop() {
		b.ReportMetric(bytesPerBlock(), "bytes/block")
	}
}

func BenchmarkExpectedDepth(b *testing.B) {
	x := New()
	keys := numbered(0, 16)
	x.Expect(keys)
	x.MarkComputed(keys)
	b.ReportAllocs()
	for b.Loop() {
		x.ExpectedDepth(keys)
	}
}

// bytesPerBlock returns the heap memory per block of an index that has been
// filled beyond its capacity.
func bytesPerBlock() float64 {
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	x := New()
	for i := 0; i < 2*DefaultCapacity; i += 8 {
		keys := numbered(i, 8)
		x.Expect(keys)
		x.MarkComputed(keys)
	}
	runtime.GC()
	runtime.ReadMemStats(&after)
	size := float64(after.HeapAlloc) - float64(before.HeapAlloc)
	return size / float64(x.Len())
}

// numbered returns n distinct keys; the same numbers always give the same keys.
func numbered(from, n int) []amrprompt.Key {
	keys := make([]amrprompt.Key, n)
	for i := range keys {
		binary.LittleEndian.PutUint64(keys[i][:], xxh3.HashString(fmt.Sprint(from+i)))
	}
	return keys
}
