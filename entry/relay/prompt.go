package relay

import (
	"encoding/binary"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"papayaport.dev/serving/connection/engine"
	"papayaport.dev/serving/request/prefix"
	"papayaport.dev/serving/request/route"
)

// maxBlocks bounds the blocks of a prompt that are looked up: two million tokens, several times
// the KV cache of an engine.
const maxBlocks = 2_000_000 / prefix.BlockTokens

// prefixBlocks returns the chained hashes of the prompt's prefixes, one per block. The last part
// is unique to the request and is left out.
func (p *Prompt) prefixBlocks() []prefix.Block {
	if len(p.Parts) < 2 {
		return nil
	}
	var chain []prefix.Block
	digest := xxhash.New()
	for _, part := range p.Parts[:len(p.Parts)-1] {
		for range part.Tokens / prefix.BlockTokens {
			if len(chain) >= maxBlocks {
				return chain
			}
			// Writes to a digest never fail.
			_, _ = digest.Write(binary.LittleEndian.AppendUint64(nil, part.ID))
			chain = append(chain, prefix.Block(digest.Sum64()))
		}
	}
	return chain
}

// sharedParts returns the ids of the parts that other requests may share: all but the last.
func (p *Prompt) sharedParts() []uint64 {
	var ids []uint64
	for i := range max(len(p.Parts)-1, 0) {
		ids = append(ids, p.Parts[i].ID)
	}
	return ids
}

// sharedPartNames returns the same ids in hexadecimal, as callers send them.
func (p *Prompt) sharedPartNames() []string {
	var names []string
	for _, id := range p.sharedParts() {
		names = append(names, strconv.FormatUint(id, 16))
	}
	return names
}

// reportLoad passes the load that a backend server reported with a response to the routing table.
func (r *Relay) reportLoad(now time.Time, b route.Backend, load Load) {
	r.Routes.Report(now, b.ID, engine.Load{
		Incarnation: b.Incarnation, Running: load.Running, Queued: load.Queued, Slots: load.Slots,
	})
}
