package amrtrace

import (
	"math/rand/v2"
	"strconv"

	"github.com/zeebo/xxh3"

	"amaranthreach.example/core/amrprompt"
)

// Prompt returns the text of the request's prompt, which depends only on the
// request. Requests of a team share the text of equal prefixes. The suffix
// differs between lines, except between lines with the same idempotency key.
func (r Request) Prompt() string {
	text := make([]byte, 0, r.PromptTokens()*amrprompt.BytesPerToken)
	for depth, l := range r.Prefix {
		outer := Request{Team: r.Team, Prefix: r.Prefix[:depth+1]}
		text = appendWords(text, outer.path(), l.Tokens)
	}
	path := r.path()
	if r.Key != "" {
		path += "\x00key\x00" + r.Key
	} else {
		path += "\x00line\x00" + strconv.Itoa(r.Line)
	}
	return string(appendWords(text, path, r.SuffixTokens))
}

// path returns a string that identifies the team and the names of the prefix
// levels, but not their lengths.
func (r Request) path() string {
	path := r.Team
	for _, l := range r.Prefix {
		path += "\x00" + l.Name
	}
	return path
}

const (
	letters       = "abcdefghijklmnop"
	lettersMask   = uint64(len(letters) - 1)
	bitsPerLetter = 4
)

// appendWords appends the given number of tokens to the text. Each token is a
// pseudorandom word of three letters, determined by the seed, and a space.
func appendWords(text []byte, seed string, tokens int) []byte {
	hash := xxh3.HashString128(seed)
	source := rand.NewPCG(hash.Hi, hash.Lo)
	for range tokens {
		n := source.Uint64()
		text = append(text,
			letters[n&lettersMask],
			letters[n>>bitsPerLetter&lettersMask],
			letters[n>>(2*bitsPerLetter)&lettersMask],
			' ')
	}
	return text
}
