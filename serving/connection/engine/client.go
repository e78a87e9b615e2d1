package engine

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/pkg/errors"
)

// Size limits of an engine's answers.
const (
	maxEventBytes  = 256 << 10
	maxAnswerBytes = 4 << 20
)

// Errors of a stream.
var (
	// ErrTruncated means that a stream ended before the final marker "[DONE]".
	ErrTruncated = errors.New("stream ended before its final marker")
	// ErrInvalidAnswer means that an engine sent an invalid answer.
	ErrInvalidAnswer = errors.New("engine sent an invalid answer")
	// ErrNoProgress means that a stream exceeded one of its progress timeouts.
	ErrNoProgress = errors.New("engine made no progress")
	// ErrUnreachable means that no connection to the engine could be opened.
	ErrUnreachable = errors.New("engine is unreachable")
)

// RefusedError is an answer of an engine with an error status.
type RefusedError struct {
	Status int
	Detail string
	// RetryAfter is the value of the Retry-After header, empty if there is none.
	RetryAfter string
}

// Error implements error.
func (e *RefusedError) Error() string {
	return "engine answered " + strconv.Itoa(e.Status) + ": " + e.Detail
}

// Client calls one engine.
type Client struct {
	http    *http.Client
	address string
}

// New returns a client for the engine at a base URL such as "http://10.0.0.1:8000".
func New(httpClient *http.Client, address string) *Client {
	return &Client{http: httpClient, address: address}
}

// Stream is the stream of an attempt's chunks.
type Stream struct {
	body   io.ReadCloser
	reader *bufio.Reader
	cancel context.CancelFunc
	// timer cancels the stream when no chunk arrives in time.
	timer           *time.Timer
	timedOut        chan struct{}
	once            sync.Once
	tokenGapTimeout time.Duration
	// Incarnation is the engine's incarnation according to its answer, 0 if not stated.
	Incarnation uint64
}

// ProgressTimeouts holds the timeouts for the first chunk and between two chunks of a stream.
type ProgressTimeouts struct {
	FirstChunk    time.Duration
	BetweenChunks time.Duration
}

// Complete requests an answer as a stream. The stream fails if the engine exceeds one of
// the timeouts of progress.
func (c *Client) Complete(ctx context.Context, completion Completion, progress ProgressTimeouts) (*Stream, error) {
	completion.Stream = true
	body, err := json.Marshal(completion)
	if err != nil {
		return nil, errors.Wrap(err, "encode completion")
	}
	ctx, cancel := context.WithCancel(ctx)
	s := &Stream{cancel: cancel, timedOut: make(chan struct{}), tokenGapTimeout: progress.BetweenChunks}
	s.timer = time.AfterFunc(progress.FirstChunk, s.timeOut)
	response, err := c.post(ctx, CompletionsPath, completion.Attempt, body)
	if err != nil {
		s.stop()
		return nil, s.timeoutOr(err)
	}
	if response.StatusCode != http.StatusOK {
		defer s.stop()
		return nil, newRefusedError(response)
	}
	s.Incarnation, _ = strconv.ParseUint(response.Header.Get(IncarnationHeader), 10, 64)
	s.body = response.Body
	s.reader = bufio.NewReaderSize(response.Body, 4<<10)
	return s, nil
}

func (c *Client) post(ctx context.Context, path, attempt string, body []byte) (*http.Response, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, c.address+path, bytes.NewReader(body))
	if err != nil {
		return nil, errors.Wrap(err, "make request")
	}
	request.Header.Set("Content-Type", "application/json")
	if attempt != "" {
		request.Header.Set(AttemptHeader, attempt)
	}
	response, err := c.http.Do(request)
	return response, errors.Wrap(err, "send to engine")
}

func newRefusedError(response *http.Response) error {
	defer response.Body.Close()
	detail, _ := io.ReadAll(io.LimitReader(response.Body, 512))
	return &RefusedError{
		Status: response.StatusCode, Detail: string(bytes.TrimSpace(detail)), RetryAfter: response.Header.Get("Retry-After"),
	}
}

func (s *Stream) timeOut() {
	s.once.Do(func() { close(s.timedOut) })
	s.cancel()
}

func (s *Stream) stop() {
	s.timer.Stop()
	s.cancel()
}

// Close ends the attempt. The engine cancels it when the connection closes.
func (s *Stream) Close() {
	s.stop()
	_ = s.body.Close()
}

func (s *Stream) timeoutOr(err error) error {
	select {
	case <-s.timedOut:
		return ErrNoProgress
	default:
		return err
	}
}

// Next returns the next chunk, and io.EOF after the final marker "[DONE]".
func (s *Stream) Next() (Chunk, error) {
	for {
		data, err := s.nextData()
		if err != nil {
			return Chunk{}, err
		}
		if data == nil {
			continue
		}
		s.timer.Reset(s.tokenGapTimeout)
		return decode(data)
	}
}

func (s *Stream) nextData() ([]byte, error) {
	line, err := s.reader.ReadSlice('\n')
	if errors.Is(err, bufio.ErrBufferFull) {
		line, err = s.longLine(line)
	}
	if errors.Is(err, ErrInvalidAnswer) {
		return nil, err
	}
	if err != nil {
		return nil, s.timeoutOr(errors.Wrap(ErrTruncated, err.Error()))
	}
	data, found := bytes.CutPrefix(line, []byte("data:"))
	if !found {
		return nil, nil
	}
	return bytes.TrimSpace(data), nil
}

func (s *Stream) longLine(start []byte) ([]byte, error) {
	line := append([]byte(nil), start...)
	for {
		more, err := s.reader.ReadSlice('\n')
		line = append(line, more...)
		if len(line) > maxEventBytes {
			return nil, errors.Wrap(ErrInvalidAnswer, "event over the limit")
		}
		if !errors.Is(err, bufio.ErrBufferFull) {
			return line, err
		}
	}
}

func decode(data []byte) (Chunk, error) {
	if string(data) == "[DONE]" {
		return Chunk{}, io.EOF
	}
	var chunk Chunk
	if err := json.Unmarshal(data, &chunk); err != nil {
		return Chunk{}, errors.Wrap(ErrInvalidAnswer, err.Error())
	}
	if len(chunk.Choices) != 1 {
		return Chunk{}, errors.Wrap(ErrInvalidAnswer, "chunk without a choice")
	}
	return chunk, nil
}

// Load fetches the engine's load report.
func (c *Client) Load(ctx context.Context) (Load, error) {
	var load Load
	err := c.get(ctx, LoadPath, &load)
	return load, err
}

// Events fetches the cache events after a sequence number and, with snapshot, all cached
// blocks.
func (c *Client) Events(ctx context.Context, after uint64, snapshot bool) (CacheEvents, error) {
	var events CacheEvents
	path := EventsPath + "?after=" + strconv.FormatUint(after, 10)
	if snapshot {
		path += "&snapshot=true"
	}
	err := c.get(ctx, path, &events)
	return events, err
}

// Export prepares KV cache for transfer to another engine.
func (c *Client) Export(ctx context.Context, export Export) (Exported, error) {
	var exported Exported
	err := c.call(ctx, ExportPath, export, &exported)
	return exported, err
}

// Import makes the engine fetch an export from another engine.
func (c *Client) Import(ctx context.Context, order Import) (Imported, error) {
	var imported Imported
	err := c.call(ctx, ImportPath, order, &imported)
	return imported, err
}

// Order changes the models, adapters or role of the engine.
func (c *Client) Order(ctx context.Context, order Order) error {
	return c.call(ctx, OrdersPath, order, nil)
}

func (c *Client) get(ctx context.Context, path string, answer any) error {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, c.address+path, nil)
	if err != nil {
		return errors.Wrap(err, "make request")
	}
	response, err := c.http.Do(request)
	if err != nil {
		return errors.Wrap(err, "query engine")
	}
	return readAnswer(response, answer)
}

func (c *Client) call(ctx context.Context, path string, question, answer any) error {
	body, err := json.Marshal(question)
	if err != nil {
		return errors.Wrap(err, "encode")
	}
	response, err := c.post(ctx, path, "", body)
	if err != nil {
		return err
	}
	return readAnswer(response, answer)
}

func readAnswer(response *http.Response, answer any) error {
	if response.StatusCode >= http.StatusMultipleChoices {
		return newRefusedError(response)
	}
	defer response.Body.Close()
	if answer == nil {
		_, err := io.Copy(io.Discard, io.LimitReader(response.Body, maxAnswerBytes))
		return errors.Wrap(err, "read answer")
	}
	err := json.NewDecoder(io.LimitReader(response.Body, maxAnswerBytes)).Decode(answer)
	return errors.Wrap(err, "decode answer")
}
