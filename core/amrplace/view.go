package amrplace

import (
	"encoding/binary"
	"math"
	"math/bits"

	"github.com/zeebo/xxh3"

	"amaranthreach.example/core/amrprompt"
)

// Member is a backend server that may get new work.
type Member struct {
	Name              string
	AvailabilityZone  string
	EngineIncarnation string  // Empty if it is unknown.
	Weight            float64 // Fraction of its usual load that it should get; values outside (0, 1] mean 1.
}

// View is an immutable set of backend servers.
type View struct {
	members []Member
	hashes  []uint64 // Hashes of the names of the members.
	uniform bool     // All weights are 1.
}

// NewView returns a view of a copy of the members.
func NewView(members []Member) View {
	v := View{members: append([]Member(nil), members...), hashes: make([]uint64, len(members)), uniform: true}
	for i := range v.members {
		m := &v.members[i]
		if m.Weight <= 0 || m.Weight > 1 {
			m.Weight = 1
		}
		v.uniform = v.uniform && m.Weight == 1
		v.hashes[i] = xxh3.HashString(m.Name)
	}
	return v
}

// Len returns the number of members.
func (v View) Len() int {
	return len(v.members)
}

// top returns the positions of the two members with the highest scores for the
// key in weighted rendezvous hashing. A position is -1 if there are not enough
// members.
func (v View) top(key amrprompt.Key) (first, second int) {
	low, high := binary.LittleEndian.Uint64(key[:]), binary.LittleEndian.Uint64(key[8:])
	first, second = -1, -1
	var a, b uint64
	for i, member := range v.hashes {
		h := mix(member^low, member^high)
		if h <= b {
			continue
		}
		if !v.uniform {
			if h = weighted(h, v.members[i].Weight); h <= b {
				continue
			}
		}
		if h > a {
			second, b = first, a
			first, a = i, h
			continue
		}
		second, b = i, h
	}
	return first, second
}

// mix combines two hashes by folding their 128-bit product into 64 bits.
func mix(a, b uint64) uint64 {
	high, low := bits.Mul64(a, b)
	return high ^ low
}

// weighted returns the score of a member with the hash h. The probability that
// the score is the highest is in proportion to the weight: the score is u^(1/w)
// for h scaled to u, uniform in (0,1). The factor 1-1e-15 keeps the result below
// 1<<64 if u is rounded to 1.
func weighted(h uint64, weight float64) uint64 {
	if weight >= 1 {
		return h
	}
	u := math.Pow(float64(h)/math.MaxUint64, 1/weight)
	return uint64(u * (1 << 63) * 2 * (1 - 1e-15))
}

// shortKey returns the first 8 bytes of the key as a little-endian number.
func shortKey(k amrprompt.Key) uint64 {
	return binary.LittleEndian.Uint64(k[:])
}
