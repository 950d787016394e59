package amrsoak

import (
	"net"
	"sync"

	"golang.org/x/sync/errgroup"
)

// maxDatagram is the size of the largest datagram of a notice, in bytes.
const maxDatagram = 64 << 10

// NoticeLink passes on the datagrams for an address, which are not answered.
type NoticeLink struct {
	conn   *net.UDPConn
	target *net.UDPAddr
	group  errgroup.Group

	mu   sync.Mutex
	lost bool
}

// NewNoticeLink returns a link to the address that is open.
func NewNoticeLink(target string) (*NoticeLink, error) {
	resolved, err := net.ResolveUDPAddr("udp", target)
	if err != nil {
		return nil, err
	}
	conn, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		return nil, err
	}
	l := &NoticeLink{conn: conn, target: resolved}
	l.group.Go(l.carry)
	return l, nil
}

// Address returns the address at which the link listens.
func (l *NoticeLink) Address() string {
	return l.conn.LocalAddr().String()
}

// Lose has all datagrams lost from now on, or none.
func (l *NoticeLink) Lose(all bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lost = all
}

// Close closes the link.
func (l *NoticeLink) Close() error {
	_ = l.conn.Close() // It ends carry.
	return l.group.Wait()
}

func (l *NoticeLink) carry() error {
	buffer := make([]byte, maxDatagram)
	for {
		n, err := l.conn.Read(buffer)
		if err != nil {
			return nil //nolint:nilerr // The link was closed.
		}
		if !l.losing() {
			_, _ = l.conn.WriteToUDP(buffer[:n], l.target) // As lost as any datagram.
		}
	}
}

func (l *NoticeLink) losing() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.lost
}
