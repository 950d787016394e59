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

// All durations are in trace time.
const (
	defaultDowntime      = 2 * time.Second
	defaultFaultDuration = 5 * time.Second
	slowCallLatency      = 500 * time.Millisecond
	lostAnswerShare      = 0.5 // This fraction of the platform's answers to writes is lost.
)

// injectFaults injects each fault at its time. It returns when all faults have
// been applied or ctx is done.
func (p *playback) injectFaults(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	for _, f := range p.settings.faults {
		group.Go(func() error {
			if amrpace.SleepUntil(ctx, p.settings.clock, p.start.Add(p.settings.wallTime(f.At))) != nil {
				return nil // The replay has ended.
			}
			fmt.Fprintf(p.settings.progress, "policy=%s fault=%s target=%s at=%s\n", p.policy, f.Kind, f.Target, f.At)
			if err := p.injectFault(ctx, f); err != nil && ctx.Err() == nil {
				return fmt.Errorf("inject the fault %s at %v: %w", f.Kind, f.At, err)
			}
			return nil
		})
	}
	return group.Wait()
}

// injectFault applies one fault. A fault of an engine may last longer than the
// call, since the engine itself times its downtime.
func (p *playback) injectFault(ctx context.Context, f Fault) error {
	switch f.Kind {
	case FaultCrash, FaultRestart:
		return p.restartTarget(ctx, f)
	case FaultDrain:
		return p.drainServer(ctx, f)
	case FaultFreeze:
		p.serverByName(f.Target).Engine.Freeze(f.durationOr(defaultDowntime))
		return nil
	case FaultEventGap:
		return p.dropEvents(ctx, f)
	case FaultRollout:
		return p.rollOutWeights(ctx, f.Target)
	case FaultOperatorsRace:
		return p.raceOperators(ctx)
	case FaultRouterRestart:
		return p.restartRouters(f.Target)
	case FaultStoreOutage:
		return p.withPlatformFault(ctx, f, func(faults *amrmemory.Faults, active bool) { faults.Down = active })
	case FaultStoreSlow:
		return p.withPlatformFault(ctx, f, func(faults *amrmemory.Faults, active bool) {
			faults.Latency = 0
			if active {
				faults.Latency = p.settings.wallTime(slowCallLatency)
			}
		})
	case FaultLostAnswer:
		return p.withPlatformFault(ctx, f, func(faults *amrmemory.Faults, active bool) {
			faults.LostAnswerRate = 0
			if active {
				faults.LostAnswerRate = lostAnswerShare
			}
		})
	}
	return badFaults.New("unknown kind of fault %q: correct the faults file", f.Kind)
}

// restartTarget stops the target of the fault, by a crash or gracefully, and
// starts it again after its downtime.
func (p *playback) restartTarget(ctx context.Context, f Fault) error {
	downtime := f.durationOr(defaultDowntime)
	switch {
	case strings.HasPrefix(f.Target, routerPrefix):
		r := p.routerByName(f.Target)
		return p.stopThenStart(f.Target, func() { p.stopProcess(r.Process, f.Kind); p.sleepTraceTime(ctx, downtime) }, func() error { return p.fleet.StartRouter(r) })
	case strings.HasPrefix(f.Target, sidecarPrefix):
		s := p.serverByName(enginePrefix + strings.TrimPrefix(f.Target, sidecarPrefix))
		return p.stopThenStart(s.Name, func() { p.stopProcess(s.Sidecar, f.Kind); p.sleepTraceTime(ctx, downtime) }, func() error { return p.fleet.StartSidecar(s) })
	case f.Kind == FaultRestart:
		p.serverByName(f.Target).Engine.Restart()
	default:
		p.serverByName(f.Target).Engine.CrashFor(downtime)
	}
	return nil
}

// stopThenStart calls stop and then start while it holds the lock of the named
// router or backend server, so that faults of one process that overlap are
// applied one at a time.
func (p *playback) stopThenStart(name string, stop func(), start func() error) error {
	lock := p.processLocks[name]
	lock.Lock()
	defer lock.Unlock()
	stop()
	return start()
}

// stopProcess kills the process for FaultCrash and stops it gracefully
// otherwise. It doesn't wait until a killed process has ended: its goroutines
// may keep running for a while with their sockets closed, like a process that a
// network partition has isolated.
func (p *playback) stopProcess(process *amrfleet.Process, kind FaultKind) {
	if kind == FaultCrash {
		p.killedProcesses.Go(func() error {
			process.Kill()
			return nil
		})
		return
	}
	_ = process.Stop() // An error means that requests were cut off, which the callers record.
}

// restartRouters gracefully restarts the named router or, if target is empty,
// all routers one after the other.
func (p *playback) restartRouters(target string) error {
	for i, r := range p.fleet.Routers {
		// The name is not read from r.Process, which a concurrent
		// restart replaces.
		name := routerPrefix + strconv.Itoa(i+1)
		if target != "" && name != target {
			continue
		}
		err := p.stopThenStart(name, func() { p.stopProcess(r.Process, FaultRestart) }, func() error { return p.fleet.StartRouter(r) })
		if err != nil {
			return err
		}
	}
	return nil
}

// drainServer sets the drain field in the record of the target and clears it
// after the duration of the fault.
func (p *playback) drainServer(ctx context.Context, f Fault) error {
	if err := p.setDrain(ctx, f.Target, true); err != nil {
		return err
	}
	p.sleepTraceTime(ctx, f.durationOr(defaultFaultDuration))
	return p.setDrain(ctx, f.Target, false)
}

// setDrain writes the record of the named backend server with the given value
// of its drain field.
func (p *playback) setDrain(ctx context.Context, target string, drain bool) error {
	for _, record := range p.records() {
		server, ok := record.Spec.(amrrecord.BackendServer)
		if !ok || record.Name != target {
			continue
		}
		server.Drain = drain
		record.Spec = server
		_, err := p.fleet.ConfigStore().Apply(ctx, newChange(record))
		return err
	}
	return nil
}

// dropEvents makes the target, or every engine if the fault has no target, lose
// all cache events for the duration of the fault.
func (p *playback) dropEvents(ctx context.Context, f Fault) error {
	set := func(loss float64) {
		for _, s := range p.fleet.Servers {
			if f.Target == "" || s.Name == f.Target {
				s.Engine.SetEventLoss(loss)
			}
		}
	}
	set(1)
	p.sleepTraceTime(ctx, f.durationOr(defaultFaultDuration))
	set(p.settings.eventLoss)
	return nil
}

// withPlatformFault calls set to activate a fault of the platform, and again to
// deactivate it after the duration of the fault.
func (p *playback) withPlatformFault(ctx context.Context, f Fault, set func(faults *amrmemory.Faults, active bool)) error {
	for _, active := range []bool{true, false} {
		faults := p.fleet.Platform.Faults()
		set(&faults, active)
		p.fleet.Platform.SetFaults(faults)
		if active {
			p.sleepTraceTime(ctx, f.durationOr(defaultFaultDuration))
		}
	}
	return nil
}

// sleepTraceTime sleeps for the duration, which is in trace time, or until ctx
// is done.
func (p *playback) sleepTraceTime(ctx context.Context, d time.Duration) {
	_ = amrpace.SleepUntil(ctx, p.settings.clock, p.settings.clock.Now().Add(p.settings.wallTime(d)))
}

func (p *playback) serverByName(name string) *amrfleet.Server {
	return p.fleet.Servers[processNumber(name, enginePrefix)-1]
}

func (p *playback) routerByName(name string) *amrfleet.RouterProcess {
	return p.fleet.Routers[processNumber(name, routerPrefix)-1]
}

// processNumber returns the number that follows the prefix in a process name.
// The name must have passed checkTargets.
func processNumber(name, prefix string) int {
	n, _ := strconv.Atoi(strings.TrimPrefix(name, prefix))
	return n
}

// durationOr returns the duration of the fault, or fallback if it has none.
func (f Fault) durationOr(fallback time.Duration) time.Duration {
	if f.For > 0 {
		return f.For
	}
	return fallback
}
