package crowd

import (
	"fmt"
	"io"
	"net"
	"strings"
)

// Request is the head of the requests of a crowd.
type Request struct {
	Method, Path, Host string
	// Fields are further lines of the head, each with CRLF.
	Fields string
}

func (r Request) line() string {
	return fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\n%s", r.Method, r.Path, r.Host, r.Fields)
}

// pieceBytes is the size of the pieces in which clients write.
const pieceBytes = 16 << 10

// write writes text in pieces and reports whether all of it was written. A string of many megabytes is not
// copied as a whole for each connection.
func write(conn net.Conn, text string) bool {
	for len(text) > 0 {
		n := min(len(text), pieceBytes)
		if _, err := io.WriteString(conn, text[:n]); err != nil {
			return false
		}
		text = text[n:]
	}
	return true
}

// repeat writes a piece repeatedly, at most a number of bytes, and reports whether all were written.
func repeat(conn net.Conn, piece string, bytes int) bool {
	block := []byte(strings.Repeat(piece, max(pieceBytes/len(piece), 1)))
	for ; bytes > 0; bytes -= len(block) {
		if _, err := conn.Write(block[:min(len(block), bytes)]); err != nil {
			return false
		}
	}
	return true
}

// Idle sends nothing.
func Idle() Client { return func(net.Conn, int) {} }

// IdleAfterRequest sends a request and then nothing.
func IdleAfterRequest(request Request) Client {
	return func(conn net.Conn, _ int) { write(conn, request.line()+"\r\n") }
}

// BlankLines sends a number of bytes of blank lines.
func BlankLines(bytes int) Client {
	return func(conn net.Conn, _ int) { repeat(conn, "\r\n", bytes) }
}

// LongHeader sends a head with one field of a number of bytes, and does not end it.
func LongHeader(request Request, bytes int) Client {
	return func(conn net.Conn, _ int) { _ = write(conn, request.line()+"X-Long: ") && repeat(conn, "x", bytes) }
}

// ManyFields sends a head of a number of bytes with fields that are as short as possible, and does not
// end it.
func ManyFields(request Request, bytes int) Client {
	fields := shortFields(bytes)
	return func(conn net.Conn, _ int) { _ = write(conn, request.line()) && write(conn, fields) }
}

// ManyFieldsInFlight sends a whole head of many fields, and a body that never ends.
func ManyFieldsInFlight(request Request, bytes int) Client {
	request.Fields += shortFields(bytes)
	return func(conn net.Conn, _ int) { write(conn, request.line()+"Content-Length: 2\r\n\r\nx") }
}

// shortFields returns about a number of bytes of distinct fields.
func shortFields(bytes int) string {
	var fields strings.Builder
	for number := 0; fields.Len() < bytes; number++ {
		fmt.Fprintf(&fields, "%x:\r\n", number)
	}
	return fields.String()
}

// Body sends a request with a body of an announced length, of which some bytes at the end are missing.
func Body(request Request, length, missing int) Client {
	return func(conn net.Conn, _ int) {
		_ = write(conn, fmt.Sprintf("%sContent-Length: %d\r\n\r\n", request.line(), length)) && repeat(conn, "x", length-missing)
	}
}

// Chunks sends a request with a body of about a number of bytes in chunks of a size, without the last
// chunk, or with it if whole is set.
func Chunks(request Request, length, chunk int, whole bool) Client {
	one := fmt.Sprintf("%x\r\n%s\r\n", chunk, strings.Repeat("x", chunk))
	body := strings.Repeat(one, length/chunk)
	return func(conn net.Conn, _ int) {
		if write(conn, request.line()+"Transfer-Encoding: chunked\r\n\r\n") && write(conn, body) && whole {
			write(conn, "0\r\n\r\n")
		}
	}
}

// Trailer sends a chunked body with a trailer of short fields, and does not end it.
func Trailer(request Request, bytes int) Client {
	fields := shortFields(bytes)
	return func(conn net.Conn, _ int) {
		write(conn, request.line()+"Transfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\n"+fields)
	}
}

// Extensions sends a chunked body whose chunks have long extensions, and does not end it.
func Extensions(request Request, bytes int) Client {
	chunk := "1;" + strings.Repeat("e", 1000) + "\r\nx\r\n"
	return func(conn net.Conn, _ int) {
		_ = write(conn, request.line()+"Transfer-Encoding: chunked\r\n\r\n") && repeat(conn, chunk, bytes)
	}
}

// Pipeline sends a number of bytes of further requests behind a request that is still being served.
func Pipeline(request Request, bytes int) Client {
	one := request.line() + "\r\n"
	return func(conn net.Conn, _ int) { _ = write(conn, one) && repeat(conn, one, bytes) }
}

// Raw sends bytes.
func Raw(bytes []byte) Client {
	return func(conn net.Conn, _ int) {
		// The connection may have been closed meanwhile.
		_, _ = conn.Write(bytes)
	}
}
