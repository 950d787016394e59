package amrpack_test

import (
	"testing"

	"github.com/matryer/is"

	"amaranthreach.example/core/amrpack"
)

// TestMarshalUnmarshal checks that Unmarshal restores a value that Marshal
// encoded, and returns an error for truncated data.
func TestMarshalUnmarshal(t *testing.T) {
	is := is.New(t)
	data, err := amrpack.Marshal([]string{"a", "b"})
	is.NoErr(err)
	var decoded []string
	is.NoErr(amrpack.Unmarshal(data, &decoded))
	is.Equal(decoded, []string{"a", "b"})
	is.True(amrpack.Unmarshal(data[:len(data)-1], &decoded) != nil)
}
