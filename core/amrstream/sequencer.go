// Package amrstream ensures that a streamed answer is complete and in order, or
// ends with an error.
//
// A sidecar assigns sequence numbers to the chunks of each attempt with a
// Sequencer. A router merges the attempts of a request into one answer with a
// Relay. Attempts may fail, run concurrently, or deliver chunks after they were
// canceled.
package amrstream

import "github.com/zeebo/xxh3"

// Chunk is a part of an answer.
type Chunk struct {
	Attempt uint32 // Number of the attempt, unique within the request.
	Seq     uint64 // Sequence number within the attempt, from 1 without gaps.
	Text    string
	Body    []byte // Part of the answer of a service without a model, instead of Text.
	Tokens  int    // Number of tokens in Text.
}

// End marks the end of a complete answer, and carries the values with which the
// receiver verifies it.
type End struct {
	Attempt uint32
	Chunks  uint64 // Number of chunks.
	Digest  uint64 // XXH3 hash of the concatenated text or body.
	Usage   Usage
}

// Usage holds the values that an engine or service reports at the end of an
// answer.
type Usage struct {
	FinishReason     string
	PromptTokens     int
	CachedTokens     int // Number of prompt tokens that were cached.
	CompletionTokens int
	Status           int // HTTP status of a service without a model.
	ContentType      string
}

// Sequencer assigns sequence numbers to the chunks of one attempt.
type Sequencer struct {
	attempt uint32
	count   counter
}

// NewSequencer returns a Sequencer for the attempt.
func NewSequencer(attempt uint32) *Sequencer {
	return &Sequencer{attempt: attempt}
}

// Text returns the next chunk, with the given text and number of tokens.
func (s *Sequencer) Text(text string, tokens int) Chunk {
	return s.next(Chunk{Text: text, Tokens: tokens})
}

// Body returns the next chunk of the answer of a service without a model.
func (s *Sequencer) Body(body []byte) Chunk {
	return s.next(Chunk{Body: body})
}

// End returns the End that follows the chunks returned so far.
func (s *Sequencer) End(usage Usage) End {
	return End{Attempt: s.attempt, Chunks: s.count.chunks, Digest: s.count.digest(), Usage: usage}
}

// next counts the chunk and sets its attempt and sequence number.
func (s *Sequencer) next(c Chunk) Chunk {
	s.count.add(c)
	c.Attempt = s.attempt
	c.Seq = s.count.chunks
	return c
}

// counter counts chunks and computes a digest of their content.
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
