// Package amrprompt divides prompts into blocks and computes the keys of the
// blocks in the prefix caches of engines.
//
// A key is a hash of a block, of all blocks before it, and of the team, the
// deployment and the weights version. Two teams or two versions therefore never
// share a cache entry.
package amrprompt

import (
	"crypto/sha256"
	"encoding/binary"
	"hash"
	"io"
)

const (
	// BytesPerToken is the number of bytes of text that count as one token. Tokens
	// are estimated from the length of the text, without a tokenizer.
	BytesPerToken = 4

	// TokensPerBlock is the number of tokens in a cache block.
	TokensPerBlock = 1024

	// BytesPerBlock is the number of bytes of text in a cache block.
	BytesPerBlock = BytesPerToken * TokensPerBlock
)

// Key identifies a block, together with its scope and all blocks before it.
type Key [16]byte

// Scope limits the sharing of cached blocks: equal blocks have different keys in
// different scopes.
type Scope struct {
	Team           string
	Deployment     string
	WeightsVersion string
}

// Keys returns the keys of the full blocks of the prompt, in order. A partial
// block at the end has no key.
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

// CountTokens returns the estimated number of tokens of the text, one for each
// BytesPerToken bytes, rounded up.
func CountTokens(text string) int {
	return (len(text) + BytesPerToken - 1) / BytesPerToken
}

// EncodeKeys returns the concatenation of the keys.
func EncodeKeys(keys []Key) []byte {
	data := make([]byte, 0, len(keys)*len(Key{}))
	for _, k := range keys {
		data = append(data, k[:]...)
	}
	return data
}

// DecodeKeys splits a concatenation of keys, as returned by EncodeKeys. It ignores a
// partial key at the end.
func DecodeKeys(data []byte) []Key {
	keys := make([]Key, len(data)/len(Key{}))
	for i := range keys {
		copy(keys[i][:], data[i*len(Key{}):])
	}
	return keys
}

// seed returns the key that the key of the first block is derived from. Each part
// is hashed with its length, so that different scopes cannot have the same
// concatenation of names.
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

// chain returns the key of a block that follows the block with the key previous.
func chain(previous Key, block string) Key {
	h := sha256.New()
	_, _ = h.Write(previous[:])
	_, _ = io.WriteString(h, block)
	return truncate(h)
}

// truncate returns the first bytes of the hash as a key.
func truncate(h hash.Hash) Key {
	var k Key
	copy(k[:], h.Sum(nil))
	return k
}
