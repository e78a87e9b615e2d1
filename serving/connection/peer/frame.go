package peer

import (
	"net"

	"github.com/pkg/errors"
)

// maxFrameBytes limits the data of one frame; drpc splits messages into frames of 64 KB.
const maxFrameBytes = 128 << 10

// Errors of a connection whose peer sends too much.
var (
	errFrameTooLarge = errors.New("frame too large")
	errNoMemory      = errors.New("no memory left for messages of peers")
)

// countedConn is a connection that counts what an unfinished message holds, such as one of the package
// inbound.
type countedConn interface {
	net.Conn
	// Begin and Complete enclose each message. Hold reports whether there is memory for a number of bytes.
	Begin()
	Complete()
	Hold(bytes int64) bool
}

// frameConn counts the unfinished messages on a connection, which drpc keeps in memory.
type frameConn struct {
	countedConn
	frames frames
	// held is the largest message so far: drpc keeps its buffer.
	held int64
}

// newFrameConn returns conn with counted messages, or conn itself if it counts nothing.
func newFrameConn(conn net.Conn) net.Conn {
	if counted, ok := conn.(countedConn); ok {
		return &frameConn{countedConn: counted}
	}
	return conn
}

// Read implements net.Conn.
func (c *frameConn) Read(p []byte) (int, error) {
	n, err := c.countedConn.Read(p)
	if scanErr := c.frames.scan(p[:n]); scanErr != nil {
		return 0, scanErr
	}
	if c.frames.message == 0 {
		c.Complete()
		return n, err
	}
	c.Begin()
	if c.frames.message > c.held {
		c.held = c.frames.message
		// The buffer of a message grows to twice its size.
		if !c.Hold(2 * c.held) {
			return 0, errNoMemory
		}
	}
	return n, err
}

// frames scans the frames of a drpc connection: a control byte, the ids of a stream and a message, the
// length of the data, and the data (drpcwire.ParseFrame).
type frames struct {
	// message is the number of bytes of the unfinished message, 0 between two messages.
	message int64
	// field is the number of the field of the frame's head that is read, of which the data is the last.
	field int
	// done is set if the frame is the last one of its message.
	done bool
	// value and shift are those of a number that is being read.
	value uint64
	shift uint
}

// Fields of a frame.
const (
	controlField = iota
	streamField
	messageField
	lengthField
	dataField
)

// doneBit is the bit of the control byte that marks the last frame of a message.
const doneBit = 1

func (f *frames) scan(data []byte) error {
	for len(data) > 0 {
		switch f.field {
		case controlField:
			f.done, f.field = data[0]&doneBit != 0, streamField
			f.count(1)
			data = data[1:]
		case dataField:
			n := min(f.value, uint64(len(data)))
			f.value -= n
			f.count(int64(n))
			data = data[n:]
		default:
			if f.shift > 63 {
				return errors.Wrap(errFrameTooLarge, "number")
			}
			f.value |= uint64(data[0]&0x7f) << f.shift
			f.shift += 7
			f.count(1)
			last := data[0]&0x80 == 0
			data = data[1:]
			if !last {
				continue
			}
			f.shift = 0
			if f.field++; f.field != dataField {
				f.value = 0
			} else if f.value > maxFrameBytes {
				return errors.Wrapf(errFrameTooLarge, "%d bytes", f.value)
			}
		}
		if f.field == dataField && f.value == 0 {
			f.field = controlField
			if f.done {
				f.message = 0
			}
		}
	}
	return nil
}

func (f *frames) count(bytes int64) { f.message += bytes }
