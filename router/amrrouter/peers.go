package amrrouter

import (
	"context"
	"encoding/json"
	"math"
	"time"

	"storj.io/drpc/drpcmanager"
	"storj.io/drpc/drpcmux"
	"storj.io/drpc/drpcserver"
	"storj.io/drpc/drpcwire"

	"amaranthreach.example/core/amrconfig"
	"amaranthreach.example/core/amrexplain"
	"amaranthreach.example/core/amrgate"
	"amaranthreach.example/core/amrlimit"
	"amaranthreach.example/core/amrpeer"
)

const (
	maxPeerMessageBytes = 16 << 20
	maxPullWait         = 10 * time.Second // Limits the wait that a caller of Pull may ask for.
	peerTimeout         = time.Second      // Of a call to another router except Pull and State, and of the update of a sidecar's snapshot.
)

// peerServer implements the Peer service, which other routers call.
type peerServer struct {
	amrpeer.DRPCPeerUnimplementedServer

	router *Router
}

// Pull returns the changes of the records since a revision. If there are none yet,
// it waits for as long as the request asks, up to maxPullWait.
func (s *peerServer) Pull(ctx context.Context, request *amrpeer.PullRequest) (*amrpeer.PullReply, error) {
	wait := min(time.Duration(request.GetWaitMs())*time.Millisecond, maxPullWait)
	delta, err := s.router.follower.Pull(ctx, request.GetAbove(), wait)
	if err != nil {
		return nil, err
	}
	return &amrpeer.PullReply{Revision: delta.Revision, AgeMs: delta.Age.Milliseconds(), Data: delta.Data}, nil
}

// Account returns the shares of team limits that this router, as the allocating
// router, grants the calling router.
func (s *peerServer) Account(_ context.Context, request *amrpeer.AccountRequest) (*amrpeer.AccountReply, error) {
	usages := make([]amrlimit.Usage, 0, len(request.GetUsages()))
	for _, u := range request.GetUsages() {
		usages = append(usages, amrlimit.Usage{
			Team:   u.GetTeam(),
			Limits: newAmounts(u.GetLimits()),
			Demand: newAmounts(u.GetDemand()),
			Used:   newAmounts(u.GetUsed()),
			Held:   newAmounts(u.GetHeld()),
		})
	}
	reply := &amrpeer.AccountReply{}
	for _, g := range s.router.teamLimits.allocate(request.GetRouter(), usages) {
		reply.Grants = append(reply.Grants, &amrpeer.Grant{Team: g.Team, Share: g.Share[:], NextMs: g.NextReport.Milliseconds()})
	}
	return reply, nil
}

// Find returns the decision about a request if it is in the memory of this router,
// and an empty reply otherwise.
func (s *peerServer) Find(_ context.Context, request *amrpeer.FindRequest) (*amrpeer.FindReply, error) {
	d, ok := s.router.decisions.get(request.GetRequestId())
	if !ok {
		return &amrpeer.FindReply{}, nil
	}
	data, err := json.Marshal(d)
	return &amrpeer.FindReply{Decision: data}, err
}

// State returns the state of this router. It never returns an error.
func (s *peerServer) State(context.Context, *amrpeer.StateRequest) (*amrpeer.StateReply, error) {
	r := s.router
	return &amrpeer.StateReply{
		Name:             r.settings.Name,
		AvailabilityZone: r.settings.AvailabilityZone,
		Incarnation:      r.incarnation,
		Ready:            r.Ready(),
		Revision:         r.Revision(),
		AgeMs:            r.follower.Age().Milliseconds(),
	}, nil
}

// Suspect records a request that was running when a backend server crashed.
func (s *peerServer) Suspect(_ context.Context, request *amrpeer.SuspectRequest) (*amrpeer.SuspectReply, error) {
	s.router.suspectChecker.addStrike(request.GetFingerprint(), request.GetCrash())
	return &amrpeer.SuspectReply{}, nil
}

// servePeers serves other routers until ctx is done. It returns immediately if
// there is no listener for them.
func (r *Router) servePeers(ctx context.Context) error {
	if r.listeners.Peers == nil {
		return nil
	}
	mux := drpcmux.New()
	if err := amrpeer.DRPCRegisterPeer(mux, &peerServer{router: r}); err != nil {
		return err
	}
	server := drpcserver.NewWithOptions(mux, drpcserver.Options{
		Manager: drpcmanager.Options{
			Reader:     drpcwire.ReaderOptions{MaximumBufferSize: maxPeerMessageBytes},
			SoftCancel: true,

			InactivityTimeout: peerConnIdleTimeout,
		},
		Log: func(err error) { r.log.Debug("peer connection failed", "error", err) },
	})
	tlsConfig, err := r.settings.PeersTLS.ServerConfig()
	if err != nil {
		return err
	}
	err = server.Serve(ctx, withTLS(r.listeners.Peers, tlsConfig))
	if ctx.Err() != nil {
		return nil
	}
	return err
}

// peerClient calls other routers. It also reads configuration snapshots from
// sidecars, which amrconfig treats as peers.
type peerClient struct {
	routerConns  *connPool // To other routers.
	sidecarConns *connPool // To sidecars.
}

// client returns a client of the router at the address. The connection is opened
// by the first call.
func (p *peerClient) client(ctx context.Context, address string) amrpeer.DRPCPeerClient {
	return amrpeer.NewDRPCPeerClient(p.routerConns.pool.Get(ctx, address, p.routerConns.dial))
}

// Pull implements amrconfig.PeerClient.
func (p *peerClient) Pull(ctx context.Context, from amrconfig.Peer, above uint64, wait time.Duration) (amrconfig.Delta, error) {
	if from.Sidecar {
		return p.pullSnapshot(ctx, from, above)
	}
	reply, err := p.client(ctx, from.Address).Pull(ctx, &amrpeer.PullRequest{Above: above, WaitMs: wait.Milliseconds()})
	if err != nil {
		return amrconfig.Delta{}, err
	}
	return amrconfig.Delta{
		Revision: reply.GetRevision(),
		Age:      time.Duration(reply.GetAgeMs()) * time.Millisecond,
		Data:     reply.GetData(),
	}, nil
}

// pullSnapshot returns the configuration snapshot of a sidecar. Its age is the
// maximum, because a sidecar does not know whether its snapshot is the newest.
func (p *peerClient) pullSnapshot(ctx context.Context, from amrconfig.Peer, above uint64) (amrconfig.Delta, error) {
	reply, err := p.sidecarConns.client(ctx, from.Address).Snapshot(ctx, &amrgate.SnapshotRequest{Above: above})
	if err != nil {
		return amrconfig.Delta{}, err
	}
	return amrconfig.Delta{Revision: reply.GetRevision(), Age: math.MaxInt64, Data: reply.GetData()}, nil
}

// reportSuspect reports to the router at the address a request that was running
// when a backend server crashed.
func (p *peerClient) reportSuspect(ctx context.Context, address string, request *amrpeer.SuspectRequest) {
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	_, _ = p.client(ctx, address).Suspect(ctx, request) // If the call fails, the other router reads the suspect from the table later.
}

// allocate reports the usages of the router to the allocating router at the
// address and returns the shares that it grants.
func (p *peerClient) allocate(ctx context.Context, address, router string, usages []amrlimit.Usage) ([]amrlimit.Grant, error) {
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	request := &amrpeer.AccountRequest{Router: router}
	for _, u := range usages {
		request.Usages = append(request.Usages, &amrpeer.Usage{
			Team: u.Team, Limits: u.Limits[:], Demand: u.Demand[:], Used: u.Used[:], Held: u.Held[:]})
	}
	reply, err := p.client(ctx, address).Account(ctx, request)
	if err != nil {
		return nil, err
	}
	grants := make([]amrlimit.Grant, 0, len(reply.GetGrants()))
	for _, g := range reply.GetGrants() {
		grants = append(grants, amrlimit.Grant{
			Team:       g.GetTeam(),
			Share:      newAmounts(g.GetShare()),
			NextReport: time.Duration(g.GetNextMs()) * time.Millisecond,
		})
	}
	return grants, nil
}

// findDecision returns the decision about the request if the router at the address
// has it in memory.
func (p *peerClient) findDecision(ctx context.Context, address, request string) (amrexplain.Decision, bool) {
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	var d amrexplain.Decision
	reply, err := p.client(ctx, address).Find(ctx, &amrpeer.FindRequest{RequestId: request})
	if err != nil || len(reply.GetDecision()) == 0 {
		return d, false
	}
	err = json.Unmarshal(reply.GetDecision(), &d)
	return d, err == nil
}

// newAmounts converts the values of a message. Missing values are 0.
func newAmounts(values []float64) amrlimit.Amounts {
	var a amrlimit.Amounts
	copy(a[:], values)
	return a
}
