// Package answer checks that what a server sends is a valid and whole answer in HTTP/1.x (RFC 9112).
// net/http takes a status of 000, blanks behind the name of a field, and an answer without a length whose
// connection was reset while the request was being written.
//
// # Usage
//
//	var head answer.Head
//	err := head.Line(line) // for each line up to the blank one; answer.ErrInvalid
//
//	client := &http.Client{Transport: answer.NewTransport(transport)}
package answer

import (
	"bytes"
	"net/http"
	"strings"

	"github.com/pkg/errors"
)

// ErrInvalid means that bytes are no valid answer.
var ErrInvalid = errors.New("the answer is invalid")

// Statuses of answers (RFC 9110, section 15).
const (
	firstStatus, lastStatus = 100, 599
)

// Head checks the lines of one head.
type Head struct {
	begun bool
	// minor is the minor version of HTTP.
	minor byte
	// hasField is set behind the first field, and hasLength and hasEncoding behind those that frame the
	// body.
	hasField, hasLength, hasEncoding bool
}

// Line checks the next line, without its line break.
func (h *Head) Line(line []byte) error {
	if !h.begun {
		h.begun = true
		return h.statusLine(line)
	}
	if len(line) > 0 && (line[0] == ' ' || line[0] == '\t') {
		if !h.hasField {
			return errors.Wrap(ErrInvalid, "a folded line without a field")
		}
		return checkValue(line)
	}
	h.hasField = true
	name, value, found := bytes.Cut(line, []byte{':'})
	if !found || !isToken(name) {
		return errors.Wrapf(ErrInvalid, "the name of a field in %.64q", line)
	}
	switch {
	case bytes.EqualFold(name, []byte("Content-Length")):
		h.hasLength = true
	case bytes.EqualFold(name, []byte("Transfer-Encoding")):
		h.hasEncoding = true
	}
	if h.hasEncoding && (h.hasLength || h.minor == 0) {
		return errors.Wrap(ErrInvalid, "the framing of the body is ambiguous")
	}
	return checkValue(value)
}

// statusLine checks the first line, such as "HTTP/1.1 200 OK".
func (h *Head) statusLine(line []byte) error {
	rest, found := bytes.CutPrefix(line, []byte("HTTP/1."))
	if !found || len(rest) < len("1 200") || (rest[0] != '0' && rest[0] != '1') || rest[1] != ' ' {
		return errors.Wrapf(ErrInvalid, "status line %.64q", line)
	}
	h.minor = rest[0] - '0'
	status := 0
	for _, digit := range rest[2:5] {
		if digit < '0' || digit > '9' {
			return errors.Wrapf(ErrInvalid, "status line %.64q", line)
		}
		status = 10*status + int(digit-'0')
	}
	reason := rest[5:]
	if len(reason) > 0 && reason[0] != ' ' {
		return errors.Wrapf(ErrInvalid, "status line %.64q", line)
	}
	if err := checkStatus(status); err != nil {
		return err
	}
	return checkValue(reason)
}

// checkStatus checks that a status is one of an answer. No request here asks for another protocol.
func checkStatus(status int) error {
	if status < firstStatus || status > lastStatus || status == http.StatusSwitchingProtocols {
		return errors.Wrapf(ErrInvalid, "status %03d", status)
	}
	return nil
}

// checkValue checks the value of a field or a reason: no control but a tab.
func checkValue(value []byte) error {
	for _, b := range value {
		if (b < ' ' && b != '\t') || b == 0x7f {
			return errors.Wrapf(ErrInvalid, "a control byte in %.64q", value)
		}
	}
	return nil
}

// isToken reports whether a name is a token (RFC 9110, section 5.6.2).
func isToken(name []byte) bool {
	for _, b := range name {
		letter := 'a' <= b|0x20 && b|0x20 <= 'z'
		digit := '0' <= b && b <= '9'
		if !letter && !digit && !strings.ContainsRune("!#$%&'*+-.^_`|~", rune(b)) {
			return false
		}
	}
	return len(name) > 0
}

// CheckHead checks the status and the fields of a final answer that was parsed or decoded.
func CheckHead(status int, header http.Header) error {
	if err := checkStatus(status); err != nil {
		return err
	}
	if status < http.StatusOK {
		return errors.Wrapf(ErrInvalid, "status %d is not that of a final answer", status)
	}
	return CheckFields(header)
}

// CheckFields checks the names and values of fields.
func CheckFields(header http.Header) error {
	for name, values := range header {
		if !isToken([]byte(name)) {
			return errors.Wrapf(ErrInvalid, "the name of a field is %.64q", name)
		}
		for _, value := range values {
			if err := checkValue([]byte(value)); err != nil {
				return err
			}
		}
	}
	return nil
}
