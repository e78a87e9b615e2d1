package peer

import (
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
)

// Traffic counts bytes between entry instances. The zero value is ready.
type Traffic struct {
	// In and Out count bytes on connections, those of TLS and TCP not included.
	In, Out atomic.Int64
	// Dials counts connections opened.
	Dials   atomic.Int64
	mu      sync.Mutex
	methods map[Method]*MethodTraffic
}

// MethodTraffic counts the encoded messages of one method in bytes.
type MethodTraffic struct{ In, Out atomic.Int64 }

// Method returns the counts of one method.
func (t *Traffic) Method(method Method) *MethodTraffic {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.methods == nil {
		t.methods = make(map[Method]*MethodTraffic)
	}
	if t.methods[method] == nil {
		t.methods[method] = new(MethodTraffic)
	}
	return t.methods[method]
}

// countedConn counts bytes and fails a write that makes no progress.
type countedConn struct {
	net.Conn
	traffic *Traffic
	silence time.Duration
	// timer is reset by every byte while a call of a client is open.
	timer atomic.Pointer[time.Timer]
}

func (c *countedConn) progress(n int) {
	if timer := c.timer.Load(); timer != nil && n > 0 {
		timer.Reset(c.silence)
	}
}

// Read implements net.Conn.
func (c *countedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.traffic.In.Add(int64(n))
	c.progress(n)
	return n, err
}

// writeBytes is the largest write under one deadline, so that a slow reader of a large
// message is not taken for a silent one.
const writeBytes = 64 << 10

// Write implements net.Conn.
func (c *countedConn) Write(p []byte) (int, error) {
	written := 0
	for {
		if err := c.SetWriteDeadline(time.Now().Add(c.silence)); err != nil {
			return written, errors.Wrap(err, "set write deadline")
		}
		n, err := c.Conn.Write(p[written:min(len(p), written+writeBytes)])
		written += n
		c.traffic.Out.Add(int64(n))
		c.progress(n)
		if err != nil || written == len(p) {
			return written, err
		}
	}
}
