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

const table = "../../docs/operators/reason-codes.md"

// TestTable checks the operators' table of reasons against the code. With
// -update it writes the table.
func TestTable(t *testing.T) {
	is := is.New(t)
	data, err := os.ReadFile(table)
	is.NoErr(err)
	head, _, found := strings.Cut(string(data), "| code |")
	is.True(found)
	var b strings.Builder
	b.WriteString("| code | HTTP status | ran | what it says | remedy |\n|---|---|---|---|---|\n")
	for _, r := range All() {
		fmt.Fprintf(&b, "| `%s` | %d | %s | %s | %s |\n", r.Code, r.Status, r.Ran, r.Message, r.Remedy)
	}
	if *update {
		is.NoErr(os.WriteFile(table, []byte(head+b.String()), 0o644))
		return
	}
	is.Equal(string(data), head+b.String())
}

// TestOf checks that every code has one reason and an unknown code none of its
// own.
func TestOf(t *testing.T) {
	is := is.New(t)
	seen := map[Code]bool{}
	for _, r := range All() {
		is.True(!seen[r.Code])
		seen[r.Code] = true
		is.Equal(Of(r.Code), r)
		is.True(r.Message != "" && r.Remedy != "" && r.Status >= 400)
	}
	is.Equal(Of("no such code").Code, Internal)
}
