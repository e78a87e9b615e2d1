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
	// Address is where the process serves, as IP:PORT: the callers' listener of an entry.
	Address string
	// Peers and Administration are an entry's other listeners, as IP:PORT.
	Peers, Administration string
	// Instance is how the instance list shows an entry or backend server. Incarnation
	// changes when the process is started again.
	Instance platform.Instance
	// Log is the file with the process's output.
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
		return errors.Wrap(err, "opening a log")
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

// Done is closed when the process has ended.
func (p *Process) Done() <-chan struct{} {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.done
}

// Running tells whether the process has not ended.
func (p *Process) Running() bool {
	select {
	case <-p.Done():
		return false
	default:
		return true
	}
}

// signal sends to a process that has not ended.
func (p *Process) signal(sig syscall.Signal) error {
	if !p.Running() {
		return errors.Errorf("%s has ended", p.Name)
	}
	return errors.Wrapf(p.cmd.Process.Signal(sig), "signalling %s", p.Name)
}

// Kill ends the process at once and waits for its end.
func (p *Process) Kill() error {
	if err := p.signal(syscall.SIGKILL); err != nil {
		return err
	}
	<-p.Done()
	return nil
}

// Freeze stops the process with SIGSTOP until Resume.
func (p *Process) Freeze() error { return p.signal(syscall.SIGSTOP) }

// Resume lets a frozen process go on.
func (p *Process) Resume() error { return p.signal(syscall.SIGCONT) }

// Terminate asks the process to stop with SIGTERM. Wait tells when it has.
func (p *Process) Terminate() error { return p.signal(syscall.SIGTERM) }

// Wait waits for the end of the process.
func (p *Process) Wait(ctx context.Context) error {
	select {
	case <-p.Done():
		return nil
	case <-ctx.Done():
		return errors.Wrapf(ctx.Err(), "waiting for the end of %s", p.Name)
	}
}

// ExitCode returns the exit code of an ended process, -1 after a signal.
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

// run starts a process and waits until it listens.
func (s *System) run(ctx context.Context, p *Process) error {
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
		if listening(ctx, p.Address) {
			return nil
		}
		select {
		case <-p.Done():
			return errors.Errorf("%s ended at its start: %s", p.Name, tailOf(p.Log))
		case <-ctx.Done():
			return errors.Errorf("%s does not listen on %s: %s", p.Name, p.Address, tailOf(p.Log))
		case <-time.After(10 * time.Millisecond):
		}
	}
}

// tailBytes is the part of a log that an error shows.
const tailBytes = 600

func tailOf(log string) string {
	data, err := os.ReadFile(log)
	if err != nil {
		return err.Error()
	}
	return string(data[max(0, len(data)-tailBytes):])
}
