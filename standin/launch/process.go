package launch

import (
	"context"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"papayaport.dev/serving/process/platform"
)

// Process is one process of the system.
type Process struct {
	Name string
	// Address is the process's listener as IP:PORT; for an entry, the one for callers.
	Address string
	// Peers and Administration are an entry's other listeners, as IP:PORT.
	Peers, Administration string
	// Instance is the instance list's row of an entry or backend server. Each restart changes
	// its Incarnation.
	Instance platform.Instance
	// Log is the path of the file with the process's output.
	Log string

	program string
	args    []string
	starter *starter

	mu   sync.Mutex
	cmd  *exec.Cmd
	done chan struct{}
}

// URL returns the base URL of Address.
func (p *Process) URL() string { return "http://" + p.Address }

// PID returns the process id, 0 before the start.
func (p *Process) PID() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd == nil || p.cmd.Process == nil {
		return 0
	}
	return p.cmd.Process.Pid
}

// start runs the program.
func (p *Process) start() error {
	log, err := os.OpenFile(p.Log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return errors.Wrap(err, "opening a log file")
	}
	defer log.Close()
	cmd := exec.Command(p.program, p.args...)
	cmd.Stdout, cmd.Stderr = log, log
	cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true, Pdeathsig: syscall.SIGKILL}
	if err := p.starter.start(p, cmd); err != nil {
		return errors.Wrapf(err, "starting %s", p.Name)
	}
	done := make(chan struct{})
	p.mu.Lock()
	p.cmd, p.done = cmd, done
	p.mu.Unlock()
	go func() {
		_ = cmd.Wait()
		close(done)
	}()
	return nil
}

// Done returns a channel that is closed when the process has exited.
func (p *Process) Done() <-chan struct{} {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.done
}

// Running reports whether the process has not exited.
func (p *Process) Running() bool {
	select {
	case <-p.Done():
		return false
	default:
		return true
	}
}

// Signal sends a signal to a process that has not exited.
func (p *Process) Signal(sig syscall.Signal) error {
	if !p.Running() {
		return errors.Errorf("%s has exited", p.Name)
	}
	return errors.Wrapf(p.cmd.Process.Signal(sig), "signalling %s", p.Name)
}

// Kill kills the process and waits until it has exited.
func (p *Process) Kill() error {
	if err := p.Signal(syscall.SIGKILL); err != nil {
		return err
	}
	<-p.Done()
	return nil
}

// Freeze stops the process with SIGSTOP until Resume.
func (p *Process) Freeze() error { return p.Signal(syscall.SIGSTOP) }

// Resume continues a frozen process.
func (p *Process) Resume() error { return p.Signal(syscall.SIGCONT) }

// Terminate sends SIGTERM for a graceful shutdown and does not wait for its end.
func (p *Process) Terminate() error { return p.Signal(syscall.SIGTERM) }

// Wait waits until the process has exited.
func (p *Process) Wait(ctx context.Context) error {
	select {
	case <-p.Done():
		return nil
	case <-ctx.Done():
		return errors.Wrapf(ctx.Err(), "waiting for the exit of %s", p.Name)
	}
}

// ExitCode waits until the process has exited and returns its exit code, -1 after a signal.
func (p *Process) ExitCode() int {
	<-p.Done()
	return p.cmd.ProcessState.ExitCode()
}

// newProcess describes a process of one of the programs.
func (s *System) newProcess(name, program, address string, args ...string) *Process {
	return &Process{
		Name:    name,
		Address: address,
		Log:     filepath.Join(s.WorkDir, name+".log"),
		program: filepath.Join(s.plan.BinDir, program),
		args:    args,
		starter: s.starter,
	}
}

// startAndWait starts a process and waits until it accepts connections.
func (s *System) startAndWait(ctx context.Context, p *Process) error {
	if err := p.start(); err != nil {
		return err
	}
	return s.waitListening(ctx, p)
}

// waitListening waits until a process accepts connections.
func (s *System) waitListening(ctx context.Context, p *Process) error {
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	for {
		if isListening(ctx, p.Address) {
			return nil
		}
		select {
		case <-p.Done():
			return errors.Errorf("%s exited during its start: %s", p.Name, logTail(p.Log))
		case <-ctx.Done():
			return errors.Errorf("%s does not listen on %s: %s", p.Name, p.Address, logTail(p.Log))
		case <-time.After(10 * time.Millisecond):
		}
	}
}

// logTailBytes is the length of the end of a log that an error contains.
const logTailBytes = 600

func logTail(log string) string {
	data, err := os.ReadFile(log)
	if err != nil {
		return err.Error()
	}
	return string(data[max(0, len(data)-logTailBytes):])
}
