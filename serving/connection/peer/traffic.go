package peer

import (
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
)

// Traffic counts the bytes between entry instances. The zero value is ready to use.
type Traffic struct {
	// In and Out count bytes on connections, without the overhead of TLS and TCP.
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

// meteredConn counts bytes and fails writes that make no progress.
type meteredConn struct {
	net.Conn
	traffic *Traffic
	silence time.Duration
	// timer is the progress timer of the client's current call, if any; every transfer resets it.
	timer atomic.Pointer[time.Timer]
}

func (c *meteredConn) recordProgress(n int) {
	if timer := c.timer.Load(); timer != nil && n > 0 {
		timer.Reset(c.silence)
	}
}

// Read implements net.Conn.
func (c *meteredConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.traffic.In.Add(int64(n))
	c.recordProgress(n)
	return n, err
}

// maxWriteBytes is the maximum size of a write under one deadline, so that a slow reader of a
// large message is not mistaken for an unresponsive one.
const maxWriteBytes = 64 << 10

// Write implements net.Conn.
func (c *meteredConn) Write(p []byte) (int, error) {
	written := 0
	for {
		if err := c.SetWriteDeadline(time.Now().Add(c.silence)); err != nil {
			return written, errors.Wrap(err, "set write deadline")
		}
		n, err := c.Conn.Write(p[written:min(len(p), written+maxWriteBytes)])
		written += n
		c.traffic.Out.Add(int64(n))
		c.recordProgress(n)
		if err != nil || written == len(p) {
			return written, err
		}
	}
}
