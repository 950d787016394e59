package amrreplay

import (
	"context"
	"fmt"
	"strconv"
	"strings"
	"time"

	"golang.org/x/sync/errgroup"

	"amaranthreach.example/core/amrmemory"
	"amaranthreach.example/core/amrrecord"
	"amaranthreach.example/standin/amrfleet"
	"amaranthreach.example/standin/amrpace"
)

const (
	defaultDown    = 2 * time.Second
	defaultLasting = 5 * time.Second
	slowLatency    = 500 * time.Millisecond
	lostShare      = 0.5 // Of the platform's answers to writes.
)

// inject makes the faults happen at their times.
func (p *play) inject(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	for _, f := range p.settings.faults {
		group.Go(func() error {
			if amrpace.SleepUntil(ctx, p.settings.clock, p.begin.Add(p.settings.scaled(f.At))) != nil {
				return nil // The replay is over.
			}
			fmt.Fprintf(p.settings.progress, "policy=%s fault=%s target=%s at=%s\n", p.policy, f.Kind, f.Target, f.At)
			if err := p.happen(ctx, f); err != nil && ctx.Err() == nil {
				return fmt.Errorf("fault %s at %v: %w", f.Kind, f.At, err)
			}
			return nil
		})
	}
	return group.Wait()
}

func (p *play) happen(ctx context.Context, f Fault) error {
	switch f.Kind {
	case FaultCrash, FaultRestart:
		return p.crash(ctx, f)
	case FaultDrain:
		return p.drain(ctx, f)
	case FaultFreeze:
		p.server(f.Target).Engine.Freeze(f.lasting(defaultDown))
		return nil
	case FaultEventGap:
		return p.loseEvents(ctx, f)
	case FaultRollout:
		return p.rollOut(ctx, f.Target)
	case FaultOperatorsRace:
		return p.raceOperators(ctx)
	case FaultRouterRestart:
		return p.restartRouters(f.Target)
	case FaultStoreOutage:
		return p.platform(ctx, f, func(faults *amrmemory.Faults, on bool) { faults.Down = on })
	case FaultStoreSlow:
		return p.platform(ctx, f, func(faults *amrmemory.Faults, on bool) {
			faults.Latency = 0
			if on {
				faults.Latency = p.settings.scaled(slowLatency)
			}
		})
	case FaultLostAnswer:
		return p.platform(ctx, f, func(faults *amrmemory.Faults, on bool) {
			faults.LostAnswerRate = 0
			if on {
				faults.LostAnswerRate = lostShare
			}
		})
	}
	return badFaults.New("%s is no kind of fault: correct the file", f.Kind)
}

// crash ends a process and starts it again after its down time.
func (p *play) crash(ctx context.Context, f Fault) error {
	down := f.lasting(defaultDown)
	switch {
	case strings.HasPrefix(f.Target, routerName):
		r := p.router(f.Target)
		return p.bounce(f.Target, func() { p.end(r.Process, f.Kind); p.wait(ctx, down) }, func() error { return p.fleet.StartRouter(r) })
	case strings.HasPrefix(f.Target, sidecarName):
		s := p.server(engineName + strings.TrimPrefix(f.Target, sidecarName))
		return p.bounce(s.Name, func() { p.end(s.Sidecar, f.Kind); p.wait(ctx, down) }, func() error { return p.fleet.StartSidecar(s) })
	case f.Kind == FaultRestart:
		p.server(f.Target).Engine.Restart()
	default:
		p.server(f.Target).Engine.CrashFor(down)
	}
	return nil
}

// bounce stops a process and starts it again, after its earlier faults.
func (p *play) bounce(name string, stop func(), start func() error) error {
	lock := p.failing[name]
	lock.Lock()
	defer lock.Unlock()
	stop()
	return start()
}

// end ends a process. One that is killed may go on for a while behind its
// closed sockets, as a process does that a partition has cut off.
func (p *play) end(process *amrfleet.Process, kind FaultKind) {
	if kind == FaultCrash {
		p.killed.Go(func() error {
			process.Kill()
			return nil
		})
		return
	}
	_ = process.Stop() // It may end with requests cut, which callers then see.
}

// restartRouters restarts the router, or all of them one after the other.
func (p *play) restartRouters(target string) error {
	for i, r := range p.fleet.Routers {
		name := routerName + strconv.Itoa(i+1) // A restart replaces the process that has the name.
		if target != "" && name != target {
			continue
		}
		err := p.bounce(name, func() { p.end(r.Process, FaultRestart) }, func() error { return p.fleet.StartRouter(r) })
		if err != nil {
			return err
		}
	}
	return nil
}

// drain sets and later clears the mark in the record of a backend server.
func (p *play) drain(ctx context.Context, f Fault) error {
	if err := p.setDrain(ctx, f.Target, true); err != nil {
		return err
	}
	p.wait(ctx, f.lasting(defaultLasting))
	return p.setDrain(ctx, f.Target, false)
}

func (p *play) setDrain(ctx context.Context, target string, drain bool) error {
	for _, record := range p.records() {
		server, ok := record.Spec.(amrrecord.BackendServer)
		if !ok || record.Name != target {
			continue
		}
		server.Drain = drain
		record.Spec = server
		_, err := p.fleet.Store().Apply(ctx, change(record))
		return err
	}
	return nil
}

func (p *play) loseEvents(ctx context.Context, f Fault) error {
	set := func(loss float64) {
		for _, s := range p.fleet.Servers {
			if f.Target == "" || s.Name == f.Target {
				s.Engine.SetEventLoss(loss)
			}
		}
	}
	set(1)
	p.wait(ctx, f.lasting(defaultLasting))
	set(p.settings.eventLoss)
	return nil
}

// platform switches a fault of the platform on and later off.
func (p *play) platform(ctx context.Context, f Fault, set func(faults *amrmemory.Faults, on bool)) error {
	for _, on := range []bool{true, false} {
		faults := p.fleet.Platform.Faults()
		set(&faults, on)
		p.fleet.Platform.SetFaults(faults)
		if on {
			p.wait(ctx, f.lasting(defaultLasting))
		}
	}
	return nil
}

// wait waits for a time of the trace or until ctx is done.
func (p *play) wait(ctx context.Context, d time.Duration) {
	_ = amrpace.SleepUntil(ctx, p.settings.clock, p.settings.clock.Now().Add(p.settings.scaled(d)))
}

func (p *play) server(name string) *amrfleet.Server {
	return p.fleet.Servers[number(name, engineName)-1]
}

func (p *play) router(name string) *amrfleet.RouterProcess {
	return p.fleet.Routers[number(name, routerName)-1]
}

// number returns the number in a name that checkTargets has passed.
func number(name, kind string) int {
	n, _ := strconv.Atoi(strings.TrimPrefix(name, kind))
	return n
}

func (f Fault) lasting(usual time.Duration) time.Duration {
	if f.For > 0 {
		return f.For
	}
	return usual
}
