package launch

import (
	"os/exec"
	"runtime"
	"sync"

	"github.com/pkg/errors"
)

// starter starts all processes from one thread that lives until stop: a child's
// parent-death signal comes when the thread that made it ends.
type starter struct {
	orders  chan order
	stopped chan struct{}
	once    sync.Once

	mu      sync.Mutex
	closed  bool
	started []*Process
	cmds    []*exec.Cmd
}

type order struct {
	cmd  *exec.Cmd
	done chan error
}

func newStarter() *starter {
	s := &starter{orders: make(chan order), stopped: make(chan struct{})}
	go s.run()
	return s
}

func (s *starter) run() {
	runtime.LockOSThread()
	defer runtime.UnlockOSThread()
	for {
		select {
		case o := <-s.orders:
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
	o := order{cmd: cmd, done: make(chan error, 1)}
	s.orders <- o
	if err := <-o.done; err != nil {
		return err
	}
	s.started = append(s.started, p)
	s.cmds = append(s.cmds, cmd)
	return nil
}

// killAll kills every process that was ever started, and lets none start again.
func (s *starter) killAll() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closed = true
	for _, cmd := range s.cmds {
		_ = cmd.Process.Kill() // an ended process is no failure
	}
}

// stop kills every process and waits for their ends.
func (s *starter) stop() {
	s.killAll()
	for _, p := range s.started {
		if done := p.Done(); done != nil {
			<-done
		}
	}
	s.once.Do(func() { close(s.stopped) })
}
