package publication

import (
	"context"
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/pkg/errors"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// localPeers reads from keepers in the same process.
type localPeers struct {
	addresses []string
	keeperOf  func(address string) *Keeper
}

var errPartitioned = errors.New("peer unreachable")

func (p *localPeers) Addresses() []string { return p.addresses }

func (p *localPeers) Head(_ context.Context, address string) ([]byte, error) {
	keeper := p.keeperOf(address)
	if keeper == nil || !keeper.Ready() {
		return nil, errPartitioned
	}
	return keeper.Head().Encode(), nil
}

func (p *localPeers) Manifest(_ context.Context, address, hash string) ([]byte, error) {
	return p.content(address, func(k *Keeper) ([]byte, bool) { return k.Manifest(hash) })
}

func (p *localPeers) Chunk(_ context.Context, address, hash string) ([]byte, error) {
	return p.content(address, func(k *Keeper) ([]byte, bool) { return k.Chunk(hash) })
}

func (p *localPeers) content(address string, read func(*Keeper) ([]byte, bool)) ([]byte, error) {
	keeper := p.keeperOf(address)
	if keeper == nil {
		return nil, errPartitioned
	}
	data, ok := read(keeper)
	if !ok {
		return nil, errPartitioned
	}
	return data, nil
}

// TestStatefulSeeds runs simulations with fixed seeds.
func TestStatefulSeeds(t *testing.T) {
	accepted := 0
	for seed := range uint64(40) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			random := rand.New(rand.NewPCG(seed, 7))
			sim := newSimulation(t, random.IntN)
			sim.run(600)
			accepted += len(sim.store.accepted)
		})
	}
	require.Greater(t, accepted, 120, "too few versions are accepted for a meaningful test")
}

// TestStatefulPublication searches for a simulation that violates an invariant: a wrong result
// for an operator, an audit trail that differs from the accepted versions, or an instance that
// goes back to a lower version or does not reach the latest one.
func TestStatefulPublication(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		number := rapid.IntRange(0, 1<<30)
		draw := func(n int) int { return number.Draw(t, "choice") % n }
		newSimulation(t, draw).run(200)
	})
}
