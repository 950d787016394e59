package amrcapacity

// Server identifies an incarnation of a backend server. Another incarnation has
// estimates of its own.
type Server struct {
	ID      uint32
	Started int64 // Start of the incarnation, in nanoseconds.
}

// Observation is what a router observed of a request that it placed: one of Sent,
// Responded, Ended and Dropped.
type Observation interface {
	observation()
}

// Sent is the observation that a server was selected for a request.
type Sent struct {
	Server  Server
	Request uint64 // Identifies the request within the pool.
	Tokens  int    // Prompt tokens that the server has to compute.
	Fetches bool   // The server fetches most of the other tokens first, which takes an unknown time.
}

// Responded is the observation that the first token of a request has arrived.
type Responded struct {
	Server  Server
	Request uint64
	Running int     // Number of requests that the server runs; 0 if unknown.
	Pace    float64 // Pace that the server reported; 0 if it reported none.

	OutputTokens int // Number of tokens that the server will generate.
}

// Ended is the observation that a request has been answered.
type Ended struct {
	Server  Server
	Request uint64
}

// Dropped is the observation that a request ended without an answer.
type Dropped struct {
	Server  Server
	Request uint64
	Held    bool // The server may have worked on the request until now.
}

func (Sent) observation()      {}
func (Responded) observation() {}
func (Ended) observation()     {}
func (Dropped) observation()   {}
