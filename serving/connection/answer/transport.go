package answer

import (
	"context"
	"io"
	"net/http"
	"net/http/httptrace"
	"sync"

	"github.com/pkg/errors"
)

// Transport passes only valid answers on, and ends a body with io.EOF only if it is whole.
type Transport struct{ base http.RoundTripper }

// NewTransport returns a transport that checks the answers of base.
func NewTransport(base http.RoundTripper) *Transport { return &Transport{base} }

// RoundTrip implements http.RoundTripper.
func (t *Transport) RoundTrip(request *http.Request) (*http.Response, error) {
	w := &writing{done: make(chan struct{})}
	trace := &httptrace.ClientTrace{WroteRequest: func(info httptrace.WroteRequestInfo) { w.end(info.Err) }}
	response, err := t.base.RoundTrip(request.WithContext(httptrace.WithClientTrace(request.Context(), trace)))
	if err != nil {
		return nil, err
	}
	if err := CheckHead(response.StatusCode, response.Header); err != nil {
		_ = response.Body.Close() // the answer is not used
		return nil, err
	}
	response.Body = &body{ReadCloser: response.Body, request: request, response: response, writing: w}
	return response, nil
}

// CloseIdleConnections closes the idle connections of the transport below.
func (t *Transport) CloseIdleConnections() {
	if closer, ok := t.base.(interface{ CloseIdleConnections() }); ok {
		closer.CloseIdleConnections()
	}
}

// writing is the write of a request. When net/http sends a request again, the last write counts.
type writing struct {
	once sync.Once
	done chan struct{}
	mu   sync.Mutex
	err  error
}

func (w *writing) end(err error) {
	w.mu.Lock()
	w.err = err
	w.mu.Unlock()
	w.once.Do(func() { close(w.done) })
}

// wait returns the error of the write once it has ended.
func (w *writing) wait(ctx context.Context) error {
	select {
	case <-w.done:
	case <-ctx.Done():
		return context.Cause(ctx)
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.err
}

// body is the body of an answer.
type body struct {
	io.ReadCloser
	request  *http.Request
	response *http.Response
	writing  *writing
}

// Read implements io.Reader.
func (b *body) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err != io.EOF { //nolint:errorlint // as io.Reader requires
		return n, err
	}
	if err := CheckFields(b.response.Trailer); err != nil {
		return n, err
	}
	endsWithConnection := b.response.ContentLength < 0 && len(b.response.TransferEncoding) == 0
	if !endsWithConnection || b.request.Body == nil || b.request.Body == http.NoBody {
		return n, io.EOF
	}
	// A reset that the write received is not seen by the read, which ends as if the answer were whole.
	if err := b.writing.wait(b.request.Context()); err != nil {
		return n, errors.Wrapf(io.ErrUnexpectedEOF, "the connection ended before the request was written: %v", err)
	}
	return n, io.EOF
}
