package amrsoak

import (
	"errors"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"github.com/jonboulle/clockwork"
	"golang.org/x/sync/errgroup"

	"amaranthreach.example/standin/amrsite"
)

// exitWait bounds a graceful stop of a process.
const exitWait = 15 * time.Second

// bootTime is the time from the start of a process until it can take signals.
// Before that the system ends it by them, whatever the program does.
const bootTime = 20 * time.Millisecond

// Process is a router's process, which may end and start again.
type Process struct {
	name    string
	program string
	dir     string // Of its settings and its log.
	clock   clockwork.Clock
	ended   func(name string, err error)
	group   errgroup.Group

	mu   sync.Mutex // Held while it starts and ends.
	life *life
}

// life is the process from one start to its end.
type life struct {
	cmd      *exec.Cmd
	started  time.Time
	done     chan struct{}
	mu       sync.Mutex
	expected bool // It was told to end.
}

// NewProcess returns a process that was not started yet. It calls ended when
// one ends that was not told to.
func NewProcess(clock clockwork.Clock, name, program, dir string, ended func(name string, err error)) *Process {
	return &Process{name: name, program: program, dir: dir, clock: clock, ended: ended}
}

func (p *Process) settingsPath() string { return filepath.Join(p.dir, p.name+".yaml") }

// LogPath returns the path of the process's log.
func (p *Process) LogPath() string { return filepath.Join(p.dir, p.name+".log") }

// Start starts the process unless it runs.
func (p *Process) Start() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.life != nil {
		return nil
	}
	log, err := os.OpenFile(p.LogPath(), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	cmd := exec.Command(p.program)
	cmd.Env = append(os.Environ(), amrsite.SettingsVariable+"="+p.settingsPath())
	cmd.Stdout, cmd.Stderr = log, log
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL} // Nothing outlives the soak.
	if err := cmd.Start(); err != nil {
		return errors.Join(err, log.Close())
	}
	l := &life{cmd: cmd, started: p.clock.Now(), done: make(chan struct{})}
	p.life = l
	p.group.Go(func() error {
		defer close(l.done)
		err := cmd.Wait()
		l.mu.Lock()
		defer l.mu.Unlock()
		if !l.expected {
			p.ended(p.name, err)
		}
		return log.Close()
	})
	return nil
}

// Signal sends the signal to the process if it runs.
func (p *Process) Signal(signal syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.life != nil {
		p.clock.Sleep(bootTime - p.clock.Since(p.life.started))
		_ = p.life.cmd.Process.Signal(signal) // It may have ended, which is noticed elsewhere.
	}
}

// End tells the process to end by the signal and waits until it has.
func (p *Process) End(signal syscall.Signal) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.life == nil {
		return nil
	}
	l := p.life
	l.mu.Lock()
	l.expected = true
	l.mu.Unlock()
	_ = l.cmd.Process.Signal(signal)
	if signal != syscall.SIGKILL {
		_ = l.cmd.Process.Signal(syscall.SIGCONT) // A paused one ends once it goes on.
	}
	var err error
	select {
	case <-l.done:
	case <-p.clock.After(exitWait):
		err = fmt.Errorf("%s has not ended %v after %v", p.name, exitWait, signal)
		_ = l.cmd.Process.Kill()
		<-l.done
	}
	p.life = nil
	return err
}

// Wait waits until all that was started has ended.
func (p *Process) Wait() error {
	return p.group.Wait()
}
