package upstream

import (
	"bufio"
	"bytes"
	"io"

	"github.com/pkg/errors"
)

const (
	// maxHeadBytes and headLines limit the head of one answer. Typical configurations allow the
	// heads of callers' requests half as many bytes.
	maxHeadBytes = 32 << 10
	maxHeadLines = 256
)

// ErrHeadTooLarge means that the head of an answer exceeds its limits.
var ErrHeadTooLarge = errors.New("the head of the answer exceeds its limits")

// headReader reads from a connection and fails on a head that exceeds its limits, since
// http.ReadResponse reads the head of an answer completely, however large it is.
type headReader struct {
	in io.Reader
	// inHead is set until the end of the head was read. bytes and lines are the size of the
	// head so far, and line is the length of its last line in bytes.
	inHead                  bool
	bytes, lines, lineBytes int
}

// Read implements io.Reader.
func (h *headReader) Read(p []byte) (int, error) {
	n, err := h.in.Read(p)
	if headErr := h.scan(p[:n]); headErr != nil {
		return 0, headErr
	}
	return n, err
}

// begin starts a new head. The buffered reader ahead, which reads from this reader, may have
// buffered a part of it already.
func (h *headReader) begin(ahead *bufio.Reader) error {
	h.inHead, h.bytes, h.lines, h.lineBytes = true, 0, 0, 0
	held, err := ahead.Peek(ahead.Buffered())
	if err != nil {
		return errors.Wrap(err, "peek")
	}
	return h.scan(held)
}

// scan counts the bytes and lines of the head up to its blank line.
func (h *headReader) scan(data []byte) error {
	for h.inHead && len(data) > 0 {
		end := bytes.IndexByte(data, '\n')
		if end < 0 {
			h.lineBytes += len(bytes.TrimRight(data, "\r"))
			h.bytes += len(data)
			break
		}
		h.lineBytes += len(bytes.TrimRight(data[:end], "\r"))
		h.bytes += end + 1
		h.lines++
		// A blank line before the status line does not end the head.
		h.inHead = h.lineBytes > 0 || h.lines == 1
		h.lineBytes = 0
		data = data[end+1:]
	}
	if h.inHead && (h.bytes > maxHeadBytes || h.lines > maxHeadLines) {
		return ErrHeadTooLarge
	}
	return nil
}
