package amrprompt

import (
	"strings"
	"testing"

	"github.com/matryer/is"
)

// TestKeysAreScoped checks that a prompt has different keys in scopes that differ
// in team, deployment or weights version, even if the concatenations of their
// names are equal.
func TestKeysAreScoped(t *testing.T) {
	prompt := strings.Repeat("Agenda, ruled. ", BytesPerBlock/5)
	scopes := []Scope{
		{"recife", "m1", "w1"},
		{"fortaleza", "m1", "w1"},
		{"recife", "m2", "w1"},
		{"recife", "m1", "w2"},
		{"recifem", "1", "w1"},
		{"recife", "m1w", "1"},
	}
	seen := make(map[Key]Scope)
	for _, scope := range scopes {
		for _, key := range Keys(scope, prompt) {
			if other, ok := seen[key]; ok {
				t.Errorf("%v and %v share a key", scope, other)
			}
			seen[key] = scope
		}
	}
}

// TestKeysChain checks that the key of a block depends on all blocks before it, but
// on no text after it.
func TestKeysChain(t *testing.T) {
	is := is.New(t)
	scope := Scope{"recife", "m1", "w1"}
	first, second := strings.Repeat("a", BytesPerBlock), strings.Repeat("b", BytesPerBlock)
	both := Keys(scope, first+second)
	is.Equal(len(both), 2)
	is.Equal(Keys(scope, first+second+"tail"), both)
	is.Equal(Keys(scope, first)[0], both[0])
	is.True(Keys(scope, second+second)[1] != both[1])
	is.Equal(DecodeKeys(EncodeKeys(both)), both)
	is.Equal(len(Keys(scope, first[1:])), 0)
}
