package distribution

import "github.com/cespare/xxhash/v2"

const (
	// minChunkBytes and maxChunkBytes bound the size of a chunk. The largest one takes 26 ms on a
	// link of 10 Mbit/s if it can't be compressed.
	minChunkBytes = 4 << 10
	maxChunkBytes = 32 << 10
	// borderBits makes chunks 4 KB larger than the minimum on average, and some 8 KB where half of the
	// text is the same in all routes.
	borderBits = 12
)

// gear holds a random number per byte value for the rolling hash, the same in all instances.
var gear = func() (table [256]uint64) {
	for i := range table {
		table[i] = xxhash.Sum64([]byte{byte(i)})
	}
	return table
}()

// split splits data at borders that depend only on the last 64 bytes before them (gear hash of
// Xia et al., FastCDC, 2016), so that an insertion changes only the chunks around it.
func split(data []byte) (chunks [][]byte) {
	for len(data) > 0 {
		size := border(data)
		chunks = append(chunks, data[:size])
		data = data[size:]
	}
	return chunks
}

// border returns the size of the first chunk of data.
func border(data []byte) int {
	end := min(len(data), maxChunkBytes)
	var hash uint64
	for i := 0; i < end; i++ {
		hash = hash<<1 + gear[data[i]]
		// The upper bits depend on the most bytes.
		if i+1 >= minChunkBytes && hash>>(64-borderBits) == 0 {
			return i + 1
		}
	}
	return end
}
