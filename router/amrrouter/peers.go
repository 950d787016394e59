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
	maxPeerBytes = 16 << 20
	maxPullWait  = 10 * time.Second
	peerTimeout  = time.Second
)

// peerServer serves other routers.
type peerServer struct {
	amrpeer.DRPCPeerUnimplementedServer

	router *Router
}

// Pull returns the records above a revision.
func (s *peerServer) Pull(ctx context.Context, request *amrpeer.PullRequest) (*amrpeer.PullReply, error) {
	wait := min(time.Duration(request.GetWaitMs())*time.Millisecond, maxPullWait)
	delta, err := s.router.follower.Pull(ctx, request.GetAbove(), wait)
	if err != nil {
		return nil, err
	}
	return &amrpeer.PullReply{Revision: delta.Revision, AgeMs: delta.Age.Milliseconds(), Data: delta.Data}, nil
}

// Account gives out shares of the limits of teams.
func (s *peerServer) Account(_ context.Context, request *amrpeer.AccountRequest) (*amrpeer.AccountReply, error) {
	usages := make([]amrlimit.Usage, 0, len(request.GetUsages()))
	for _, u := range request.GetUsages() {
		usages = append(usages, amrlimit.Usage{
			Team:   u.GetTeam(),
			Limits: amountsOf(u.GetLimits()),
			Demand: amountsOf(u.GetDemand()),
			Used:   amountsOf(u.GetUsed()),
			Held:   amountsOf(u.GetHeld()),
		})
	}
	reply := &amrpeer.AccountReply{}
	for _, g := range s.router.limits.account(request.GetRouter(), usages) {
		reply.Grants = append(reply.Grants, &amrpeer.Grant{Team: g.Team, Share: g.Share[:], NextMs: g.NextReport.Milliseconds()})
	}
	return reply, nil
}

// Find returns a decision in memory.
func (s *peerServer) Find(_ context.Context, request *amrpeer.FindRequest) (*amrpeer.FindReply, error) {
	d, ok := s.router.decisions.get(request.GetRequestId())
	if !ok {
		return &amrpeer.FindReply{}, nil
	}
	data, err := json.Marshal(d)
	return &amrpeer.FindReply{Decision: data}, err
}

// State returns the state of the router.
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

// Suspect notes a request under which a backend server crashed.
func (s *peerServer) Suspect(_ context.Context, request *amrpeer.SuspectRequest) (*amrpeer.SuspectReply, error) {
	s.router.suspects.heard(request.GetFingerprint(), request.GetCrash())
	return &amrpeer.SuspectReply{}, nil
}

// servePeers serves other routers until ctx is done. Without an address for
// them it does nothing.
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
			Reader:     drpcwire.ReaderOptions{MaximumBufferSize: maxPeerBytes},
			SoftCancel: true,

			InactivityTimeout: peerIdleTimeout,
		},
		Log: func(err error) { r.log.Debug("peer-connection", "error", err) },
	})
	config, err := r.settings.PeersTLS.Server()
	if err != nil {
		return err
	}
	err = server.Serve(ctx, withTLS(r.listeners.Peers, config))
	if ctx.Err() != nil {
		return nil
	}
	return err
}

// peers calls other routers.
type peers struct {
	connections *gates
	sidecars    *gates
}

func (p *peers) client(ctx context.Context, address string) amrpeer.DRPCPeerClient {
	return amrpeer.NewDRPCPeerClient(p.connections.pool.Get(ctx, address, p.connections.dial))
}

// Pull implements amrconfig.PeerClient.
func (p *peers) Pull(ctx context.Context, from amrconfig.Peer, above uint64, wait time.Duration) (amrconfig.Delta, error) {
	if from.Sidecar {
		return p.snapshot(ctx, from, above)
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

// snapshot returns the records that a sidecar holds.
func (p *peers) snapshot(ctx context.Context, from amrconfig.Peer, above uint64) (amrconfig.Delta, error) {
	reply, err := p.sidecars.client(ctx, from.Address).Snapshot(ctx, &amrgate.SnapshotRequest{Above: above})
	if err != nil {
		return amrconfig.Delta{}, err
	}
	return amrconfig.Delta{Revision: reply.GetRevision(), Age: math.MaxInt64, Data: reply.GetData()}, nil
}

// suspect tells the router at the address of a request under which a backend
// server crashed.
func (p *peers) suspect(ctx context.Context, address string, request *amrpeer.SuspectRequest) {
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	_, _ = p.client(ctx, address).Suspect(ctx, request) // The table tells it later.
}

// account tells the accountant at the address what the router used.
func (p *peers) account(ctx context.Context, address, router string, usages []amrlimit.Usage) ([]amrlimit.Grant, error) {
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
			Share:      amountsOf(g.GetShare()),
			NextReport: time.Duration(g.GetNextMs()) * time.Millisecond,
		})
	}
	return grants, nil
}

// find asks the router at the address for a decision in its memory.
func (p *peers) find(ctx context.Context, address, request string) (amrexplain.Decision, bool) {
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

func amountsOf(values []float64) amrlimit.Amounts {
	var a amrlimit.Amounts
	copy(a[:], values)
	return a
}
