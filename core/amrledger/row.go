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

// rowPrefix starts the table keys of all claims.
const rowPrefix = "claim/"

var (
	namespace = errorx.NewNamespace("ledger")

	// Corrupt says that a row of the table cannot be read as a claim.
	Corrupt = namespace.NewType("corrupt")
)

// Row is a claim as it stands in the table.
type Row struct {
	State       State         `json:"state"`
	Digest      string        `json:"digest"` // Of the request that made the claim.
	RequestID   string        `json:"request-id"`
	Server      string        `json:"server"`      // Backend server that may run the claim.
	Incarnation string        `json:"incarnation"` // The only process of its sidecar that may run it.
	Token       string        `json:"token"`
	Fence       uint64        `json:"fence"`      // Grows with each claim of the key.
	WindowEnd   time.Duration `json:"window-end"` // Time of the sidecar's clock after which it may not start.
	Epoch       uint64        `json:"epoch"`      // Epoch of the sweep in which the claim was made.
	Answer      *Answer       `json:"answer,omitempty"`
	Object      string        `json:"object,omitempty"` // Key of an answer too large for the row.
}

// State says how far a claim has come.
type State string

// The states of a claim.
const (
	StateClaimed  State = "claimed"  // May run or have run on the named sidecar.
	StateReleased State = "released" // Did not run and never will.
	StateFinished State = "finished" // Ran, and the answer is kept.
	StateUnknown  State = "unknown"  // May have run; its answer is lost.
)

// Answer is the whole answer to a request.
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

// size returns about how many bytes the answer takes.
func (a *Answer) size() int {
	return len(a.Body) + len(a.Text)
}

// RowKey returns the table key of the claim of a team's idempotency key.
func RowKey(team, key string) string {
	return rowPrefix + hexDigest(team, key)
}

// Digest identifies the content of a request, given in parts.
func Digest(parts ...string) string {
	return hexDigest(parts...)
}

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
		return nil, Corrupt.Wrap(err, "cannot encode the claim: report this as a fault of the program")
	}
	return data, nil
}

func decodeRow(data []byte) (Row, error) {
	var r Row
	if err := json.Unmarshal(data, &r); err != nil {
		return Row{}, Corrupt.Wrap(err, "cannot read the claim: restore the row from the table's backup")
	}
	return r, nil
}

func encodeAnswer(a *Answer) ([]byte, error) {
	data, err := json.Marshal(a)
	if err != nil {
		return nil, Corrupt.Wrap(err, "cannot encode the answer: report this as a fault of the program")
	}
	return data, nil
}

func decodeAnswer(data []byte) (*Answer, error) {
	var a Answer
	if err := json.Unmarshal(data, &a); err != nil {
		return nil, Corrupt.Wrap(err, "cannot read the answer: restore the object from the store's backup")
	}
	return &a, nil
}
