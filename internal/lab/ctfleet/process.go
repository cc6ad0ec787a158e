package ctfleet

import (
	"net/netip"
	"os"
	"os/exec"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"github.com/cherviltrestle/cherviltrestle/internal/lab/ctrelay"
)

// killTimeout is how long a stopped process may take to end before it is killed.
const killTimeout = 30 * time.Second

// Process is a process of the fleet.
type Process struct {
	Name string
	Site ctrelay.Site
	// Listen is where callers reach it: proxies and members have it.
	Listen netip.AddrPort
	// HTTP is where operators reach it.
	HTTP netip.AddrPort
	// PeerListen is where it listens for peers, and Front the relay before that.
	PeerListen netip.AddrPort
	PeerRelay  netip.AddrPort
	// LogFile is the file with what it wrote.
	LogFile string

	program     string
	arguments   []string
	environment []string
	mutex       sync.Mutex
	command     *exec.Cmd
	done        chan struct{}
}

// NewProcess returns a process that is not started yet. The environment is added
// to that of this process.
func NewProcess(name, logFile, program string, arguments, environment []string) *Process {
	return &Process{Name: name, LogFile: logFile, program: program, arguments: arguments, environment: environment}
}

// Start starts the process, or starts it again.
func (p *Process) Start() error {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	file, err := os.OpenFile(p.LogFile, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return errors.Wrap(err, "open the log of "+p.Name)
	}
	command := exec.Command(p.program, p.arguments...)
	command.Stdout, command.Stderr = file, file
	command.Env = append(os.Environ(), p.environment...)
	command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := command.Start(); err != nil {
		_ = file.Close()
		return errors.Wrap(err, "start "+p.Name)
	}
	done := make(chan struct{})
	go func() {
		_ = command.Wait()
		_ = file.Close()
		close(done)
	}()
	p.command, p.done = command, done
	return nil
}

// Running reports whether the process runs.
func (p *Process) Running() bool {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.command == nil {
		return false
	}
	select {
	case <-p.done:
		return false
	default:
		return true
	}
}

// Kill ends the process at once, and waits until it is gone.
func (p *Process) Kill() {
	p.signalKill()
	p.Wait(killTimeout)
}

// Stop asks the process for a planned stop and reports whether it ended within
// the stated time.
func (p *Process) Stop(timeout time.Duration) bool {
	p.signal(syscall.SIGTERM)
	return p.Wait(timeout)
}

// Reload tells the process to read its settings again.
func (p *Process) Reload() {
	p.signal(syscall.SIGHUP)
}

// Pause stops the process from running, until Thaw.
func (p *Process) Pause() {
	p.signal(syscall.SIGSTOP)
}

// Resume ends a Freeze.
func (p *Process) Resume() {
	p.signal(syscall.SIGCONT)
}

// Wait waits until the process has ended and reports whether it did.
func (p *Process) Wait(timeout time.Duration) bool {
	p.mutex.Lock()
	done := p.done
	p.mutex.Unlock()
	if done == nil {
		return true
	}
	select {
	case <-done:
		return true
	case <-time.After(timeout):
		return false
	}
}

// Pid returns the process's id, or 0 where it was not started.
func (p *Process) Pid() int {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.command == nil {
		return 0
	}
	return p.command.Process.Pid
}

// signalKill ends the process, also one that is frozen.
func (p *Process) signalKill() {
	p.signal(syscall.SIGKILL)
}

func (p *Process) signal(signal syscall.Signal) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.command != nil {
		_ = p.command.Process.Signal(signal)
	}
}
