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

// stopTimeout is the time after which a process that was told to stop is killed.
const stopTimeout = 15 * time.Second

// signalDelay is the shortest time from the start of a process until Signal sends
// a signal to it. A signal that arrives before the Go runtime has installed its
// handlers terminates the process, even if the program handles the signal.
const signalDelay = 20 * time.Millisecond

// Process is a router that runs as a separate process and can be stopped and
// started again.
type Process struct {
	name           string
	program        string // Path of the executable.
	dir            string // Directory for its settings and its log.
	clock          clockwork.Clock
	unexpectedExit func(name string, err error)
	group          errgroup.Group

	mu  sync.Mutex // Held while the process is started, signaled or stopped.
	run *run       // Nil if the process was not started or was stopped.
}

// run is one run of the process, from its start to its exit.
type run struct {
	cmd      *exec.Cmd
	started  time.Time
	done     chan struct{} // Closed after the process has exited.
	mu       sync.Mutex
	expected bool // Whether the process was told to stop. Protected by mu.
}

// NewProcess returns a process that is not yet started. When it exits without
// having been stopped, unexpectedExit is called with its name and the error of
// exec.Cmd.Wait.
func NewProcess(clock clockwork.Clock, name, program, dir string, unexpectedExit func(name string, err error)) *Process {
	return &Process{name: name, program: program, dir: dir, clock: clock, unexpectedExit: unexpectedExit}
}

// settingsPath returns the path of the process's settings file.
func (p *Process) settingsPath() string { return filepath.Join(p.dir, p.name+".yaml") }

// LogPath returns the path of the process's log.
func (p *Process) LogPath() string { return filepath.Join(p.dir, p.name+".log") }

// Start starts the process, or does nothing if it has been started and not
// stopped. Its output is appended to its log.
func (p *Process) Start() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.run != nil {
		return nil
	}
	logFile, err := os.OpenFile(p.LogPath(), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	cmd := exec.Command(p.program)
	cmd.Env = append(os.Environ(), amrsite.SettingsVariable+"="+p.settingsPath())
	cmd.Stdout, cmd.Stderr = logFile, logFile
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL} // The process must not outlive the soak test.
	if err := cmd.Start(); err != nil {
		return errors.Join(err, logFile.Close())
	}
	r := &run{cmd: cmd, started: p.clock.Now(), done: make(chan struct{})}
	p.run = r
	p.group.Go(func() error {
		defer close(r.done)
		err := cmd.Wait()
		r.mu.Lock()
		defer r.mu.Unlock()
		if !r.expected {
			p.unexpectedExit(p.name, err)
		}
		return logFile.Close()
	})
	return nil
}

// Signal sends the signal to the process if it is started, but not before
// signalDelay after its start.
func (p *Process) Signal(signal syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.run != nil {
		p.clock.Sleep(signalDelay - p.clock.Since(p.run.started))
		_ = p.run.cmd.Process.Signal(signal) // If the process has exited, unexpectedExit was called.
	}
}

// Stop sends the signal to the process and waits until it has exited. If it has
// not exited after stopTimeout, Stop kills it and returns an error. A process that
// is not started is ignored.
func (p *Process) Stop(signal syscall.Signal) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.run == nil {
		return nil
	}
	r := p.run
	r.mu.Lock()
	r.expected = true
	r.mu.Unlock()
	_ = r.cmd.Process.Signal(signal)
	if signal != syscall.SIGKILL {
		_ = r.cmd.Process.Signal(syscall.SIGCONT) // A paused process handles the signal only after it is resumed.
	}
	var err error
	select {
	case <-r.done:
	case <-p.clock.After(stopTimeout):
		err = fmt.Errorf("%s has not exited %v after the signal %v", p.name, stopTimeout, signal)
		_ = r.cmd.Process.Kill()
		<-r.done
	}
	p.run = nil
	return err
}

// Wait waits until every run of the process has ended. It returns the first error
// of closing a log.
func (p *Process) Wait() error {
	return p.group.Wait()
}

// Memory returns the resident memory of the process in bytes, or 0 if it is not running.
func (p *Process) Memory() int64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.run == nil {
		return 0
	}
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", p.run.cmd.Process.Pid))
	if err != nil {
		return 0 // The process has exited.
	}
	var total, resident int64
	_, _ = fmt.Sscan(string(data), &total, &resident) // The kernel's format is fixed.
	return resident * int64(os.Getpagesize())
}
