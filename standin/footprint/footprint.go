// Package footprint measures what a process of the system holds of its machine: its resident memory,
// the bytes that the kernel buffers on the connections that it accepted, and its open descriptors.
//
// # Usage
//
//	meter, err := footprint.New(cmd.Process.Pid, 512<<20, "127.0.0.1:7070")
//	go meter.Run(ctx)
//	peak := meter.Peak()
package footprint

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"os"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"
)

// period is the interval between two samples.
const period = 10 * time.Millisecond

// Sample is what a process held at one moment. Resident and Buffered are in bytes.
type Sample struct {
	Resident, Buffered int64
	Descriptors        int
}

// Bytes returns all memory of a sample in bytes.
func (s Sample) Bytes() int64 { return s.Resident + s.Buffered }

// String implements fmt.Stringer.
func (s Sample) String() string {
	return fmt.Sprintf("%d MB resident, %d MB in kernel buffers, %d descriptors", s.Resident>>20, s.Buffered>>20, s.Descriptors)
}

// Meter samples one process and keeps the peaks.
type Meter struct {
	pid int
	// ports are the ports of the listeners whose connections count, in the notation of /proc/net/tcp.
	ports map[string]bool
	// killAbove is the number of bytes above which the process is killed, to protect the machine.
	killAbove int64

	mu     sync.Mutex
	peak   Sample
	killed bool
}

// New returns a meter of a process and its listeners at some addresses "IP:PORT". The process is killed
// when it holds more than killAbove bytes.
func New(pid int, killAbove int64, listeners ...string) (*Meter, error) {
	m := &Meter{pid: pid, killAbove: killAbove, ports: map[string]bool{}}
	for _, address := range listeners {
		_, port, err := net.SplitHostPort(address)
		if err != nil {
			return nil, errors.Wrap(err, "listener")
		}
		number, err := strconv.Atoi(port)
		if err != nil {
			return nil, errors.Wrap(err, "listener")
		}
		m.ports[fmt.Sprintf("%04X", number)] = true
	}
	return m, nil
}

// Run samples until ctx ends or the process has ended.
func (m *Meter) Run(ctx context.Context) {
	ticker := time.NewTicker(period)
	defer ticker.Stop()
	for ctx.Err() == nil {
		sample, err := m.sample()
		if err != nil {
			return // the process has ended
		}
		m.add(sample)
		select {
		case <-ctx.Done():
		case <-ticker.C:
		}
	}
}

func (m *Meter) add(s Sample) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if s.Bytes() > m.peak.Bytes() {
		m.peak.Resident, m.peak.Buffered = s.Resident, s.Buffered
	}
	m.peak.Descriptors = max(m.peak.Descriptors, s.Descriptors)
	if s.Bytes() > m.killAbove && !m.killed {
		m.killed = syscall.Kill(m.pid, syscall.SIGKILL) == nil
	}
}

// Peak returns the largest memory and the largest number of descriptors so far.
func (m *Meter) Peak() Sample {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.peak
}

// Killed reports whether the process was killed for its memory.
func (m *Meter) Killed() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.killed
}

func (m *Meter) sample() (Sample, error) {
	resident, err := m.resident()
	if err != nil {
		return Sample{}, err
	}
	descriptors, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", m.pid))
	if err != nil {
		return Sample{}, errors.Wrap(err, "list descriptors")
	}
	buffered, err := m.buffered()
	return Sample{Resident: resident, Buffered: buffered, Descriptors: len(descriptors)}, err
}

func (m *Meter) resident() (int64, error) {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", m.pid))
	if err != nil {
		return 0, errors.Wrap(err, "read memory")
	}
	fields := strings.Fields(string(data))
	if len(fields) < 2 {
		return 0, errors.Errorf("memory of a process is %q", data)
	}
	pages, err := strconv.ParseInt(fields[1], 10, 64)
	return pages * int64(os.Getpagesize()), errors.Wrap(err, "resident pages")
}

// established is the state of an open connection in /proc/net/tcp, closeWait that of one whose peer has
// closed it.
const established, closeWait = "01", "08"

// buffered returns the bytes that the kernel holds for the connections of the listeners.
func (m *Meter) buffered() (int64, error) {
	file, err := os.Open(fmt.Sprintf("/proc/%d/net/tcp", m.pid))
	if err != nil {
		return 0, errors.Wrap(err, "list connections")
	}
	defer file.Close()
	total := int64(0)
	lines := bufio.NewScanner(file)
	for lines.Scan() {
		// The fields are: number, local address, remote address, state, TX_QUEUE:RX_QUEUE in bytes.
		fields := strings.Fields(lines.Text())
		if len(fields) < 5 || (fields[3] != established && fields[3] != closeWait) {
			continue
		}
		_, port, _ := strings.Cut(fields[1], ":")
		if !m.ports[port] {
			continue
		}
		unsent, unread, _ := strings.Cut(fields[4], ":")
		for _, queue := range []string{unsent, unread} {
			bytes, err := strconv.ParseInt(queue, 16, 64)
			if err != nil {
				return 0, errors.Wrap(err, "bytes of a queue")
			}
			total += bytes
		}
	}
	return total, errors.Wrap(lines.Err(), "list connections")
}
