// Package amrprompt cuts prompts into blocks and derives the keys under which
// engines cache them.
//
// A key covers the block and all blocks before it, and is seeded with the
// team, the deployment and the weights version, so that two teams or two
// versions never share an entry.
package amrprompt

import (
	"crypto/sha256"
	"encoding/binary"
	"hash"
	"io"
)

const (
	// BytesPerToken is the length of text that is counted as one token.
	BytesPerToken = 4

	// TokensPerBlock is the size of a cache block.
	TokensPerBlock = 1024

	// BytesPerBlock is the length of the text of a cache block.
	BytesPerBlock = BytesPerToken * TokensPerBlock
)

// Key identifies a block together with all blocks before it.
type Key [16]byte

// Scope is what cached blocks are never shared beyond.
type Scope struct {
	Team           string
	Deployment     string
	WeightsVersion string
}

// Keys returns the key of each full block of the prompt, in order.
func Keys(scope Scope, prompt string) []Key {
	keys := make([]Key, 0, len(prompt)/BytesPerBlock)
	previous := scope.seed()
	for len(prompt) >= BytesPerBlock {
		previous = chain(previous, prompt[:BytesPerBlock])
		keys = append(keys, previous)
		prompt = prompt[BytesPerBlock:]
	}
	return keys
}

// Tokens returns the number of tokens of the text.
func Tokens(text string) int {
	return (len(text) + BytesPerToken - 1) / BytesPerToken
}

// Pack returns the keys one behind the other.
func Pack(keys []Key) []byte {
	packed := make([]byte, 0, len(keys)*len(Key{}))
	for _, k := range keys {
		packed = append(packed, k[:]...)
	}
	return packed
}

// Unpack returns the keys that Pack put together. Bytes beyond the last whole
// key are ignored.
func Unpack(packed []byte) []Key {
	keys := make([]Key, len(packed)/len(Key{}))
	for i := range keys {
		copy(keys[i][:], packed[i*len(Key{}):])
	}
	return keys
}

func (s Scope) seed() Key {
	h := sha256.New()
	for _, part := range []string{s.Team, s.Deployment, s.WeightsVersion} {
		var size [8]byte
		binary.BigEndian.PutUint64(size[:], uint64(len(part)))
		_, _ = h.Write(size[:])
		_, _ = io.WriteString(h, part)
	}
	return truncate(h)
}

func chain(previous Key, block string) Key {
	h := sha256.New()
	_, _ = h.Write(previous[:])
	_, _ = io.WriteString(h, block)
	return truncate(h)
}

func truncate(h hash.Hash) Key {
	var k Key
	copy(k[:], h.Sum(nil))
	return k
}
