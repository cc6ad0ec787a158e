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

// killTimeout bounds the wait for a process to end after SIGKILL.
const killTimeout = 30 * time.Second

// Process is one process of a fleet. It can be started again after it has ended.
type Process struct {
	Name          string
	FailureDomain ctrelay.FailureDomain
	// Listen is the TCP address for database connections. Only proxies and members
	// listen on it.
	Listen netip.AddrPort
	// HTTP is the address of the HTTP interface.
	HTTP netip.AddrPort
	// PeerListen is the UDP address on which the process listens for proxies and
	// control processes, and PeerRelay the address of the relay in front of it. Members
	// use neither.
	PeerListen netip.AddrPort
	PeerRelay  netip.AddrPort
	// LogFile is the path of the file with the standard output and standard error of
	// all runs of the process.
	LogFile string

	program     string
	arguments   []string
	environment []string
	// mutex guards command and done.
	mutex   sync.Mutex
	command *exec.Cmd
	// done is closed when the last started run has ended; nil before the first start.
	done chan struct{}
}

// NewProcess returns a process that is not started yet and has no addresses. The
// environment lists variables as name=value. They are added to those of the calling
// process.
func NewProcess(name, logFile, program string, arguments, environment []string) *Process {
	return &Process{Name: name, LogFile: logFile, program: program, arguments: arguments, environment: environment}
}

// Start starts the process, also again after it has ended. The kernel kills the process
// when the calling program ends.
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

// Running reports whether the process was started and has not ended. A paused process
// counts as running.
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

// Kill sends SIGKILL and waits until the process has ended, for killTimeout at most.
func (p *Process) Kill() {
	p.signalKill()
	p.Wait(killTimeout)
}

// Stop requests a planned stop with SIGTERM, and reports whether the process ended
// within the timeout.
func (p *Process) Stop(timeout time.Duration) bool {
	p.signal(syscall.SIGTERM)
	return p.Wait(timeout)
}

// Reload sends SIGHUP: the process reads its settings again.
func (p *Process) Reload() {
	p.signal(syscall.SIGHUP)
}

// Pause suspends the process with SIGSTOP until Resume.
func (p *Process) Pause() {
	p.signal(syscall.SIGSTOP)
}

// Resume ends a Pause with SIGCONT.
func (p *Process) Resume() {
	p.signal(syscall.SIGCONT)
}

// Wait waits until the process has ended, for the timeout at most. It reports whether
// the process has ended, which is true for one that was never started.
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

// Pid returns the id of the last started run, also after its end, and 0 before the
// first start.
func (p *Process) Pid() int {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.command == nil {
		return 0
	}
	return p.command.Process.Pid
}

// signalKill sends SIGKILL, which also ends a paused process, and does not wait.
func (p *Process) signalKill() {
	p.signal(syscall.SIGKILL)
}

// signal sends a signal. It does nothing before the first start, and ignores errors,
// since the process may have ended.
func (p *Process) signal(signal syscall.Signal) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.command != nil {
		_ = p.command.Process.Signal(signal)
	}
}
