package relay

import (
	"encoding/binary"
	"time"

	"github.com/cespare/xxhash/v2"

	"papayaport.dev/serving/connection/engine"
	"papayaport.dev/serving/request/prefix"
	"papayaport.dev/serving/request/route"
)

// mostBlocks bounds the blocks of a prompt that are looked for: two million tokens, several
// times the memory of an engine.
const mostBlocks = 2_000_000 / prefix.BlockTokens

// blocks names the prefixes of a prompt block by block. The last part is the request's
// own and is not looked for elsewhere.
func (p *Prompt) blocks() []prefix.Block {
	if len(p.Parts) < 2 {
		return nil
	}
	var chain []prefix.Block
	digest := xxhash.New()
	for _, part := range p.Parts[:len(p.Parts)-1] {
		for range part.Tokens / prefix.BlockTokens {
			if len(chain) >= mostBlocks {
				return chain
			}
			// A digest in memory takes every write.
			_, _ = digest.Write(binary.LittleEndian.AppendUint64(nil, part.ID))
			chain = append(chain, prefix.Block(digest.Sum64()))
		}
	}
	return chain
}

// report takes in the load that a backend server told with an answer.
func (r *Relay) report(now time.Time, b route.Backend, load Load) {
	r.Routes.Report(now, b.ID, engine.Load{
		Incarnation: b.Incarnation, Running: load.Running, Queued: load.Waiting, Slots: load.Slots,
	})
}
