package amrgossip

import (
	"time"

	"github.com/fxamacker/cbor/v2"
)

// message is a datagram between two routers. It is encoded as a CBOR map without
// the fields that are empty.
type message struct {
	From    HostID   `cbor:"1,keyasint"`           // Sender.
	Era     uint64   `cbor:"2,keyasint,omitempty"` // Newest era of the platform's store that the sender knows.
	Facts   *Facts   `cbor:"3,keyasint,omitempty"`
	Query   *Query   `cbor:"4,keyasint,omitempty"`
	Reply   *Reply   `cbor:"5,keyasint,omitempty"`
	Updates []Update `cbor:"6,keyasint,omitempty"`
	Ping    uint32   `cbor:"7,keyasint,omitempty"` // Asks the receiver for a Pong with the same number.
	Pong    uint32   `cbor:"8,keyasint,omitempty"`
	Reports []Strike `cbor:"9,keyasint,omitempty"` // Strikes that the receiver collects.
	Common  []Common `cbor:"10,keyasint,omitempty"`

	Crashes []PartCrash `cbor:"11,keyasint,omitempty"` // Crashes that the receiver collects.
	Sound   []SoundPart `cbor:"12,keyasint,omitempty"` // Parts that the receiver has asked for or quarantined.

	WithinLimit bool   `cbor:"13,keyasint,omitempty"` // Of the reply.
	Software    uint32 `cbor:"14,keyasint,omitempty"` // Of the query.

	Origins     []StreamOrigin `cbor:"15,keyasint,omitempty"` // Streams that the receiver keeps.
	OriginQuery *OriginQuery   `cbor:"16,keyasint,omitempty"`
	OriginReply *OriginReply   `cbor:"17,keyasint,omitempty"`

	QuotaLoan    *QuotaLoan   `cbor:"18,keyasint,omitempty"`
	QuotaAck     uint32       `cbor:"19,keyasint,omitempty"` // Of a loan.
	QuotaAsks    []QuotaAsk   `cbor:"20,keyasint,omitempty"`
	QuotaReplies []QuotaReply `cbor:"21,keyasint,omitempty"`

	Priority int      `cbor:"22,keyasint,omitempty"` // Of the query, plus 1; 0 if the sender does not send it.
	Team     uint32   `cbor:"23,keyasint,omitempty"` // Of the query.
	Refusal  *Refusal `cbor:"24,keyasint,omitempty"` // Of the reply.

	Zone   uint16 `cbor:"28,keyasint,omitempty"` // Of the query.
	Spread bool   `cbor:"29,keyasint,omitempty"` // Of the query.
}

// QuotaLoan lends the sender's parts of all quotas of some groups of teams to the
// receiver, or only asks for an acknowledgement.
type QuotaLoan struct {
	_       struct{} `cbor:",toarray"`
	Groups  uint8    // Bit set of the groups.
	SentMS  uint32   // Milliseconds of the sender's clock, by which the receiver detects a message that was delayed.
	Ack     bool     // The receiver must acknowledge the loan.
	Returns []QuotaReturn
}

// QuotaReturn gives credit back that the sender has not used.
type QuotaReturn struct {
	_      struct{} `cbor:",toarray"`
	Team   uint32   // Hash of the name.
	Credit int64    // In hundredths; negative for credit that the sender has used in advance.
}

// QuotaAsk asks a coordinator for credit of a team.
type QuotaAsk struct {
	_        struct{} `cbor:",toarray"`
	Sequence uint32   // Identifies the query among those of its sender.
	Team     uint32   // Hash of the name.
	Need     uint64   // Credit for the request that waits for the reply, in hundredths; 0 if none waits.
	Ahead    uint64   // Further credit, for requests that are expected, in hundredths.
	Priority int      // Of the request.
	Caller   uint32   // Hash of the request's content, by which a caller that comes back is recognized.
	MaxWait  int      // Longest time after which the caller comes back, in milliseconds; 0 if it is unknown.
}

// QuotaReply is the answer to a QuotaAsk.
type QuotaReply struct {
	_        struct{} `cbor:",toarray"`
	Sequence uint32   // Of the query.
	Granted  uint64   // In hundredths.
	WaitMS   int      // Time after which the request may come back; 0 if it is admitted.
}

// Refusal explains a reply that denies a server by admission by urgency.
type Refusal struct {
	_            struct{} `cbor:",toarray"`
	RetryAfterMS int      // Time after which the caller should come back.
	Short        int      // Of what the servers have too little; see amrpool.Shortage.
}

// StreamOrigin tells which software version began a stream; see package amrorigin.
type StreamOrigin struct {
	_        struct{} `cbor:",toarray"`
	Stream   uint64
	Pool     uint32
	Software uint32
}

// OriginQuery asks which software version began a stream.
type OriginQuery struct {
	_        struct{} `cbor:",toarray"`
	Sequence uint32   // Identifies the query among those of its sender.
	Stream   uint64
	Pool     uint32
}

// OriginReply is the answer to an OriginQuery.
type OriginReply struct {
	_         struct{} `cbor:",toarray"`
	Sequence  uint32   // Of the query.
	Certainty int      // See amrorigin.Certainty.
	Pool      uint32
	Software  uint32
}

// HostID identifies the host of a router in messages. It is a hash of the host's
// name.
type HostID uint32

// ServerID identifies a backend server in messages; see amrpool.ServerID.
type ServerID uint32

// Facts are what all routers must learn soon. A router that learns a fact passes it
// on to a few others.
type Facts struct {
	Leaving  []Leaving  `cbor:"1,keyasint,omitempty"`
	Strikes  []Strike   `cbor:"2,keyasint,omitempty"`
	Progress []Progress `cbor:"3,keyasint,omitempty"`

	Parts []PartNotice `cbor:"4,keyasint,omitempty"`

	Limits []ServerLimit `cbor:"5,keyasint,omitempty"`
}

// PartNotice asks whether a part of prompts is sound, or announces its quarantine or the
// end of its quarantine.
type PartNotice struct {
	_        struct{} `cbor:",toarray"`
	Kind     PartNoticeKind
	Model    uint64   // Hash of the model's name.
	Part     uint64   // See amrsuspect.PartKey.
	Level    int      // Of a quarantine.
	AgeMS    int64    // Time since the start of a quarantine.
	Sound    bool     // Prompts with a quarantined part had been answered before.
	Servers  []uint64 // Hashes of the names of the servers whose crashes led to a quarantine.
	Sequence uint32   // Distinguishes notices that are otherwise equal; chosen by the router that sends them first.
}

// PartNoticeKind is the kind of a PartNotice.
type PartNoticeKind int

// The kinds of a PartNotice.
const (
	PartAsked PartNoticeKind = iota
	PartQuarantined
	PartLifted
)

// Reports are observations that are sent only to the routers that collect them: two
// routers for each request, or for each model.
type Reports struct {
	Strikes []Strike
	Crashes []PartCrash
	Sound   []SoundPart
}

// PartCrash reports a run that broke off, probably because its server crashed.
type PartCrash struct {
	_       struct{} `cbor:",toarray"`
	Model   uint64   // Hash of the model's name.
	Server  uint64   // Hash of the server's name.
	Content uint64   // Identifies the content of the request.
	Parts   []SuspectPart
}

// SuspectPart is a part of the prompt of such a run.
type SuspectPart struct {
	_     struct{} `cbor:",toarray"`
	Part  uint64
	Sound bool  // The sender has answered prompts with the part.
	AgeMS int64 // Time since the last of them.
}

// SoundPart reports that the sender has answered a prompt with the part.
type SoundPart struct {
	_     struct{} `cbor:",toarray"`
	Model uint64   // Hash of the model's name.
	Part  uint64
	AgeMS int64 // Time since then.
}

// Common tells the coordinator of another placement group which backend server has a
// part that prompts of several groups begin with.
type Common struct {
	_              struct{} `cbor:",toarray"`
	Key            uint64   // Identifies the part together with all parts before it.
	WeightsVersion int      // Version of the weights with which the part was computed.
	Server         ServerID // The selected one; with a denial, the one with the lowest cost, if the reason depends on it.
}

// Leaving reports that a backend server has told that it is about to stop, and
// must get no new requests.
type Leaving struct {
	_         struct{} `cbor:",toarray"`
	Server    ServerID
	StartedMS int64 // Start of this incarnation of the server, in Unix milliseconds of the server's clock.
}

// ServerLimit reports the requests per second that a backend server takes from all
// routers together, as it stated in a response.
type ServerLimit struct {
	_             struct{} `cbor:",toarray"`
	Server        ServerID
	StartedMS     int64   // Start of this incarnation of the server, in Unix milliseconds of the server's clock.
	PerSecond     float64 // 0 if the server names no limit any more.
	SentAgeMS     int64   // Time since the request of the response was sent.
	ReceivedAgeMS int64   // Time since the response arrived.
	Sequence      uint32  // Distinguishes reports that are otherwise equal; chosen by the router that sends them first.
}

// Strike reports that a backend server probably crashed while it ran a request,
// or, with Cleared, that the request has succeeded and that its strikes no longer
// count.
type Strike struct {
	_           struct{} `cbor:",toarray"`
	Fingerprint [16]byte // Identifies the content of the request.
	Server      uint64   // Hash of the server's name.
	Cleared     bool
	Sequence    uint32 // Distinguishes strikes that are otherwise equal; chosen by the router that reports them.
}

// Progress reports that servers begin to load a model's weights, or that they have
// ended. The router that holds the rollout lease reports it.
type Progress struct {
	_          struct{} `cbor:",toarray"`
	RowEra     uint64   // Era of the platform's store in which the row was written.
	RowVersion uint64   // Version of the shared row that lists all changes.
	Model      string
	Version    int        // Version of the new weights.
	Begun      []ServerID // About to load the weights.
	Done       []ServerID // Hold them.
	Failed     []ServerID // Ended without success.
}

// Query asks the coordinator of a placement group for a server for a request.
type Query struct {
	_            struct{} `cbor:",toarray"`
	Sequence     uint32   // Identifies the query among those of its sender.
	Pool         uint32   // Hash of the name.
	Model        uint32   // Hash of the name.
	Group        int      // Index of the group.
	Groups       int      // Number of groups in the pool.
	Keys         []uint64
	PartTokens   []int
	PromptTokens int
	OutputTokens int
	MaxWaitMS    int
	TimeLeftMS   int  // Time until the request's deadline, after which it is no longer in flight.
	Urgent       bool // Engines schedule the request before others.
	NoPartsWait  bool
	Exclude      []ServerID
	Software     uint32 `cbor:"-"` // Version of the software that the server must have; 0 allows any. Sent beside the query, like Reply.WithinLimit.
	Priority     int    `cbor:"-"` // Urgency from 0, the most urgent one, to 9. Sent beside the query.
	Team         uint32 `cbor:"-"` // Hash of the team's name; 0 if there is none. Sent beside the query.
	Zone         uint16 `cbor:"-"` // Hash of the name of the sender's availability zone; 0 if it does not matter. Sent beside the query.
	Spread       bool   `cbor:"-"` // Prompts with the same shared parts go to several groups. Sent beside the query.
}

// Reply is the answer to a query: the selected server, or the reason why there is
// none.
type Reply struct {
	_              struct{} `cbor:",toarray"`
	Sequence       uint32
	Denial         int      // Reason; 0 if a server was selected.
	WaitMS         int      // With a denial: expected wait, or time for which the servers ask for no requests.
	MeanWaitMS     int      // With a denial: mean wait in the group.
	Server         ServerID // The selected one; with a denial, the one with the lowest cost, if the reason depends on it.
	WeightsVersion int
	Fetch          int // Source of the parts that the server lacks.
	FetchServer    ServerID
	Save           bool
	CachedTokens   int
	PrefillTokens  int
	CostMS         int
	WithinLimit    bool `cbor:"-"` // The server has a limit, which allows the request. Sent beside the reply, so that routers without limits can decode it.

	Refusal *Refusal `cbor:"-"` // With a denial by admission by urgency; otherwise nil. Sent beside the reply.
}

// Update reports the progress of a request to the coordinator that placed it.
type Update struct {
	_        struct{} `cbor:",toarray"`
	Sequence uint32   // Of the query.
	Ended    bool     // The request has ended; otherwise the server has begun to respond.
	Result   int      // With Ended.
	Load     []int    // Load that the server reported: running and waiting requests, slots and, if reported, the pace in hundredths; empty if it reported none.
}

// Peer is another router.
type Peer struct {
	Host             string
	Address          string // UDP address at which it receives messages.
	AvailabilityZone string
	Capacity         float64 // Processing capacity of its host, relative to others.
}

// ageLimit is the time for which a router remembers the facts that it knows, in
// order not to pass them on again.
const ageLimit = time.Minute

// QueryBytes returns the size of the datagram with the query and the updates, headers
// included.
func QueryBytes(q Query, updates ...Update) int {
	return datagramBytes(queryMessage(q, updates))
}

// ReplyBytes returns the size of the datagram with the reply, headers included.
func ReplyBytes(r Reply) int {
	return datagramBytes(message{Reply: &r, Refusal: r.Refusal})
}

// UpdateBytes returns the size of the datagram with the update, headers included.
func UpdateBytes(u Update) int {
	return datagramBytes(message{Updates: []Update{u}})
}

// datagramBytes returns the size of the datagram with the message, headers included.
func datagramBytes(m message) int {
	m.From = 1 << 31
	data, err := cbor.Marshal(m)
	if err != nil {
		panic(err) // Messages of numbers can always be encoded.
	}
	return len(data) + headerBytes
}
