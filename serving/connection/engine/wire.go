// Package engine speaks with model engines: the chat-completions request with the
// extensions that name attempts, resume streams and move KV cache.
//
// # Usage
//
//	client := engine.New(httpClient)
//	stream, err := client.Complete(ctx, address, engine.Completion{...})
//	for {
//		piece, err := stream.Next()
//	}
//
// Every path below is a path of the engine's HTTP listener. Bodies are JSON.
package engine

// Paths of an engine.
const (
	CompletionsPath = "/v1/chat/completions" // POST Completion; server-sent events of Chunk
	CancelPath      = "/v1/cancel"           // POST Cancel
	ExportPath      = "/v1/kv/export"        // POST Export; answers Exported
	ImportPath      = "/v1/kv/import"        // POST Import; answers Imported
	EventsPath      = "/v1/cache/events"     // GET ?after=SEQUENCE; answers CacheEvents
	LoadPath        = "/v1/load"             // GET; answers Load
	OrdersPath      = "/v1/orders"           // POST Order; 409 for a stale fencing number
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

// Completion asks for an answer. Without Resume the engine starts at the first token.
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

// Resume continues an answer behind tokens that were already generated.
type Resume struct {
	// Text is what was generated so far.
	Text string `json:"text"`
	// Tokens is the number of tokens in Text.
	Tokens int `json:"tokens"`
}

// Chunk is one server-sent event of an answer. The stream ends with a chunk that has
// FinishReason and Usage, and then "[DONE]".
type Chunk struct {
	// ID is the attempt's id.
	ID      string   `json:"id"`
	Model   string   `json:"model"`
	Choices []Choice `json:"choices"`
	// Index is the number of the chunk's token in the whole answer, from 0; the final
	// chunk carries the number of tokens in the whole answer.
	Index int    `json:"token_index"`
	Usage *Usage `json:"usage,omitempty"`
}

// Choice is the text of one chunk.
type Choice struct {
	Delta        Message `json:"delta"`
	FinishReason string  `json:"finish_reason,omitempty"`
}

// Usage counts the work of one attempt in tokens.
type Usage struct {
	PromptTokens     int `json:"prompt_tokens"`
	CachedTokens     int `json:"cached_tokens"`
	CompletionTokens int `json:"completion_tokens"`
}

// Cancel ends an attempt.
type Cancel struct {
	Attempt string `json:"attempt_id"`
}

// Export makes the KV cache of prefixes ready for another engine.
type Export struct {
	Attempt string   `json:"attempt_id,omitempty"`
	Blocks  []uint64 `json:"blocks,omitempty"`
}

// Exported names an export.
type Exported struct {
	Handle string `json:"handle"`
	Tokens int    `json:"tokens"`
	Bytes  int64  `json:"bytes"`
}

// Import fetches an export from another engine.
type Import struct {
	From   string `json:"from"`
	Handle string `json:"handle"`
}

// Imported tells what an import brought.
type Imported struct {
	Tokens int `json:"tokens"`
}

// CacheEvent tells that a prefix entered or left an engine's cache.
type CacheEvent struct {
	Sequence uint64 `json:"sequence"`
	Block    uint64 `json:"block"`
	Stored   bool   `json:"stored"`
}

// CacheEvents is a run of events. Events that the engine no longer holds are missing:
// the first sequence is then above the one asked for. Snapshot holds all cached blocks
// when the call asked for it with snapshot=true.
type CacheEvents struct {
	Incarnation uint64       `json:"incarnation"`
	Next        uint64       `json:"next"`
	Events      []CacheEvent `json:"events"`
	Snapshot    []uint64     `json:"snapshot,omitempty"`
}

// Load is an engine's report on itself. It may be some hundred milliseconds old.
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

// OrderKind names what an order changes.
type OrderKind string

// Kinds of order.
const (
	LoadModel   OrderKind = "load_model"
	UnloadModel OrderKind = "unload_model"
	LoadAdapter OrderKind = "load_adapter"
	SetRole     OrderKind = "set_role"
)

// Order changes what an engine serves.
type Order struct {
	Kind    OrderKind `json:"kind"`
	Model   string    `json:"model,omitempty"`
	Version string    `json:"version,omitempty"`
	Adapter string    `json:"adapter,omitempty"`
	Role    string    `json:"role,omitempty"`
	// Fencing is the fencing number of the lease under which the order was given.
	Fencing uint64 `json:"fencing"`
}
