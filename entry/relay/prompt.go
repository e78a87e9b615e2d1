package relay

import (
	"encoding/binary"
	"time"

	"github.com/cespare/xxhash/v2"

	"papayaport.dev/serving/connection/engine"
	"papayaport.dev/serving/request/prefix"
	"papayaport.dev/serving/request/route"
	"papayaport.dev/serving/version/deployment"
)

// What the engines of the users' sheets do; their answers don't tell it.
const (
	// prefillPerSecond is the number of prompt tokens that an engine reads in a second.
	prefillPerSecond = 56_000
	// decodeMS is the time between two tokens of a half-full batch in milliseconds.
	decodeMS = 12
)

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
			// A digest in memory takes every write.
			_, _ = digest.Write(binary.LittleEndian.AppendUint64(nil, part.ID))
			chain = append(chain, prefix.Block(digest.Sum64()))
		}
	}
	return chain
}

// report takes in the load that a backend server told with an answer.
func (r *Relay) report(now time.Time, b route.Backend, load Load, version *deployment.Version) {
	told := engine.Load{Incarnation: b.Incarnation, Running: load.Running, Queued: load.Waiting, Slots: load.Slots}
	if s, found := version.Service(b.Service); found && s.Engine != nil {
		told.CacheCapacity, told.PrefillPerSec, told.DecodeMS = s.Engine.CacheTokens, prefillPerSecond, decodeMS
	}
	r.Routes.Report(now, b.ID, told)
}
