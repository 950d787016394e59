package main

import (
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// link is a path between two machines: proxies for their connections and datagrams, which
// pass nothing while the link is cut.
type link struct {
	cut atomic.Bool

	mu    sync.Mutex
	conns []net.Conn
}

// tcp passes connections on to the address and returns the address of the proxy. Bytes that
// are held up by a cut arrive after it.
func (l *link) tcp(to string) string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		cannotRun("proxy: %v", err)
	}
	go func() {
		for {
			in, err := listener.Accept()
			if err != nil {
				return
			}
			go l.pass(in, to)
		}
	}()
	return listener.Addr().String()
}

func (l *link) pass(in net.Conn, to string) {
	defer in.Close()
	l.await()
	out, err := net.DialTimeout("tcp", to, time.Second)
	if err != nil {
		return
	}
	defer out.Close()
	done := make(chan struct{}, 2)
	one := func(dst, src net.Conn) {
		defer func() { done <- struct{}{} }()
		buffer := make([]byte, 32<<10)
		for {
			n, err := src.Read(buffer)
			l.await()
			if n > 0 {
				if _, err := dst.Write(buffer[:n]); err != nil {
					return
				}
			}
			if err != nil {
				return
			}
		}
	}
	go one(out, in)
	go one(in, out)
	<-done
}

// await waits while the link is cut.
func (l *link) await() {
	for l.cut.Load() {
		time.Sleep(10 * time.Millisecond)
	}
}

// udp passes datagrams on to the address and returns the address of the proxy. Datagrams are
// lost while the link is cut.
func (l *link) udp(to string) string {
	in, err := net.ListenPacket("udp", "127.0.0.1:0")
	if err != nil {
		cannotRun("proxy: %v", err)
	}
	out, err := net.Dial("udp", to)
	if err != nil {
		cannotRun("proxy: %v", err)
	}
	go func() {
		buffer := make([]byte, 64<<10)
		for {
			n, _, err := in.ReadFrom(buffer)
			if err != nil {
				return
			}
			if !l.cut.Load() {
				out.Write(buffer[:n])
			}
		}
	}()
	return in.LocalAddr().String()
}

// connect gives the machines addresses in the store, and connects each pair of them by a
// link. It returns the links of each machine. The only seed is down, so that the machines know
// each other from the store alone: from another machine's copy they would learn addresses that
// pass the links by.
func (t *trial) connect() map[string][]*link {
	links := map[string][]*link{}
	seeds := freePorts(1, "tcp")
	for _, p := range t.machines {
		p.storeAddress, p.seeds = t.store.serve(p.name), seeds
	}
	for i, a := range t.machines {
		for _, b := range t.machines[i+1:] {
			l := &link{}
			links[a.name], links[b.name] = append(links[a.name], l), append(links[b.name], l)
			for _, pair := range [][2]*process{{a, b}, {b, a}} {
				from, to := pair[0], pair[1]
				peers, notices := l.tcp(to.peers), l.udp(to.notices)
				t.store.replace(from.name, to.peers, peers, to.notices, notices)
			}
		}
	}
	return links
}
