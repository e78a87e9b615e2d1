package route

import (
	"math/bits"

	"github.com/cespare/xxhash/v2"

	"papayaport.dev/serving/request/prefix"
)

// homeBlock returns the block that determines a prompt's home: the one at the largest power of two
// that is not above the chain's length. Prompts that share a long prefix and differ in their last
// part thus have the same home, at all entry instances and without communication.
func homeBlock(blocks []prefix.Block) prefix.Block {
	length := 1 << (bits.Len(uint(len(blocks))) - 1)
	return blocks[length-1]
}

// hashID returns the hash of a backend server's id, the constant part of its rank.
func hashID(id string) uint64 { return xxhash.Sum64String(id) }

// rank combines a block and a server's id hash into the server's rank in the block's rendezvous
// order, with the finalizer of MurmurHash3.
func rank(block prefix.Block, id uint64) uint64 {
	h := uint64(block) ^ id
	h ^= h >> 33
	h *= 0xff51afd7ed558ccd
	h ^= h >> 33
	h *= 0xc4ceb9fe1a85ec53
	h ^= h >> 33
	return h
}
