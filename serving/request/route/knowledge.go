package route

import (
	"math/bits"

	"github.com/hashicorp/golang-lru/v2/simplelru"

	"papayaport.dev/serving/request/prefix"
)

// maxBlocks bounds the blocks that are remembered for one service.
const maxBlocks = 1 << 17

const wordBits = 64

// knowledge remembers which backend servers of one service hold which blocks. Every
// block has a row of bits, one for each server's column. The least recently used block
// is forgotten when there are too many.
type knowledge struct {
	rows *simplelru.LRU[prefix.Block, uint32]
	free []uint32
	// words holds the rows one behind the other, stride words each.
	words  []uint64
	stride int
	// counts holds the number of blocks by column.
	counts []int
	// scratch and depths are reused by depth.
	scratch []uint64
	depths  []int32
}

// newKnowledge returns an empty knowledge of at most limit blocks.
func newKnowledge(limit int) *knowledge {
	k := &knowledge{stride: 1}
	rows, err := simplelru.NewLRU(limit, k.release)
	if err != nil {
		panic(err) // the limit is a positive constant
	}
	k.rows = rows
	k.grow(1)
	return k
}

// grow makes room for the given number of columns.
func (k *knowledge) grow(columns int) {
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

// row returns the bits of a row.
func (k *knowledge) row(index uint32) []uint64 {
	start := int(index) * k.stride
	return k.words[start : start+k.stride]
}

// release clears the row of a forgotten block.
func (k *knowledge) release(_ prefix.Block, index uint32) {
	row := k.row(index)
	for w, word := range row {
		for ; word != 0; word &= word - 1 {
			k.counts[w*wordBits+bits.TrailingZeros64(word)]--
		}
		row[w] = 0
	}
	k.free = append(k.free, index)
}

// store notes that the server in the column holds the block.
func (k *knowledge) store(block prefix.Block, column int) {
	index, ok := k.rows.Get(block)
	if !ok {
		index = k.take(block)
	}
	word, bit := &k.row(index)[column/wordBits], uint64(1)<<(column%wordBits)
	if *word&bit == 0 {
		*word |= bit
		k.counts[column]++
	}
}

// take gives a new block a row.
func (k *knowledge) take(block prefix.Block) uint32 {
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

// storeAll notes that the server in the column holds a whole chain. Shorter prefixes are
// marked as used later, so that a chain is forgotten from its end.
func (k *knowledge) storeAll(blocks []prefix.Block, column int) {
	for i := len(blocks) - 1; i >= 0; i-- {
		k.store(blocks[i], column)
	}
}

// drop notes that the server in the column no longer holds the block.
func (k *knowledge) drop(block prefix.Block, column int) {
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

// clear forgets all blocks of one column.
func (k *knowledge) clear(column int) {
	word, bit := column/wordBits, uint64(1)<<(column%wordBits)
	for at := word; at < len(k.words); at += k.stride {
		k.words[at] &^= bit
	}
	k.counts[column] = 0
}

// depth returns for every column the number of blocks at the start of the chain that
// the server holds without a hole. The slice is valid until the next call.
func (k *knowledge) depth(blocks []prefix.Block) []int32 {
	clear(k.depths)
	for w := range k.scratch {
		k.scratch[w] = ^uint64(0)
	}
	for i, block := range blocks {
		index, ok := k.rows.Peek(block)
		if !ok {
			k.settle(int32(i), nil)
			return k.depths
		}
		if !k.settle(int32(i), k.row(index)) {
			return k.depths
		}
	}
	k.settle(int32(len(blocks)), nil)
	return k.depths
}

// settle writes the depth of the columns that a row no longer holds, and tells whether
// any column is left. Without a row all columns are settled.
func (k *knowledge) settle(depth int32, row []uint64) bool {
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
