// Package prefix splits prompts into blocks of fixed length and identifies every prefix by a hash,
// so that entry instances and model engines use the same identifiers for cached prefixes.
//
// # Usage
//
//	chain := prefix.Blocks(prompt)
//	// chain[i] identifies the first (i+1)*prefix.BlockBytes bytes of the prompt
package prefix

import "github.com/cespare/xxhash/v2"

// BlockBytes is the length of one block in bytes.
const BlockBytes = 512

// BytesPerToken is the assumed mean length of a token in bytes.
const BytesPerToken = 4

// BlockTokens is the length of one block in tokens.
const BlockTokens = BlockBytes / BytesPerToken

// Block is the hash of a prompt's prefix that ends at a block boundary.
type Block uint64

// Blocks returns the hashes of all prefixes of a prompt that consist of whole blocks, shortest
// first.
func Blocks(prompt string) []Block {
	chain := make([]Block, 0, len(prompt)/BlockBytes)
	digest := xxhash.New()
	for end := BlockBytes; end <= len(prompt); end += BlockBytes {
		_, _ = digest.WriteString(prompt[end-BlockBytes : end])
		chain = append(chain, Block(digest.Sum64()))
	}
	return chain
}

// Tokens estimates the number of tokens in a text of the given length in bytes.
func Tokens(bytes int) int { return (bytes + BytesPerToken - 1) / BytesPerToken }
