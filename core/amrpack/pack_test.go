package amrpack_test

import (
	"testing"

	"github.com/matryer/is"

	"amaranthreach.example/core/amrpack"
)

func TestPack(t *testing.T) {
	is := is.New(t)
	data, err := amrpack.Marshal([]string{"a", "b"})
	is.NoErr(err)
	var back []string
	is.NoErr(amrpack.Unmarshal(data, &back))
	is.Equal(back, []string{"a", "b"})
	is.True(amrpack.Unmarshal(data[:len(data)-1], &back) != nil)
}
