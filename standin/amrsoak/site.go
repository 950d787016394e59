package amrsoak

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/jonboulle/clockwork"
	"golang.org/x/sync/errgroup"

	"amaranthreach.example/core/amrserve"
	"amaranthreach.example/standin/amrport"
	"amaranthreach.example/standin/amrsite"
)

const (
	model       = "m1"
	events      = 8 // Of a stream.
	eventPause  = 20 * time.Millisecond
	serviceWork = 60 * time.Millisecond  // Of a plain service for a request.
	serverGrace = 100 * time.Millisecond // For requests at a server that stops.
	readyPoll   = 20 * time.Millisecond
	readyWait   = 10 * time.Second
)

// settingsFormat is a router's settings file.
const settingsFormat = `host: %s
availability-zone: zone-a
callers-address: %s
health-address: %s
peers-address: %s
notices-address: %s
metrics-address: %s
seeds: [%s]
store-address: %s
stop-delay: 300ms
stop-grace: 4s
retry-ratio: 0.2
retry-slack: 50
retry-window: 10s
lease-handover: 3s
weights-bound: 8s
silence-bound: 3s
`

// router is a router's process with the links to it and from it to the store.
type router struct {
	*Process
	callers *Link // Of callers to the router.
	store   *Link // Of the router to the store.
	peers   *Link // Of other routers to the router.
	notices *NoticeLink
	health  string // Address at which it tells whether it is ready.
	client  *http.Client
	serving atomic.Bool // By the last look of the balancer.
}

// server is a backend server behind a link.
type server struct {
	*amrsite.Server
	link  *Link
	entry amrsite.Entry
}

// site is a deployment of the real program, with stand-ins for the rest.
type site struct {
	clock   clockwork.Clock
	check   *Check
	store   *amrsite.Store
	routers []*router
	servers []*server
	links   []*Link
	group   errgroup.Group
	stop    context.CancelFunc

	listing sync.Mutex // Held while the entry of a server changes.
	mu      sync.Mutex // Held while operators change something.
	weights int        // The version named last.
	records int        // The version written last.
}

// Size is how much of each a site has.
type Size struct {
	Routers, Engines, Services int
}

// startSite starts the routers with the program and everything around them.
func startSite(ctx context.Context, clock clockwork.Clock, check *Check, program, dir string, n Size) (*site, error) {
	ctx, stop := context.WithCancel(context.WithoutCancel(ctx))
	s := &site{clock: clock, check: check, store: amrsite.NewStore(clock), stop: stop, weights: 1}
	err := s.build(ctx, program, dir, n)
	if err != nil {
		return nil, errors.Join(err, s.close())
	}
	return s, nil
}

func (s *site) build(ctx context.Context, program, dir string, n Size) error {
	store, err := s.serve(ctx, s.store.Handler())
	if err != nil {
		return err
	}
	for i := range n.Engines {
		if err := s.addServer(ctx, fmt.Sprintf("engine-%d", i+1), amrsite.Engines, model); err != nil {
			return err
		}
	}
	for i := range n.Services {
		if err := s.addServer(ctx, fmt.Sprintf("service-%d", i+1), amrsite.App, ""); err != nil {
			return err
		}
	}
	s.configure(steadyKey, revocableKey)
	s.store.PublishVersion(model, s.weights)
	for i := range n.Routers {
		if err := s.addRouter(fmt.Sprintf("router-%d", i+1), program, dir, store); err != nil {
			return err
		}
	}
	for _, r := range s.routers {
		if err := r.Start(); err != nil {
			return err
		}
	}
	return s.awaitReady(ctx)
}

// serve serves the handler of a stand-in on an address of its own.
func (s *site) serve(ctx context.Context, handler http.Handler) (address string, err error) {
	listener, err := amrport.Listen()
	if err != nil {
		return "", err
	}
	s.group.Go(func() error {
		err := amrserve.HTTP(ctx, listener, handler, amrserve.DefaultLimits, serverGrace)
		if errors.Is(err, context.DeadlineExceeded) {
			return nil // A request hangs, as a fault told it to.
		}
		return err
	})
	return listener.Addr().String(), nil
}

func (s *site) link(target string) (*Link, error) {
	l, err := NewLink(s.clock, target)
	if err == nil {
		s.links = append(s.links, l)
	}
	return l, err
}

func (s *site) addServer(ctx context.Context, name, pool, model string) error {
	backend := amrsite.NewServer(s.clock, name, model)
	backend.SetStream(events, eventPause)
	backend.SetServiceTime(serviceWork)
	backend.Observe(s.check.ran)
	address, err := s.serve(ctx, backend.Handler())
	if err != nil {
		return err
	}
	link, err := s.link(address)
	if err != nil {
		return err
	}
	added := &server{Server: backend, link: link, entry: amrsite.NewEntry(pool, link.Address(), model, s.clock.Now())}
	s.servers = append(s.servers, added)
	s.store.PutServer(name, added.entry)
	return nil
}

func (s *site) addRouter(name, program, dir, store string) error {
	addresses := make([]string, 5) // Callers, health, peers, notices, metrics.
	for i := range addresses {
		var err error
		if addresses[i], err = amrport.Address(); err != nil {
			return err
		}
	}
	r := &router{Process: NewProcess(s.clock, name, program, dir, s.ended), health: addresses[1]}
	var err error
	if r.callers, err = s.link(addresses[0]); err != nil {
		return err
	}
	if r.store, err = s.link(store); err != nil {
		return err
	}
	if r.peers, err = s.link(addresses[2]); err != nil {
		return err
	}
	if r.notices, err = NewNoticeLink(addresses[3]); err != nil {
		return err
	}
	s.store.ReplaceAddress(addresses[2], r.peers.Address())
	s.store.ReplaceAddress(addresses[3], r.notices.Address())
	r.client = &http.Client{Transport: &http.Transport{DisableCompression: true, MaxIdleConnsPerHost: outstanding}}
	var seeds []string
	for _, other := range s.routers {
		seeds = append(seeds, other.peers.Address())
	}
	s.routers = append(s.routers, r)
	settings := fmt.Sprintf(settingsFormat, name, addresses[0], addresses[1], addresses[2], addresses[3], addresses[4], strings.Join(seeds, ", "), r.store.Address())
	return os.WriteFile(filepath.Clean(r.settingsPath()), []byte(settings), 0o600)
}

// ended notes that a process ended that nobody told to.
func (s *site) ended(name string, err error) {
	s.check.Report("processes do not end by themselves", "%s ended: %v", name, err)
}

// configure writes new records with the keys.
func (s *site) configure(keys ...string) {
	s.records++
	s.store.PutConfig(s.records, model, keys...)
}

// awaitReady waits until every router is ready.
func (s *site) awaitReady(ctx context.Context) error {
	for _, r := range s.routers {
		for deadline := s.clock.Now().Add(readyWait); !r.ready(ctx); s.clock.Sleep(readyPoll) {
			if s.clock.Now().After(deadline) {
				return notReady.New("%s is not ready after %v: look at %s", r.name, readyWait, r.LogPath())
			}
		}
	}
	return nil
}

// ready reports whether the router says that it is.
func (r *router) ready(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+r.health+amrsite.ReadyPath, nil)
	if err != nil {
		return false
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return false
	}
	defer response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// heal ends all faults.
func (s *site) heal() error {
	s.store.SetFaults(amrsite.StoreFaults{})
	for _, l := range s.links {
		l.Set(Condition{})
	}
	for _, b := range s.servers {
		b.SetFault(amrsite.FaultNone, 0)
		s.list(b, false)
	}
	for _, r := range s.routers {
		r.notices.Lose(false)
		r.Signal(syscall.SIGCONT)
		if err := r.Start(); err != nil {
			return err
		}
	}
	return nil
}

// list writes that the server leaves or is ready.
func (s *site) list(b *server, leaves bool) {
	s.listing.Lock()
	defer s.listing.Unlock()
	b.entry.Seq++
	entry := b.entry
	if leaves {
		entry = entry.WithDraining()
	}
	s.check.left(b.Name, leaves)
	s.store.PutServer(b.Name, entry)
}

// close ends everything.
func (s *site) close() error {
	var errs []error
	for _, r := range s.routers {
		errs = append(errs, r.End(syscall.SIGTERM), r.Wait())
		r.client.CloseIdleConnections()
		errs = append(errs, r.notices.Close())
	}
	s.stop()
	for _, l := range s.links {
		errs = append(errs, l.Close())
	}
	err := s.group.Wait()
	if !errors.Is(err, net.ErrClosed) {
		errs = append(errs, err)
	}
	return errors.Join(errs...)
}
