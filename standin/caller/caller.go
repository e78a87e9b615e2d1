// Package caller is a client of papayaport's listener for callers: chats as streams that can be
// resumed after an interruption, and calls of plain services. Apart from Persist it never retries a
// request.
//
// # Usage
//
//	c := caller.New(httpClient, "http://127.0.0.1:8000", key)
//	answer, err := c.Chat(ctx, caller.Chat{Service: "farewell-llm", Messages: messages, MaxTokens: 64})
//	reply, err := c.Call(ctx, caller.Call{Method: "POST", Path: "/arrangements-app/bookings", Key: key})
package caller

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/pkg/errors"

	wire "papayaport.dev/serving/connection/engine"
	"papayaport.dev/serving/process/problem"
)

// Header fields of requests.
const (
	keyHeader         = "Idempotency-Key"
	lastEventIDHeader = "Last-Event-ID"
)

// maxEventBytes is the maximum size of a server-sent event or reply, in bytes.
const maxEventBytes = 1 << 20

// ErrTruncated is the error of a stream that ended before its final marker.
var ErrTruncated = errors.New("stream ended before its final marker")

// Refusal is the error of a request that was answered with a problem document.
type Refusal struct{ problem.Document }

// Error implements error.
func (r *Refusal) Error() string {
	return strconv.Itoa(r.Status) + " " + string(r.Kind) + " (" + string(r.Outcome) + "): " + r.Detail
}

// Client sends requests of one client account to one address.
type Client struct {
	http    *http.Client
	address string
	key     string
}

// New returns a client for a base URL and a client account's key.
func New(httpClient *http.Client, address, key string) *Client {
	return &Client{http: httpClient, address: address, key: key}
}

// Chat is a request to a model service.
type Chat struct {
	Service   string
	Messages  []wire.Message
	MaxTokens int
	// RequestID is the id by which the request can be resumed; if empty, the entry assigns one.
	RequestID string
	// LastEventID resumes the stream after the event with this id.
	LastEventID string
	// Token, if not nil, is called for every received token.
	Token func(index int, text string)
}

// Answer is a streamed answer.
type Answer struct {
	// Text is the received text, and Tokens the number of its tokens.
	Text   string
	Tokens int
	// LastEventID is the id of the last received event.
	LastEventID string
	RequestID   string
	// FirstToken is the time to the first token, Longest the longest time between two tokens, and
	// Total the time to the end of the stream.
	FirstToken, LongestGap, Total time.Duration
	// Usage is set if the answer is complete.
	Usage *wire.Usage
}

// body is the request body of a chat.
type body struct {
	Model     string         `json:"model"`
	Messages  []wire.Message `json:"messages"`
	MaxTokens int            `json:"max_tokens"`
	Stream    bool           `json:"stream"`
}

// Chat sends a chat and reads its whole stream. With an error it returns the answer received so
// far.
func (c *Client) Chat(ctx context.Context, chat Chat) (Answer, error) {
	began := time.Now()
	resp, err := c.openStream(ctx, chat)
	if err != nil {
		return Answer{}, err
	}
	defer resp.Body.Close()
	answer := Answer{RequestID: resp.Header.Get(RequestIDHeader), LastEventID: chat.LastEventID}
	err = answer.read(resp.Body, began, chat.Token)
	answer.Total = time.Since(began)
	return answer, err
}

func (c *Client) openStream(ctx context.Context, chat Chat) (*http.Response, error) {
	data, err := json.Marshal(body{Model: chat.Service, Messages: chat.Messages, MaxTokens: chat.MaxTokens, Stream: true})
	if err != nil {
		return nil, errors.Wrap(err, "encoding a chat")
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, c.address+wire.CompletionsPath, bytes.NewReader(data))
	if err != nil {
		return nil, errors.Wrap(err, "creating a chat request")
	}
	req.Header.Set("Content-Type", "application/json")
	setHeader(req, RequestIDHeader, chat.RequestID)
	setHeader(req, lastEventIDHeader, chat.LastEventID)
	resp, err := c.send(req)
	if err != nil {
		return nil, err
	}
	if resp.StatusCode != http.StatusOK {
		defer resp.Body.Close()
		return nil, refusal(resp)
	}
	return resp, nil
}

func setHeader(req *http.Request, name, value string) {
	if value != "" {
		req.Header.Set(name, value)
	}
}

func (c *Client) send(req *http.Request) (*http.Response, error) {
	req.GetBody = nil // prevents retries by net/http
	req.Header.Set("Authorization", "Bearer "+c.key)
	resp, err := c.http.Do(req)
	return resp, errors.Wrap(err, "sending a request")
}

func refusal(resp *http.Response) error {
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxEventBytes))
	if err != nil {
		return errors.Wrap(err, "reading a problem document")
	}
	r := &Refusal{}
	if err := json.Unmarshal(data, &r.Document); err != nil || r.Kind == "" {
		return errors.Errorf("status %d without a problem document: %s", resp.StatusCode, data)
	}
	return r
}

// Call is a request to a plain service.
type Call struct {
	Method string
	// Path begins with "/SERVICE".
	Path string
	// Key is the Idempotency-Key; empty for none.
	Key  string
	Body []byte
}

// Reply is the answer of a plain service.
type Reply struct {
	Status int
	Header http.Header
	Body   []byte
}

// Call sends one request. If the answer is a problem document of papayaport, the error is a
// *Refusal.
func (c *Client) Call(ctx context.Context, call Call) (Reply, error) {
	req, err := http.NewRequestWithContext(ctx, call.Method, c.address+call.Path, bytes.NewReader(call.Body))
	if err != nil {
		return Reply{}, errors.Wrap(err, "creating a request")
	}
	if len(call.Body) > 0 {
		req.Header.Set("Content-Type", "application/json")
	}
	setHeader(req, keyHeader, call.Key)
	resp, err := c.send(req)
	if err != nil {
		return Reply{}, err
	}
	defer resp.Body.Close()
	if resp.Header.Get("Content-Type") == problem.MediaType {
		return Reply{}, refusal(resp)
	}
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxEventBytes))
	if err != nil {
		return Reply{}, errors.Wrap(err, "reading a reply")
	}
	return Reply{Status: resp.StatusCode, Header: resp.Header, Body: data}, nil
}
