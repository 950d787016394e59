package amrsoak

import "time"

const (
	pieceBytes    = 7                    // Bytes of a piece; fewer than an event has.
	pieceInterval = 2 * time.Millisecond // Time before each piece.
)

// splitAnswers forwards the answers of the server, and those of the router to its callers, in
// small pieces, and then resets both connections, most of them within an event.
func (s *site) splitAnswers(r *router, b *server, d time.Duration) {
	proxies := []*TCPProxy{b.proxy, r.callers}
	split := func() {
		for _, p := range proxies {
			p.Set(ProxyFaults{Piece: pieceBytes})
		}
	}
	s.disturb(r.name, d, split, func() {
		for _, p := range proxies {
			p.Reset()
			p.Set(ProxyFaults{})
		}
	})
}
