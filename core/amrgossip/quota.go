package amrgossip

// QuotaMessage carries what routers tell each other about the quotas of teams; see package
// amrlimit.
type QuotaMessage struct {
	Loan    *QuotaLoan
	Ack     uint32 // QuotaLoan.SentMS of a loan that asked for an acknowledgement; 0 for none.
	Asks    []QuotaAsk
	Replies []QuotaReply
}

// Quotas handles the messages by which routers share the quotas of teams.
type Quotas interface {
	HandleQuota(from HostID, m QuotaMessage)
}

// WithQuotas sets the handler of messages about quotas. Without one, such messages are
// ignored.
func WithQuotas(q Quotas) Option {
	return func(e *Exchange) { e.quotas = q }
}

// SendQuota sends the message to the router on the host, and reports whether it was sent.
func (e *Exchange) SendQuota(to HostID, m QuotaMessage) bool {
	return e.send(to, m.message(), kindQuota)
}

// QuotaBytes returns the size of the datagram with the message, headers included.
func QuotaBytes(m QuotaMessage) int {
	return datagramBytes(m.message())
}

// message returns the datagram with m.
func (m QuotaMessage) message() message {
	return message{QuotaLoan: m.Loan, QuotaAck: m.Ack, QuotaAsks: m.Asks, QuotaReplies: m.Replies}
}

// handleQuota handles what a message says about quotas.
func (e *Exchange) handleQuota(m message) {
	if e.quotas == nil || m.QuotaLoan == nil && m.QuotaAck == 0 && len(m.QuotaAsks)+len(m.QuotaReplies) == 0 {
		return
	}
	e.quotas.HandleQuota(m.From, QuotaMessage{Loan: m.QuotaLoan, Ack: m.QuotaAck, Asks: m.QuotaAsks, Replies: m.QuotaReplies})
}
