package amrforward

import (
	"net/http"
	"time"

	"amaranthreach.example/core/amrpool"
)

// Request is a request of a caller.
type Request struct {
	ID       string // Of this try of the caller.
	Method   string
	Target   string // Path and query as the caller sent them.
	Path     string
	Host     string
	Header   http.Header // What is passed on unchanged.
	Body     []byte
	Key      string        // The caller's key; empty for none.
	Patience time.Duration // How long the caller waits; 0 where it does not tell.
	Resume   string        // Id of the last event that the caller has; empty for none.
	Arrived  time.Time

	Model        string // Empty where no model is asked for.
	Parts        []amrpool.Part
	PromptTokens int
	OutputTokens int
}

// Attempt is one send of a request to a backend server.
type Attempt struct {
	Request   *Request
	Server    string // Any other server at the address must not run it.
	Address   string
	TimeLeft  time.Duration // 0 where the caller does not tell.
	Team      string
	Priority  int    // 0 is the most urgent.
	Version   int    // Of the model's weights; a server with others must not run it. 0 for any.
	CacheText string // Keeps cached prompt parts apart; empty for plain services.
	FetchFrom string // Address of a server or store with more of the prompt's parts; empty for none.
	SaveTo    string // Address of a store that is to get the prompt's parts; empty for none.
	Resume    string // Id of the last event that the caller has; empty for none.
	Once      bool   // It must not be sent on a connection that may be closed.
}

// Answer is the head of a backend server's answer, with its body to be read.
type Answer struct {
	Status int
	Header http.Header // What is passed on to the caller.
	Length int64       // Of the body; -1 where it is not known.
	Body   Body

	Verdict Verdict
	Load    *amrpool.Load
	Version int // Of the model's weights; 0 where the server does not tell.
}

// Body is the body of an answer. Read returns io.EOF only at the end of the
// whole body.
type Body interface {
	Read(p []byte) (int, error)
	Close() error
}

// Verdict says what a backend server did with a request.
type Verdict int

// The verdicts. All but Taken promise that the request did not run.
const (
	Taken        Verdict = iota
	Full                 // It has no room.
	OtherServer          // It is another one than was meant.
	OtherWeights         // It holds other weights than were meant.
)

func (v Verdict) result() amrpool.Result {
	switch v {
	case Full:
		return amrpool.Rejected
	case OtherServer:
		return amrpool.WrongServer
	case OtherWeights:
		return amrpool.WrongWeights
	}
	return amrpool.Completed
}
