package amrgossip

// Origins handles the messages by which routers tell each other which software versions
// began streams.
type Origins interface {
	HandleOrigins(origins []StreamOrigin)
	HandleOriginQuery(q OriginQuery) OriginReply
	HandleOriginReply(r OriginReply)
}

// WithOrigins sets the handler of the origins of streams. Without one, such messages are
// ignored.
func WithOrigins(o Origins) Option {
	return func(e *Exchange) { e.origins = o }
}

// handleOrigins handles what a message tells or asks of the origins of streams.
func (e *Exchange) handleOrigins(m message) {
	if e.origins == nil {
		return
	}
	if len(m.Origins) > 0 {
		e.origins.HandleOrigins(m.Origins)
	}
	if m.OriginReply != nil {
		e.origins.HandleOriginReply(*m.OriginReply)
	}
	if m.OriginQuery != nil {
		reply := e.origins.HandleOriginQuery(*m.OriginQuery)
		e.send(m.From, message{OriginReply: &reply}, kindFacts)
	}
}

// SendOrigins tells the router on the host which software versions began streams, and
// reports whether the message was sent.
func (e *Exchange) SendOrigins(to HostID, origins []StreamOrigin) bool {
	return e.send(to, message{Origins: origins}, kindFacts)
}

// SendOriginQuery asks the router on the host which software version began a stream, and
// reports whether the query was sent.
func (e *Exchange) SendOriginQuery(to HostID, q OriginQuery) bool {
	return e.send(to, message{OriginQuery: &q}, kindFacts)
}
