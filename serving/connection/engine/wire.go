// Package engine is a client for model engines. Their API is the chat-completions API with
// extensions that identify attempts, resume answers and transfer KV cache.
//
// # Usage
//
//	client := engine.New(httpClient, address)
//	stream, err := client.Complete(ctx, engine.Completion{...}, engine.ProgressTimeouts{...})
//	defer stream.Close()
//	for {
//		chunk, err := stream.Next()
//	}
//
// All paths are on the engine's HTTP listener. Bodies are JSON.
package engine

// Paths of an engine.
const (
	CompletionsPath = "/v1/chat/completions" // POST Completion; server-sent events of Chunk
	CancelPath      = "/v1/cancel"           // POST Cancel
	ExportPath      = "/v1/kv/export"        // POST Export; answers Exported
	ImportPath      = "/v1/kv/import"        // POST Import; answers Imported
	EventsPath      = "/v1/cache/events"     // GET ?after=SEQUENCE; answers CacheEvents
	LoadPath        = "/v1/load"             // GET; answers Load
	OrdersPath      = "/v1/orders"           // POST Order; 409 for a stale fencing token
)

// Headers of engines and plain services.
const (
	// AttemptHeader carries the attempt's id; backend servers echo it.
	AttemptHeader = "X-Attempt-Id"
	// IncarnationHeader carries the incarnation of the backend server that answers.
	IncarnationHeader = "X-Incarnation"
)

// Message is one turn of a chat.
type Message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// Completion is a request for an answer. Without Resume the engine starts at the first token.
type Completion struct {
	Model     string    `json:"model"`
	Messages  []Message `json:"messages"`
	MaxTokens int       `json:"max_tokens"`
	Stream    bool      `json:"stream"`
	Priority  int       `json:"priority"`
	// Attempt is echoed in every chunk.
	Attempt string  `json:"attempt_id"`
	Resume  *Resume `json:"resume,omitempty"`
}

// Resume continues an answer after the tokens that were already generated.
type Resume struct {
	// Text is the text generated so far.
	Text string `json:"text"`
	// Tokens is the number of tokens in Text.
	Tokens int `json:"tokens"`
}

// Chunk is one server-sent event of an answer. The stream ends with a final chunk, which has
// FinishReason and Usage, followed by "[DONE]".
type Chunk struct {
	// ID is the attempt's id.
	ID      string   `json:"id"`
	Model   string   `json:"model"`
	Choices []Choice `json:"choices"`
	// Index is the index of the chunk's token in the whole answer, from 0. In the final chunk
	// it is the number of tokens in the whole answer.
	Index int    `json:"token_index"`
	Usage *Usage `json:"usage,omitempty"`
}

// Choice is the text of one chunk.
type Choice struct {
	Delta        Message `json:"delta"`
	FinishReason string  `json:"finish_reason,omitempty"`
}

// Usage is the token usage of one attempt.
type Usage struct {
	PromptTokens     int `json:"prompt_tokens"`
	CachedTokens     int `json:"cached_tokens"`
	CompletionTokens int `json:"completion_tokens"`
}

// Cancel cancels an attempt.
type Cancel struct {
	Attempt string `json:"attempt_id"`
}

// Export requests that the KV cache of an attempt or of a chain of blocks be prepared for
// transfer to another engine.
type Export struct {
	Attempt string   `json:"attempt_id,omitempty"`
	Blocks  []uint64 `json:"blocks,omitempty"`
}

// Exported describes an export, whose handle an Import refers to.
type Exported struct {
	Handle string `json:"handle"`
	Tokens int    `json:"tokens"`
	Bytes  int64  `json:"bytes"`
}

// Import requests that an export be fetched from another engine.
type Import struct {
	From   string `json:"from"`
	Handle string `json:"handle"`
}

// Imported is the result of an import.
type Imported struct {
	Tokens int `json:"tokens"`
}

// CacheEvent reports that a block was stored in or evicted from an engine's cache.
type CacheEvent struct {
	Sequence uint64 `json:"sequence"`
	Block    uint64 `json:"block"`
	Stored   bool   `json:"stored"`
}

// CacheEvents is a sequence of cache events. If the engine no longer retains some of the
// requested events, the first sequence number is above the requested one. Snapshot holds all
// cached blocks if the request set snapshot=true.
type CacheEvents struct {
	Incarnation uint64       `json:"incarnation"`
	Next        uint64       `json:"next"`
	Events      []CacheEvent `json:"events"`
	Snapshot    []uint64     `json:"snapshot,omitempty"`
}

// Load is an engine's load report. It may be some hundred milliseconds old.
type Load struct {
	Incarnation uint64 `json:"incarnation"`
	// AgeMS is the age of the figures in milliseconds.
	AgeMS          int64    `json:"age_ms"`
	Running        int      `json:"running"`
	Queued         int      `json:"queued"`
	PrefillTokens  int      `json:"prefill_tokens"`
	Slots          int      `json:"slots"`
	CacheTokens    int      `json:"cache_tokens"`
	CacheCapacity  int      `json:"cache_capacity"`
	Models         []string `json:"models"`
	Leaving        bool     `json:"leaving"`
	LeaveInMS      int64    `json:"leave_in_ms,omitempty"`
	PrefillPerSec  float64  `json:"prefill_tokens_per_second"`
	DecodeMS       float64  `json:"decode_ms"`
	RecomputeTotal int64    `json:"recomputed_tokens_total"`
	ComputedTotal  int64    `json:"computed_tokens_total"`
	CachedTotal    int64    `json:"cached_tokens_total"`
}

// OrderKind is the kind of an order.
type OrderKind string

// Kinds of order.
const (
	LoadModel   OrderKind = "load_model"
	UnloadModel OrderKind = "unload_model"
	LoadAdapter OrderKind = "load_adapter"
	SetRole     OrderKind = "set_role"
)

// Order changes the models, adapters or role of an engine.
type Order struct {
	Kind    OrderKind `json:"kind"`
	Model   string    `json:"model,omitempty"`
	Version string    `json:"version,omitempty"`
	Adapter string    `json:"adapter,omitempty"`
	Role    string    `json:"role,omitempty"`
	// Fencing is the fencing token of the lease under which the order was given.
	Fencing uint64 `json:"fencing"`
}
