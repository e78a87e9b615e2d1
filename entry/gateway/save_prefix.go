package gateway

import (
	"context"
	"time"

	"papayaport.dev/serving/connection/engine"
	"papayaport.dev/serving/process/reclaim"
	"papayaport.dev/serving/request/prefix"
	"papayaport.dev/serving/request/route"
)

// saveTurnDelay is the delay between the turns of two entry instances to save the same
// prefix. It gives the copy of an earlier instance time to appear in the receiver's cache
// events before the next instance starts.
const saveTurnDelay = 250 * time.Millisecond

// savedPrefixes is the set of hot prefixes whose copy this instance has started, by last block.
type savedPrefixes map[prefix.Block]bool

// hotPrefixes returns the hot prefixes on leaving servers that this instance should save now,
// and stores their blocks in chains by last block.
func (m *migrator) hotPrefixes(now time.Time, leaving []reclaim.Leaving, chains map[prefix.Block][]prefix.Block) []reclaim.Cached {
	var list []reclaim.Cached
	for _, server := range leaving {
		backend, _ := m.gateway.Routes.Backend(server.Backend)
		for _, hot := range m.gateway.Routes.HotPrefixes(now, server.Backend) {
			block := hot.Blocks[len(hot.Blocks)-1]
			if !m.isTurnToSave(now, server.Backend, block) {
				continue
			}
			chains[block] = hot.Blocks
			list = append(list, reclaim.Cached{
				Backend: server.Backend, Service: backend.Service, Block: block, Tokens: hot.Tokens,
				HitsPerSecond: hot.HitsPerSecond, CachedElsewhere: hot.CachedElsewhere,
				Home: m.preferredBackend(now, backend.Service, hot),
			})
		}
	}
	return list
}

// preferredBackend returns the server to which the next request with a prefix would be routed, or "".
func (m *migrator) preferredBackend(now time.Time, name string, hot route.HotPrefix) string {
	request := route.Request{Service: name, Blocks: hot.Blocks, PromptTokens: hot.Tokens}
	if file, found := m.gateway.Configuration.Service(name); found {
		request.Target = file.LatencyTarget
	}
	choice, err := m.gateway.Routes.Choose(now, request)
	if err != nil {
		return ""
	}
	return choice.Backend.ID
}

// isTurnToSave reports whether it is this instance's turn to save a prefix.
func (m *migrator) isTurnToSave(now time.Time, backend string, block prefix.Block) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.saved[block] {
		return false
	}
	rank := m.gateway.Peers.Rank(blockName(block))
	return now.Sub(m.noticedAt[backend]) >= time.Duration(rank)*saveTurnDelay
}

func blockName(block prefix.Block) string {
	var name [8]byte
	for i := range name {
		name[i] = byte(block >> (8 * i))
	}
	return string(name[:])
}

// savePrefix starts copying a prefix from a leaving server to a receiver.
func (m *migrator) savePrefix(order reclaim.Order, chain []prefix.Block) {
	m.mu.Lock()
	m.saved[order.Block] = true
	m.mu.Unlock()
	go func() {
		if err := m.copyPrefix(order, chain); err != nil {
			m.gateway.Log.WithField("from", order.From).Warn("gateway: cannot copy prefix from leaving server: " + err.Error())
			return
		}
		m.gateway.Routes.MarkCached(order.To, chain)
		m.gateway.Metrics.countSavedPrefix(order.Tokens)
	}()
}

func (m *migrator) copyPrefix(order reclaim.Order, chain []prefix.Block) error {
	from, _ := m.gateway.Routes.Backend(order.From)
	to, _ := m.gateway.Routes.Backend(order.To)
	ctx, cancel := context.WithTimeout(context.Background(), transferTimeout)
	defer cancel()
	blocks := make([]uint64, len(chain))
	for i, block := range chain {
		blocks[i] = uint64(block)
	}
	return m.copyKV(ctx, from, to, engine.Export{Blocks: blocks})
}

// copyKV exports KV cache from one engine and imports it into another.
func (m *migrator) copyKV(ctx context.Context, from, to route.Backend, export engine.Export) error {
	exported, err := m.engineClient(from).Export(ctx, export)
	if err != nil {
		return err
	}
	_, err = m.engineClient(to).Import(ctx, engine.Import{From: from.Address, Handle: exported.Handle})
	return err
}
