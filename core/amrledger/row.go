package amrledger

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"encoding/json"
	"io"
	"time"

	"github.com/joomcode/errorx"
)

// rowPrefix is the prefix of the table keys of all claims.
const rowPrefix = "claim/"

var (
	namespace = errorx.NewNamespace("ledger")

	// Corrupt is the type of the errors for claims and answers that cannot be
	// encoded or decoded.
	Corrupt = namespace.NewType("corrupt")
)

// Row is a claim as stored in the table.
type Row struct {
	State       State         `json:"state"`
	Digest      string        `json:"digest"` // Of the request that made the claim.
	RequestID   string        `json:"request-id"`
	Server      string        `json:"server"`      // Backend server on which the claim may run.
	Incarnation string        `json:"incarnation"` // The only sidecar process that may run the claim.
	Token       string        `json:"token"`
	Fence       uint64        `json:"fence"`      // Increases with each claim on the key, until the sweep deletes the row.
	WindowEnd   time.Duration `json:"window-end"` // Time since the start of the sidecar process after which the claim must not start.
	Epoch       uint64        `json:"epoch"`      // Epoch of the sweep in which the claim was made; 0 if it was not known.
	Answer      *Answer       `json:"answer,omitempty"`
	Object      string        `json:"object,omitempty"` // Object store key of an answer that is too large for the row.
}

// State is the state of a claim.
type State string

// The states of a claim.
const (
	StateClaimed  State = "claimed"  // It may run, or may have run, at the named sidecar.
	StateReleased State = "released" // It did not run and never will.
	StateFinished State = "finished" // It ran, and its answer is stored.
	StateUnknown  State = "unknown"  // It may have run, and its answer is lost.
)

// Answer is the complete answer to a request, either of a plain HTTP service or
// of a model engine.
type Answer struct {
	Status           int    `json:"status,omitempty"` // HTTP status of a plain service.
	ContentType      string `json:"content-type,omitempty"`
	Body             []byte `json:"body,omitempty"` // Answer of a plain service.
	Text             string `json:"text,omitempty"` // Answer of a model engine.
	FinishReason     string `json:"finish-reason,omitempty"`
	PromptTokens     int    `json:"prompt-tokens,omitempty"`
	CachedTokens     int    `json:"cached-tokens,omitempty"`
	CompletionTokens int    `json:"completion-tokens,omitempty"`
}

// size returns the approximate size of the answer in bytes.
func (a *Answer) size() int {
	return len(a.Body) + len(a.Text)
}

// RowKey returns the table key of the claim on an idempotency key of a team. Two
// teams can use the same idempotency key independently.
func RowKey(team, key string) string {
	return rowPrefix + hexDigest(team, key)
}

// Digest returns a hash that identifies the content of a request, given in
// parts. The same text divided into other parts has another digest.
func Digest(parts ...string) string {
	return hexDigest(parts...)
}

// hexDigest returns the SHA-256 hash of the parts in hexadecimal. Each part is
// preceded by its length, so that parts cannot run into each other.
func hexDigest(parts ...string) string {
	h := sha256.New()
	for _, part := range parts {
		var size [8]byte
		binary.BigEndian.PutUint64(size[:], uint64(len(part)))
		_, _ = h.Write(size[:])
		_, _ = io.WriteString(h, part)
	}
	return hex.EncodeToString(h.Sum(nil))
}

func (r Row) encode() ([]byte, error) {
	data, err := json.Marshal(r)
	if err != nil {
		return nil, Corrupt.Wrap(err, "cannot encode the claim row; report this bug")
	}
	return data, nil
}

func decodeRow(data []byte) (Row, error) {
	var r Row
	if err := json.Unmarshal(data, &r); err != nil {
		return Row{}, Corrupt.Wrap(err, "cannot decode the claim row; restore it from a backup of the table")
	}
	return r, nil
}

func encodeAnswer(a *Answer) ([]byte, error) {
	data, err := json.Marshal(a)
	if err != nil {
		return nil, Corrupt.Wrap(err, "cannot encode the answer; report this bug")
	}
	return data, nil
}

func decodeAnswer(data []byte) (*Answer, error) {
	var a Answer
	if err := json.Unmarshal(data, &a); err != nil {
		return nil, Corrupt.Wrap(err, "cannot decode the answer; restore its object from a backup of the object store")
	}
	return &a, nil
}
