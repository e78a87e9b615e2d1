// Package prefix cuts prompts into fixed blocks and names every prefix by a hash,
// so that entry instances and model engines speak of the same cached work.
//
// # Usage
//
//	chain := prefix.Blocks(prompt)
//	// chain[i] names the first (i+1)*prefix.BlockBytes bytes of the prompt
package prefix

import "github.com/cespare/xxhash/v2"

// BlockBytes is the length of one block in bytes.
const BlockBytes = 512

// BytesPerToken is the mean length of a token in bytes.
const BytesPerToken = 4

// BlockTokens is the length of one block in tokens.
const BlockTokens = BlockBytes / BytesPerToken

// Block names a prefix of a prompt that ends on a block border.
type Block uint64

// Blocks returns the names of all whole-block prefixes of a prompt, shortest first.
func Blocks(prompt string) []Block {
	chain := make([]Block, 0, len(prompt)/BlockBytes)
	digest := xxhash.New()
	for end := BlockBytes; end <= len(prompt); end += BlockBytes {
		_, _ = digest.WriteString(prompt[end-BlockBytes : end])
		chain = append(chain, Block(digest.Sum64()))
	}
	return chain
}

// Tokens estimates the tokens in a text of the given length in bytes.
func Tokens(bytes int) int { return (bytes + BytesPerToken - 1) / BytesPerToken }
