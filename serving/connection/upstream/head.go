package upstream

import (
	"bufio"
	"bytes"
	"io"

	"github.com/pkg/errors"
)

const (
	// headBytes and headLines bound the head of one answer. The users' configurations allow
	// callers half as many bytes.
	headBytes = 32 << 10
	headLines = 256
)

// ErrEndless tells that the head of an answer passed its bounds.
var ErrEndless = errors.New("the head of the answer passes its bounds")

// headReader reads from a connection and gives up on a head that passes its bounds: net/http
// reads the head of an answer whole, however large it is.
type headReader struct {
	in io.Reader
	// inHead tells that the end of the head was not seen yet; bytes and lines count it so far,
	// and line the bytes of its last line.
	inHead             bool
	bytes, lines, line int
}

// Read implements io.Reader.
func (h *headReader) Read(p []byte) (int, error) {
	n, err := h.in.Read(p)
	if headErr := h.scan(p[:n]); headErr != nil {
		return 0, headErr
	}
	return n, err
}

// begin starts a head, of which a buffered reader over this one may hold a part already.
func (h *headReader) begin(ahead *bufio.Reader) error {
	h.inHead, h.bytes, h.lines, h.line = true, 0, 0, 0
	held, err := ahead.Peek(ahead.Buffered())
	if err != nil {
		return errors.Wrap(err, "peek")
	}
	return h.scan(held)
}

// scan counts bytes of the head up to its blank line.
func (h *headReader) scan(data []byte) error {
	for h.inHead && len(data) > 0 {
		end := bytes.IndexByte(data, '\n')
		if end < 0 {
			h.line += len(bytes.TrimRight(data, "\r"))
			h.bytes += len(data)
			break
		}
		h.line += len(bytes.TrimRight(data[:end], "\r"))
		h.bytes += end + 1
		h.lines++
		// Blank lines before the status line end nothing.
		h.inHead = h.line > 0 || h.lines == 1
		h.line = 0
		data = data[end+1:]
	}
	if h.inHead && (h.bytes > headBytes || h.lines > headLines) {
		return ErrEndless
	}
	return nil
}
