package gateway

import (
	"context"
	"time"

	"papayaport.dev/serving/connection/engine"
	"papayaport.dev/serving/process/reclaim"
	"papayaport.dev/serving/request/prefix"
	"papayaport.dev/serving/request/route"
)

// saveStagger is the time by which entry instances save a prefix one after the other.
// What an earlier one saved shows in the receiver's cache events before the next begins.
const saveStagger = 250 * time.Millisecond

// saves are the hot prefixes that this instance has ordered to be copied.
type saves map[prefix.Block]bool

// cached lists the hot prefixes on the leaving servers that this instance should save
// now, and fills chains with their blocks.
func (m *mover) cached(now time.Time, leaving []reclaim.Leaving, chains map[prefix.Block][]prefix.Block) []reclaim.Cached {
	var list []reclaim.Cached
	for _, server := range leaving {
		backend, _ := m.gateway.Routes.Backend(server.Backend)
		for _, hot := range m.gateway.Routes.Hot(now, server.Backend) {
			block := hot.Blocks[len(hot.Blocks)-1]
			if !m.turn(now, server.Backend, block) {
				continue
			}
			chains[block] = hot.Blocks
			list = append(list, reclaim.Cached{
				Backend: server.Backend, Service: backend.Service, Block: block, Tokens: hot.Tokens,
				HitsPerSecond: hot.HitsPerSecond, Elsewhere: hot.Elsewhere,
				Home: m.home(now, backend.Service, hot),
			})
		}
	}
	return list
}

// home returns the server that the next request with a prefix would go to.
func (m *mover) home(now time.Time, name string, hot route.Hot) string {
	request := route.Request{Service: name, Blocks: hot.Blocks, PromptTokens: hot.Tokens}
	if file, found := m.gateway.Versions.Service(name); found {
		request.Target = file.LatencyTarget
	}
	choice, err := m.gateway.Routes.Choose(now, request)
	if err != nil {
		return ""
	}
	return choice.Backend.ID
}

// turn tells whether it is this instance's turn to save a prefix.
func (m *mover) turn(now time.Time, backend string, block prefix.Block) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.saved[block] {
		return false
	}
	rank := m.gateway.Peers.Rank(blockName(block))
	return now.Sub(m.noted[backend]) >= time.Duration(rank)*saveStagger
}

func blockName(block prefix.Block) string {
	var name [8]byte
	for i := range name {
		name[i] = byte(block >> (8 * i))
	}
	return string(name[:])
}

// save copies a prefix from a leaving server to a receiver.
func (m *mover) save(order reclaim.Order, chain []prefix.Block) {
	m.mu.Lock()
	m.saved[order.Block] = true
	m.mu.Unlock()
	go func() {
		if err := m.copyPrefix(order, chain); err != nil {
			m.gateway.Log.WithField("from", order.From).Warn("gateway: copy of a prefix failed: " + err.Error())
			return
		}
		m.gateway.Routes.Stored(order.To, chain)
		m.gateway.Meters.prefixSaved(order.Tokens)
	}()
}

func (m *mover) copyPrefix(order reclaim.Order, chain []prefix.Block) error {
	from, _ := m.gateway.Routes.Backend(order.From)
	to, _ := m.gateway.Routes.Backend(order.To)
	ctx, cancel := context.WithTimeout(context.Background(), transferLimit)
	defer cancel()
	blocks := make([]uint64, len(chain))
	for i, block := range chain {
		blocks[i] = uint64(block)
	}
	return m.copy(ctx, from, to, engine.Export{Blocks: blocks})
}

// copy exports KV cache from one engine and imports it to another.
func (m *mover) copy(ctx context.Context, from, to route.Backend, what engine.Export) error {
	exported, err := m.engine(from).Export(ctx, what)
	if err != nil {
		return err
	}
	_, err = m.engine(to).Import(ctx, engine.Import{From: from.Address, Handle: exported.Handle})
	return err
}
