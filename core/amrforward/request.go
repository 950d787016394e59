package amrforward

import (
	"net/http"
	"time"

	"amaranthreach.example/core/amrbytes"
	"amaranthreach.example/core/amrpool"
)

// Request is a request of a caller.
type Request struct {
	ID            string // Identifies this attempt of the caller; a retry by the caller has another ID.
	Method        string
	Target        string // Path and query as sent by the caller.
	Path          string
	Host          string
	Header        http.Header // Header fields to send to the backend server unchanged.
	Body          []byte
	Key           string        // API key of the caller; empty if there is none.
	CallerTimeout time.Duration // Time from Arrived until the caller's deadline; 0 if the caller sets none.
	LastEventID   string        // ID of the last event that the caller has received; empty if there is none.
	Resumes       string        // ID of the caller's request that brought the first event of the stream which this one resumes; empty if unknown.
	Arrived       time.Time

	// EndsWithConnection is set if the caller knows the end of an answer without a
	// length only by the end of the connection, as in HTTP/1.0.
	EndsWithConnection bool

	Model        string // Empty for a request that is not to a model.
	Parts        []amrpool.Part
	PromptTokens int
	OutputTokens int

	// Held counts the bytes that are held for the request. If it is nil, they are not
	// counted, and the answer is not read ahead of the caller.
	Held *amrbytes.Holder
}

// Attempt is one send of a request to a backend server.
type Attempt struct {
	Request        *Request
	Server         string // Name of the server; another server at the address must reject the request.
	Address        string
	Team           string
	Priority       int    // 0 is the most urgent.
	WeightsVersion int    // Version of the model's weights; a server that holds another one must reject the request. 0 allows any.
	CacheSalt      string // Salt that separates cached prompt parts of different weights and owners; empty for services without a model.
	FetchFrom      string // Address of a server or store from which to fetch cached prompt parts; empty for none.
	SaveTo         string // Address of a store in which to save prompt parts; empty for none.
	LastEventID    string // ID of the last event that the caller has received; empty if there is none.
	FreshConn      bool   // The request must not be sent on a connection that has been idle for long: if the server closes such a connection while the request is being sent, it is unknown whether the request ran.

	// BeforeSend must be called when a connection to the server is available,
	// immediately before the request is sent. It returns the time until the
	// caller's deadline, which is 0 if the caller sets none, or an error if the
	// request must not be sent any more.
	BeforeSend func() (timeLeft time.Duration, err error)

	// Observe must be called with the signals in the header of each response
	// that arrives on the connection, and an error if some cannot be read.
	Observe func(amrpool.Signals, error)
}

// Answer is a backend server's answer, with the body still to be read.
type Answer struct {
	Status int
	Header http.Header // Header fields to send to the caller.
	Length int64       // Length of the body in bytes; -1 if unknown.
	Body   Body

	// EndsWithConnection is set if the server marks the end of the body only by
	// the end of the connection.
	EndsWithConnection bool

	Disposition    Disposition
	Load           *amrpool.Load // Load that the server reports; nil if it reports none.
	WeightsVersion int           // Version of the model's weights; 0 if the server does not report it.
}

// Body is the body of an answer. Read returns io.EOF only at the end of the
// complete body. A body that breaks off ends with another error.
type Body interface {
	Read(p []byte) (int, error)
	Close() error
}

// Disposition tells whether a backend server ran a request, and if not, why.
type Disposition int

// Dispositions of requests. All but Accepted guarantee that the request did not
// run.
const (
	Accepted        Disposition = iota // The server accepted the request.
	AtCapacity                         // The server has no capacity left.
	ServerMismatch                     // The address belongs to another server than the intended one.
	WeightsMismatch                    // The server holds another version of the weights than the intended one.
)

// result returns the result to report to the fleet.
func (d Disposition) result() amrpool.Result {
	switch d {
	case AtCapacity:
		return amrpool.Rejected
	case ServerMismatch:
		return amrpool.WrongServer
	case WeightsMismatch:
		return amrpool.WrongWeights
	}
	return amrpool.Completed
}
