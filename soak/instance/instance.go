// Package instance runs an entry instance as a child process and sends signals to it. Signals
// go only to the process that it started, by process id.
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

// Process is one process of an entry instance.
type Process struct {
	Started time.Time
	// StopRequested is the time of SIGTERM, and Ended that of the exit; zero before.
	StopRequested, Ended time.Time
	// Killed is true if SIGKILL was sent.
	Killed bool
	// Err is the exit error, nil for exit code 0.
	Err error
}

// Instance is an entry instance and its successive processes.
type Instance struct {
	Settings site.Settings
	program  string
	file     string
	logs     *os.File

	mu        sync.Mutex
	processes []Process
	cmd       *exec.Cmd
	done      chan struct{}
}

// New writes the settings file and creates the log file of an instance. It starts no process.
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

// Start starts a process. The previous one must have ended.
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
	i.cmd, i.done = cmd, ended
	i.processes = append(i.processes, Process{Started: time.Now()})
	life := len(i.processes) - 1
	i.mu.Unlock()
	go func() {
		err := cmd.Wait()
		i.mu.Lock()
		i.processes[life].Ended, i.processes[life].Err = time.Now(), err
		i.mu.Unlock()
		close(ended)
	}()
	return nil
}

// Signal sends a signal to the process if it is running.
func (i *Instance) Signal(signal syscall.Signal) error {
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.cmd == nil || !i.processes[len(i.processes)-1].Ended.IsZero() {
		return nil
	}
	life := &i.processes[len(i.processes)-1]
	switch signal {
	case syscall.SIGKILL:
		life.Killed = true
	case syscall.SIGTERM:
		if life.StopRequested.IsZero() {
			life.StopRequested = time.Now()
		}
	}
	if err := i.cmd.Process.Signal(signal); err != nil && !errors.Is(err, os.ErrProcessDone) {
		return errors.Wrapf(err, "signal %v", signal)
	}
	return nil
}

// Wait waits until the process has ended.
func (i *Instance) Wait(ctx context.Context) error {
	i.mu.Lock()
	ended := i.done
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

// Processes returns all processes in the order of their start.
func (i *Instance) Processes() []Process {
	i.mu.Lock()
	defer i.mu.Unlock()
	return append([]Process(nil), i.processes...)
}

// Close kills the process if it is running, and closes the log.
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
