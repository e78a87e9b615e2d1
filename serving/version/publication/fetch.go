package publication

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/pkg/errors"

	"papayaport.dev/serving/process/platform"
	"papayaport.dev/serving/process/platform/store"
)

const (
	// watchWait is how long one watch of the store waits for a change.
	watchWait = 10 * time.Second
	// watchPause is the time between two watches, which bounds the calls when they end early.
	watchPause = 50 * time.Millisecond
	// idleInterval is how often an instance that does not watch looks whether it should.
	idleInterval = 500 * time.Millisecond
	// quietPeers is how long nothing was offered when an instance asks peers itself.
	quietPeers = 5 * time.Second
	// askedPeers is the number of peers that are asked in turn before the store is.
	askedPeers = 2
	// askTimeout bounds the question to one peer.
	askTimeout = time.Second
	// aloneInterval is the time between two questions to the store without any peer.
	aloneInterval = 2 * time.Second
	// firstWatchBackoff and maxWatchBackoff bound the pause after a failed call.
	firstWatchBackoff = 250 * time.Millisecond
	maxWatchBackoff   = 2 * time.Second
)

// fetch carries out one fetch of a table and returns the event that answers it.
func (k *Keeper) fetch(ctx context.Context, step Step) Event {
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	data, err := k.get(ctx, step)
	failed := Event{Kind: FetchFailed, Source: step.Source, Hash: step.Hash, Fetch: step.Kind}
	if err != nil {
		k.log.WithError(err).WithField("source", string(step.Source)).Debug("publication: fetch failed")
		return failed
	}
	switch step.Kind {
	case FetchManifest:
		return Event{Kind: ManifestReceived, Source: step.Source, Hash: step.Hash, Data: data}
	case FetchChunk:
		return Event{Kind: ChunkReceived, Source: step.Source, Hash: step.Hash, Data: data}
	}
	head, err := DecodeHead(data)
	if err != nil {
		return failed
	}
	return Event{Kind: HeadReceived, Source: step.Source, Head: head}
}

func (k *Keeper) get(ctx context.Context, step Step) ([]byte, error) {
	if step.Source == StoreSource {
		return k.getFromStore(ctx, step)
	}
	address := string(step.Source)
	switch step.Kind {
	case FetchManifest:
		return k.peers.Manifest(ctx, address, string(step.Hash))
	case FetchChunk:
		return k.peers.Chunk(ctx, address, string(step.Hash))
	}
	return k.peers.Head(ctx, address)
}

func (k *Keeper) getFromStore(ctx context.Context, step Step) ([]byte, error) {
	key := HeadKey
	switch step.Kind {
	case FetchManifest:
		key = ManifestPrefix + string(step.Hash)
	case FetchChunk:
		key = ChunkPrefix + string(step.Hash)
	}
	entry, err := k.store.Get(ctx, key)
	if err == nil || errors.Is(err, store.ErrNotFound) {
		k.storeHeard.Store(time.Now().UnixNano())
	}
	return entry.Value, err
}

// watch learns of new heads from the store while this instance is chosen to watch, or
// no peer answers.
func (k *Keeper) watch(ctx context.Context) error {
	var after uint64
	backoff := firstWatchBackoff
	for ctx.Err() == nil {
		pause, err := k.look(ctx, &after)
		if err != nil {
			pause = jitter(backoff)
			backoff = min(2*backoff, maxWatchBackoff)
		} else {
			backoff = firstWatchBackoff
		}
		select {
		case <-ctx.Done():
		case <-time.After(pause):
		}
	}
	return nil
}

// look asks the store once, if it is this instance's turn, and returns the pause until
// it looks again.
func (k *Keeper) look(ctx context.Context, after *uint64) (time.Duration, error) {
	switch {
	case k.watching():
		return watchPause, k.watchOnce(ctx, after)
	case !k.Started() || !k.quiet():
		return idleInterval, nil
	case k.askPeers(ctx):
		return idleInterval, nil
	}
	k.log.Debug("publication: no peer answers, asking the key-value service")
	return jitter(aloneInterval), k.readOnce(ctx)
}

// quiet tells whether no peer told its version for a while.
func (k *Keeper) quiet() bool {
	return time.Since(unixTime(k.peersHeard.Load())) >= quietPeers
}

// askPeers asks random peers for their head until one answers.
func (k *Keeper) askPeers(ctx context.Context) bool {
	addresses := slices.Clone(k.peers.Addresses())
	rand.Shuffle(len(addresses), func(i, j int) { addresses[i], addresses[j] = addresses[j], addresses[i] })
	for _, address := range addresses[:min(askedPeers, len(addresses))] {
		if k.askPeer(ctx, address) {
			return true
		}
	}
	return false
}

func (k *Keeper) askPeer(ctx context.Context, address string) bool {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	data, err := k.peers.Head(ctx, address)
	if err != nil {
		k.log.WithError(err).WithField("source", address).Debug("publication: peer does not answer")
		return false
	}
	head, err := DecodeHead(data)
	if err != nil {
		return false
	}
	k.peersHeard.Store(time.Now().UnixNano())
	k.tell(Event{Kind: HeadReceived, Source: Source(address), Head: head})
	return true
}

func (k *Keeper) watchOnce(ctx context.Context, after *uint64) error {
	entries, err := k.store.Watch(ctx, HeadKey, *after, watchWait)
	if err != nil {
		return err
	}
	k.storeHeard.Store(time.Now().UnixNano())
	for _, entry := range entries.Entries {
		k.learnEntry(entry)
		*after = max(*after, entry.Revision)
	}
	return nil
}

func (k *Keeper) readOnce(ctx context.Context) error {
	entry, err := k.store.Get(ctx, HeadKey)
	if errors.Is(err, store.ErrNotFound) {
		return nil
	}
	if err != nil {
		return err
	}
	k.storeHeard.Store(time.Now().UnixNano())
	k.learnEntry(entry)
	return nil
}

func (k *Keeper) learnEntry(entry platform.Entry) {
	if entry.Key != HeadKey {
		return
	}
	head, err := DecodeHead(entry.Value)
	if err != nil {
		k.log.WithError(err).Error("publication: head in the key-value service is invalid")
		return
	}
	k.Learn(head)
}
