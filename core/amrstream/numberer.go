// Package amrstream keeps streamed answers whole and in order.
//
// A sidecar numbers the chunks of each attempt with a Numberer. A router merges
// the attempts of a request, which may fail, race or come late, into one
// stream with a Relay.
package amrstream

import "github.com/zeebo/xxh3"

// Chunk is a piece of an answer.
type Chunk struct {
	Attempt uint32
	Seq     uint64 // From 1, without gaps within an attempt.
	Text    string
	Body    []byte // Answer of a plain service, in place of Text.
	Tokens  int
}

// End says that an attempt's answer is whole.
type End struct {
	Attempt uint32
	Chunks  uint64
	Digest  uint64 // XXH3 of the concatenated text or body.
	Usage   Usage
}

// Usage is what an engine or service tells at the end of an answer.
type Usage struct {
	FinishReason     string
	PromptTokens     int
	CachedTokens     int
	CompletionTokens int
	Status           int // HTTP status of a plain service.
	ContentType      string
}

// Numberer numbers the chunks of one attempt.
type Numberer struct {
	attempt uint32
	count   counter
}

// NewNumberer returns a Numberer for the attempt.
func NewNumberer(attempt uint32) *Numberer {
	return &Numberer{attempt: attempt}
}

// Text returns the next chunk of text.
func (n *Numberer) Text(text string, tokens int) Chunk {
	return n.next(Chunk{Text: text, Tokens: tokens})
}

// Body returns the next chunk of a plain service's answer.
func (n *Numberer) Body(body []byte) Chunk {
	return n.next(Chunk{Body: body})
}

// End returns the end of the answer.
func (n *Numberer) End(usage Usage) End {
	return End{Attempt: n.attempt, Chunks: n.count.chunks, Digest: n.count.digest(), Usage: usage}
}

func (n *Numberer) next(c Chunk) Chunk {
	n.count.add(c)
	c.Attempt = n.attempt
	c.Seq = n.count.chunks
	return c
}

// counter counts chunks and digests their content.
type counter struct {
	chunks uint64
	hasher xxh3.Hasher
}

func (c *counter) add(chunk Chunk) {
	c.chunks++
	_, _ = c.hasher.WriteString(chunk.Text)
	_, _ = c.hasher.Write(chunk.Body)
}

func (c *counter) digest() uint64 {
	return c.hasher.Sum64()
}
