// Package instance runs one entry instance as a real process and sends it signals. It
// signals only the process that it started, by its id.
//
// # Usage
//
//	i, err := instance.New(program, dir, settings)
//	err = i.Start()
//	err = i.Signal(syscall.SIGSTOP)
//	err = i.Wait(ctx)
package instance

import (
	"context"
	"encoding/json"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"papayaport.dev/entry/site"
)

// Life is one process of an entry instance.
type Life struct {
	Started time.Time
	// Stopping is when it was told to stop, and Ended when its process was gone; zero
	// before.
	Stopping, Ended time.Time
	// Killed tells that it was not left to end by itself.
	Killed bool
	// Err is how the process ended.
	Err error
}

// Instance is one entry instance over its processes.
type Instance struct {
	Settings site.Settings
	program  string
	file     string
	logs     *os.File

	mu    sync.Mutex
	lives []Life
	cmd   *exec.Cmd
	ended chan struct{}
}

// New writes the settings and opens the log of an instance; nothing runs yet.
func New(program, dir string, set site.Settings) (*Instance, error) {
	i := &Instance{Settings: set, program: program, file: filepath.Join(dir, set.Instance+".json")}
	data, err := json.MarshalIndent(set, "", "  ")
	if err != nil {
		return nil, errors.Wrap(err, "encode settings")
	}
	if err := os.WriteFile(i.file, data, 0o600); err != nil {
		return nil, errors.Wrap(err, "write settings")
	}
	i.logs, err = os.Create(filepath.Join(dir, set.Instance+".log"))
	return i, errors.Wrap(err, "open log")
}

// Start starts a process. The one before must have ended.
func (i *Instance) Start() error {
	cmd := exec.Command(i.program, "run")
	cmd.Env = append(os.Environ(), "PAPAYAPORT_NODE_FILE="+i.file)
	cmd.Stdout, cmd.Stderr = i.logs, i.logs
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return errors.Wrap(err, "start entry instance")
	}
	ended := make(chan struct{})
	i.mu.Lock()
	i.cmd, i.ended = cmd, ended
	i.lives = append(i.lives, Life{Started: time.Now()})
	life := len(i.lives) - 1
	i.mu.Unlock()
	go func() {
		err := cmd.Wait()
		i.mu.Lock()
		i.lives[life].Ended, i.lives[life].Err = time.Now(), err
		i.mu.Unlock()
		close(ended)
	}()
	return nil
}

// Signal sends a signal to the process, if it still runs.
func (i *Instance) Signal(signal syscall.Signal) error {
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.cmd == nil || !i.lives[len(i.lives)-1].Ended.IsZero() {
		return nil
	}
	life := &i.lives[len(i.lives)-1]
	switch signal {
	case syscall.SIGKILL:
		life.Killed = true
	case syscall.SIGTERM:
		if life.Stopping.IsZero() {
			life.Stopping = time.Now()
		}
	}
	if err := i.cmd.Process.Signal(signal); err != nil && !errors.Is(err, os.ErrProcessDone) {
		return errors.Wrapf(err, "signal %v", signal)
	}
	return nil
}

// Wait returns when the process has ended.
func (i *Instance) Wait(ctx context.Context) error {
	i.mu.Lock()
	ended := i.ended
	i.mu.Unlock()
	if ended == nil {
		return nil
	}
	select {
	case <-ended:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Lives returns the processes so far.
func (i *Instance) Lives() []Life {
	i.mu.Lock()
	defer i.mu.Unlock()
	return append([]Life(nil), i.lives...)
}

// Close ends the process at once if it still runs.
func (i *Instance) Close(ctx context.Context) error {
	err := i.Signal(syscall.SIGKILL)
	if waitErr := i.Wait(ctx); err == nil {
		err = waitErr
	}
	if closeErr := i.logs.Close(); err == nil {
		err = closeErr
	}
	return err
}
