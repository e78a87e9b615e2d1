package upstream

import (
	"bufio"
	"bytes"
	"cmp"
	"io"
	"net/http"

	"github.com/pkg/errors"

	"papayaport.dev/serving/connection/answer"
)

const (
	// maxHeadBytes and headLines limit the head of one answer. Typical configurations allow the
	// heads of callers' requests half as many bytes.
	maxHeadBytes = 32 << 10
	maxHeadLines = 256
)

// ErrHeadTooLarge means that the head of an answer exceeds its limits.
var ErrHeadTooLarge = errors.New("the head of the answer exceeds its limits")

// maxProbeBytes limits the body of an answer that ReadWhole reads.
const maxProbeBytes = 64 << 10

// ReadWhole reads one answer to a request with a method and without a body, and returns an error if it is
// not whole and valid. Begun reports whether a byte of it arrived.
func ReadWhole(in io.Reader, method string) (begun bool, err error) {
	counted := &startReader{Reader: in}
	err = readWhole(counted, method)
	return counted.begun, errors.Wrap(err, "read answer")
}

func readWhole(in io.Reader, method string) error {
	head := &headReader{in: in}
	buffered := bufio.NewReaderSize(head, bufferBytes)
	for {
		if err := head.begin(buffered); err != nil {
			return err
		}
		raw, err := http.ReadResponse(buffered, &http.Request{Method: method})
		if err != nil {
			return err
		}
		if raw.StatusCode/100 == 1 {
			continue
		}
		if n, err := io.Copy(io.Discard, io.LimitReader(raw.Body, maxProbeBytes)); err != nil || n == maxProbeBytes {
			return cmp.Or(err, errBodyTooLarge)
		}
		return answer.CheckFields(raw.Trailer)
	}
}

// startReader records whether a byte was read.
type startReader struct {
	io.Reader
	begun bool
}

// Read implements io.Reader.
func (s *startReader) Read(p []byte) (int, error) {
	n, err := s.Reader.Read(p)
	s.begun = s.begun || n > 0
	return n, err
}

// errBodyTooLarge means that the body of an answer that is only checked exceeds its limit.
var errBodyTooLarge = errors.New("the body of the answer is too large")

// headReader reads from a connection and fails on a head that exceeds its limits or is invalid, since
// http.ReadResponse reads the head of an answer completely, however large it is, and takes some that are
// invalid.
type headReader struct {
	in io.Reader
	// inHead is set until the end of the head was read. bytes and lines are the size of the head so far,
	// and line is what was read of its last line.
	inHead       bool
	bytes, lines int
	line         []byte
	head         answer.Head
	// err is the error of the head. It is kept, since bufio.Reader takes the start of a line before an error
	// for a whole one.
	err error
}

// Read implements io.Reader.
func (h *headReader) Read(p []byte) (int, error) {
	if h.err != nil {
		return 0, h.err
	}
	n, err := h.in.Read(p)
	if h.err = h.scan(p[:n]); h.err != nil {
		return 0, h.err
	}
	return n, err
}

// begin starts a new head. The buffered reader ahead, which reads from this reader, may have
// buffered a part of it already.
func (h *headReader) begin(ahead *bufio.Reader) error {
	h.inHead, h.bytes, h.lines, h.line, h.head = true, 0, 0, h.line[:0], answer.Head{}
	held, err := ahead.Peek(ahead.Buffered())
	if err != nil {
		return errors.Wrap(err, "peek")
	}
	return h.scan(held)
}

// scan checks the lines of the head up to its blank line.
func (h *headReader) scan(data []byte) error {
	for h.inHead && len(data) > 0 {
		end := bytes.IndexByte(data, '\n') + 1
		part := data[:cmp.Or(end, len(data))]
		if h.bytes += len(part); h.bytes > maxHeadBytes {
			return ErrHeadTooLarge
		}
		h.line = append(h.line, part...)
		data = data[len(part):]
		if end == 0 {
			break
		}
		if h.lines++; h.lines > maxHeadLines {
			return ErrHeadTooLarge
		}
		line := bytes.TrimSuffix(h.line[:len(h.line)-1], []byte{'\r'})
		h.line = h.line[:0]
		if h.inHead = len(line) > 0 || h.lines == 1; !h.inHead {
			break
		}
		if err := h.head.Line(line); err != nil {
			return err
		}
	}
	return nil
}
