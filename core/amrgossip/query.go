package amrgossip

// unknownPriority is the priority of a query of a router that sends none and does not
// call it urgent.
const unknownPriority = 5

// queryMessage returns the message with the query, the fields that are sent beside it,
// and the updates.
func queryMessage(q Query, updates []Update) message {
	return message{Query: &q, Updates: updates, Software: q.Software, Priority: q.Priority + 1, Team: q.Team, Zone: q.Zone, Spread: q.Spread}
}

// priority returns the priority of the query in the message.
func (m *message) priority() int {
	switch {
	case m.Priority > 0:
		return m.Priority - 1
	case m.Query.Urgent:
		return 0
	}
	return unknownPriority
}
