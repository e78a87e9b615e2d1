package route

import (
	"testing"

	"github.com/stretchr/testify/require"

	"papayaport.dev/serving/request/prefix"
)

func chain(first, length int) []prefix.Block {
	blocks := make([]prefix.Block, length)
	for i := range blocks {
		blocks[i] = prefix.Block(first + i)
	}
	return blocks
}

func TestCacheIndexEvictsOldestChainFromItsEnd(t *testing.T) {
	k := newCacheIndex(10)
	k.grow(70)
	k.storeChain(chain(100, 6), 3)
	k.storeChain(chain(200, 6), 65)
	require.Equal(t, int32(4), k.depth(chain(100, 6))[3])
	require.Equal(t, int32(6), k.depth(chain(200, 6))[65])
	require.Equal(t, 4, k.counts[3])
	require.LessOrEqual(t, len(k.words), 11*k.stride)
}

func TestCacheIndexKeepsRowsWhenColumnsGrow(t *testing.T) {
	k := newCacheIndex(100)
	k.grow(2)
	k.storeChain(chain(1, 20), 1)
	k.grow(200)
	k.storeChain(chain(1, 10), 199)
	depths := k.depth(chain(1, 30))
	require.Equal(t, int32(20), depths[1])
	require.Equal(t, int32(10), depths[199])
	k.clear(1)
	require.Zero(t, k.depth(chain(1, 30))[1])
	require.Equal(t, 10, k.counts[199])
}
