package route

import (
	"math/bits"

	"github.com/hashicorp/golang-lru/v2/simplelru"

	"papayaport.dev/serving/request/prefix"
)

// maxBlocks limits the number of indexed blocks of one service.
const maxBlocks = 1 << 17

const wordBits = 64

// cacheIndex records which backend servers of one service have which blocks cached. Every block has
// a bitmap row with one bit for each server's column. The least recently used block is evicted when
// the index is full.
type cacheIndex struct {
	rows *simplelru.LRU[prefix.Block, uint32]
	free []uint32
	// words holds the rows consecutively, stride words each.
	words  []uint64
	stride int
	// counts holds the number of blocks by column.
	counts []int
	// scratch and depths are scratch space of depth.
	scratch []uint64
	depths  []int32
}

// newCacheIndex returns an empty index of at most limit blocks.
func newCacheIndex(limit int) *cacheIndex {
	k := &cacheIndex{stride: 1}
	rows, err := simplelru.NewLRU(limit, k.releaseRow)
	if err != nil {
		panic(err) // the limit is a positive constant
	}
	k.rows = rows
	k.grow(1)
	return k
}

// grow adds columns up to the given number.
func (k *cacheIndex) grow(columns int) {
	for len(k.counts) < columns {
		k.counts = append(k.counts, 0)
		k.depths = append(k.depths, 0)
	}
	stride := (columns + wordBits - 1) / wordBits
	if stride <= k.stride && len(k.scratch) > 0 {
		return
	}
	words := make([]uint64, len(k.words)/k.stride*stride)
	for row := 0; row < len(k.words)/k.stride; row++ {
		copy(words[row*stride:], k.words[row*k.stride:(row+1)*k.stride])
	}
	k.words, k.stride = words, stride
	k.scratch = make([]uint64, stride)
}

// row returns the bitmap of a row.
func (k *cacheIndex) row(index uint32) []uint64 {
	start := int(index) * k.stride
	return k.words[start : start+k.stride]
}

// releaseRow clears and frees the row of an evicted block.
func (k *cacheIndex) releaseRow(_ prefix.Block, index uint32) {
	row := k.row(index)
	for w, word := range row {
		for ; word != 0; word &= word - 1 {
			k.counts[w*wordBits+bits.TrailingZeros64(word)]--
		}
		row[w] = 0
	}
	k.free = append(k.free, index)
}

// store records that the server in the column has the block cached.
func (k *cacheIndex) store(block prefix.Block, column int) {
	index, ok := k.rows.Get(block)
	if !ok {
		index = k.allocateRow(block)
	}
	word, bit := &k.row(index)[column/wordBits], uint64(1)<<(column%wordBits)
	if *word&bit == 0 {
		*word |= bit
		k.counts[column]++
	}
}

// allocateRow assigns a row to a new block.
func (k *cacheIndex) allocateRow(block prefix.Block) uint32 {
	var index uint32
	if last := len(k.free) - 1; last >= 0 {
		index = k.free[last]
		k.free = k.free[:last]
	} else {
		index = uint32(len(k.words) / k.stride)
		for range k.stride {
			k.words = append(k.words, 0)
		}
	}
	k.rows.Add(block, index)
	return index
}

// storeChain records that the server in the column has a whole chain cached. Shorter prefixes are
// marked as used more recently, so that a chain is evicted from its end.
func (k *cacheIndex) storeChain(blocks []prefix.Block, column int) {
	for i := len(blocks) - 1; i >= 0; i-- {
		k.store(blocks[i], column)
	}
}

// remove records that the server in the column no longer has the block cached.
func (k *cacheIndex) remove(block prefix.Block, column int) {
	index, ok := k.rows.Peek(block)
	if !ok {
		return
	}
	row := k.row(index)
	bit := uint64(1) << (column % wordBits)
	if row[column/wordBits]&bit == 0 {
		return
	}
	row[column/wordBits] &^= bit
	k.counts[column]--
	for _, word := range row {
		if word != 0 {
			return
		}
	}
	k.rows.Remove(block)
}

// clear removes all blocks of one column.
func (k *cacheIndex) clear(column int) {
	word, bit := column/wordBits, uint64(1)<<(column%wordBits)
	for at := word; at < len(k.words); at += k.stride {
		k.words[at] &^= bit
	}
	k.counts[column] = 0
}

// depth returns for every column the number of consecutive blocks from the start of the chain that
// the server has cached. The slice is valid until the next call.
func (k *cacheIndex) depth(blocks []prefix.Block) []int32 {
	clear(k.depths)
	for w := range k.scratch {
		k.scratch[w] = ^uint64(0)
	}
	for i, block := range blocks {
		index, ok := k.rows.Peek(block)
		if !ok {
			k.recordDepth(int32(i), nil)
			return k.depths
		}
		if !k.recordDepth(int32(i), k.row(index)) {
			return k.depths
		}
	}
	k.recordDepth(int32(len(blocks)), nil)
	return k.depths
}

// recordDepth sets the depth of the columns whose bit is not set in the row, and reports whether
// any column remains. With a nil row it sets the depth of all remaining columns.
func (k *cacheIndex) recordDepth(depth int32, row []uint64) bool {
	left := false
	for w, before := range k.scratch {
		after := uint64(0)
		if row != nil {
			after = before & row[w]
		}
		k.scratch[w] = after
		left = left || after != 0
		if depth == 0 {
			continue
		}
		for gone := before &^ after; gone != 0; gone &= gone - 1 {
			k.depths[w*wordBits+bits.TrailingZeros64(gone)] = depth
		}
	}
	return left
}
