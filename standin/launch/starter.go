package launch

import (
	"os/exec"
	"runtime"
	"sync"

	"github.com/pkg/errors"
)

// starter starts all processes from one OS thread that lives until stop: the kernel sends the
// parent-death signal when the thread that created the child exits.
type starter struct {
	requests chan startRequest
	stopped  chan struct{}
	once     sync.Once

	mu      sync.Mutex
	closed  bool
	started []*Process
	cmds    []*exec.Cmd
}

type startRequest struct {
	cmd  *exec.Cmd
	done chan error
}

func newStarter() *starter {
	s := &starter{requests: make(chan startRequest), stopped: make(chan struct{})}
	go s.run()
	return s
}

func (s *starter) run() {
	runtime.LockOSThread()
	defer runtime.UnlockOSThread()
	for {
		select {
		case o := <-s.requests:
			o.done <- o.cmd.Start()
		case <-s.stopped:
			return
		}
	}
}

// start starts a command, unless the system has been stopped.
func (s *starter) start(p *Process, cmd *exec.Cmd) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return errors.New("the system has been stopped")
	}
	o := startRequest{cmd: cmd, done: make(chan error, 1)}
	s.requests <- o
	if err := <-o.done; err != nil {
		return err
	}
	s.started = append(s.started, p)
	s.cmds = append(s.cmds, cmd)
	return nil
}

// killAll kills every process that was started, and prevents further starts.
func (s *starter) killAll() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closed = true
	for _, cmd := range s.cmds {
		_ = cmd.Process.Kill() // fails only for an exited process
	}
}

// stop kills every process and waits until they have exited.
func (s *starter) stop() {
	s.killAll()
	for _, p := range s.started {
		if done := p.Done(); done != nil {
			<-done
		}
	}
	s.once.Do(func() { close(s.stopped) })
}
