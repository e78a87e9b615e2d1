package engine

import (
	"github.com/cespare/xxhash/v2"
	"github.com/hashicorp/golang-lru/v2/simplelru"

	wire "papayaport.dev/serving/connection/engine"
	"papayaport.dev/serving/request/prefix"
)

// maxComputed is the number of computed blocks that are remembered after eviction.
const maxComputed = 1 << 17

// cache is an LRU prefix cache that evicts longer prefixes first. The remainder of a text after
// its last whole block is stored as a tail of that block.
type cache struct {
	// size is the largest number of blocks.
	size   int
	blocks *simplelru.LRU[prefix.Block, tail]
	// computed holds the blocks that were computed before, cached or not.
	computed *simplelru.LRU[prefix.Block, struct{}]
	// onChange is called for every block that is stored or evicted.
	onChange func(block prefix.Block, stored bool)
}

// tail identifies the text that ends after a block by its whole length and hash; without one,
// bytes is 0.
type tail struct {
	bytes int
	hash  uint64
}

func newCache(tokens int, onChange func(prefix.Block, bool)) *cache {
	c := &cache{size: max(1, tokens/prefix.BlockTokens), onChange: onChange}
	c.blocks, _ = simplelru.NewLRU(c.size, func(block prefix.Block, _ tail) { onChange(block, false) })
	c.computed, _ = simplelru.NewLRU[prefix.Block, struct{}](maxComputed, nil)
	return c
}

// lookup returns the number of leading tokens of a text that are cached, and marks their blocks
// as used.
func (c *cache) lookup(text string) int {
	cached := c.cachedPrefix(prefix.Blocks(text))
	if len(cached) == 0 {
		return 0
	}
	for i := len(cached) - 1; i >= 0; i-- {
		c.blocks.Get(cached[i])
	}
	t, _ := c.blocks.Peek(cached[len(cached)-1])
	if t.bytes > 0 && t.bytes <= len(text) && xxhash.Sum64String(text[:t.bytes]) == t.hash {
		return prefix.Tokens(t.bytes)
	}
	return len(cached) * prefix.BlockTokens
}

// cachedPrefix returns the longest cached prefix of a chain.
func (c *cache) cachedPrefix(chain []prefix.Block) []prefix.Block {
	for i, block := range chain {
		if !c.blocks.Contains(block) {
			return chain[:i]
		}
	}
	return chain
}

// computedBefore returns how many of the tokens after the first cached ones were computed
// before.
func (c *cache) computedBefore(text string, cached int) int {
	tokens := 0
	for i, block := range prefix.Blocks(text) {
		if c.computed.Contains(block) {
			tokens = (i+1)*prefix.BlockTokens - cached
		}
	}
	return max(0, tokens)
}

// insert caches a computed text.
func (c *cache) insert(text string) {
	chain := prefix.Blocks(text)
	t := tail{bytes: len(text), hash: xxhash.Sum64String(text)}
	c.store(chain, t)
	for _, block := range chain {
		c.computed.Add(block, struct{}{})
	}
}

// store adds a chain from its end to its start, so that its start is the most recently used.
func (c *cache) store(chain []prefix.Block, t tail) {
	if len(chain) > c.size {
		chain, t = chain[:c.size], tail{}
	}
	for i := len(chain) - 1; i >= 0; i-- {
		previous, found := c.blocks.Get(chain[i])
		if i == len(chain)-1 {
			previous = t
		}
		c.blocks.Add(chain[i], previous)
		if !found {
			c.onChange(chain[i], true)
		}
	}
}

func (c *cache) tokens() int { return c.blocks.Len() * prefix.BlockTokens }

func (c *cache) snapshot() []uint64 {
	keys := c.blocks.Keys()
	names := make([]uint64, len(keys))
	for i, key := range keys {
		names[i] = uint64(key)
	}
	return names
}

// Transfer is the content of a KV cache export.
type Transfer struct {
	Blocks    []uint64 `json:"blocks"`
	TailBytes int      `json:"tail_bytes"`
	TailHash  uint64   `json:"tail_hash"`
	Tokens    int      `json:"tokens"`
	Bytes     int64    `json:"bytes"`
}

// transfer returns the longest cached prefix of a chain as the content of an export.
func (c *cache) transfer(chain []prefix.Block, bytesPerToken int64) Transfer {
	cachedPrefix := c.cachedPrefix(chain)
	t := Transfer{Tokens: len(cachedPrefix) * prefix.BlockTokens}
	if len(cachedPrefix) > 0 {
		last, _ := c.blocks.Peek(cachedPrefix[len(cachedPrefix)-1])
		t.TailBytes, t.TailHash = last.bytes, last.hash
		t.Tokens = max(t.Tokens, prefix.Tokens(last.bytes))
	}
	for _, block := range cachedPrefix {
		t.Blocks = append(t.Blocks, uint64(block))
	}
	t.Bytes = int64(t.Tokens) * bytesPerToken
	return t
}

// importTransfer caches the content of another engine's export.
func (c *cache) importTransfer(t Transfer) wire.Imported {
	chain := make([]prefix.Block, len(t.Blocks))
	for i, block := range t.Blocks {
		chain[i] = prefix.Block(block)
	}
	c.store(chain, tail{bytes: t.TailBytes, hash: t.TailHash})
	return wire.Imported{Tokens: t.Tokens}
}
