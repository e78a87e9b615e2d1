package route

import (
	"math/bits"

	"github.com/cespare/xxhash/v2"

	"papayaport.dev/serving/request/prefix"
)

// homeBlock returns the block that names a prompt's home: the one at the largest power
// of two not above the chain's length. Prompts that share a long text and differ in
// their last part have the same home, and so have entry instances that never spoke.
func homeBlock(blocks []prefix.Block) prefix.Block {
	length := 1 << (bits.Len(uint(len(blocks))) - 1)
	return blocks[length-1]
}

// hashID returns the part of a backend server's rank that does not change.
func hashID(id string) uint64 { return xxhash.Sum64String(id) }

// rank mixes a block and a server's hash into the server's place in the block's
// rendezvous order, by the finalizer of MurmurHash3.
func rank(block prefix.Block, id uint64) uint64 {
	h := uint64(block) ^ id
	h ^= h >> 33
	h *= 0xff51afd7ed558ccd
	h ^= h >> 33
	h *= 0xc4ceb9fe1a85ec53
	h ^= h >> 33
	return h
}
