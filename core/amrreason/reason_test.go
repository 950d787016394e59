package amrreason

import (
	"flag"
	"fmt"
	"os"
	"strings"
	"testing"

	"github.com/matryer/is"
)

var update = flag.Bool("update", false, "rewrite the table of reasons")

// tableFile is the operators' page whose last part is the table of reasons.
const tableFile = "../../docs/operators/reason-codes.md"

// TestTable checks that the operators' table of reasons lists the reasons as
// defined in the code. With the flag -update it writes the table instead.
func TestTable(t *testing.T) {
	is := is.New(t)
	data, err := os.ReadFile(tableFile)
	is.NoErr(err)
	head, _, found := strings.Cut(string(data), "| code |")
	is.True(found)
	var b strings.Builder
	b.WriteString("| code | HTTP status | ran | what it says | remedy |\n|---|---|---|---|---|\n")
	for _, r := range All() {
		fmt.Fprintf(&b, "| `%s` | %d | %s | %s | %s |\n", r.Code, r.Status, r.Ran, r.Message, r.Remedy)
	}
	if *update {
		is.NoErr(os.WriteFile(tableFile, []byte(head+b.String()), 0o644))
		return
	}
	is.Equal(string(data), head+b.String())
}

// TestLookup checks that each code has exactly one complete reason and that an
// undefined code has the reason of Internal.
func TestLookup(t *testing.T) {
	is := is.New(t)
	seen := map[Code]bool{}
	for _, r := range All() {
		is.True(!seen[r.Code])
		seen[r.Code] = true
		is.Equal(Lookup(r.Code), r)
		is.True(r.Message != "" && r.Remedy != "" && r.Status >= 400)
	}
	is.Equal(Lookup("no such code").Code, Internal)
}
