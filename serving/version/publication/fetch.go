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
	// watchPause is the time between two watches, which limits the call rate if watches end
	// early.
	watchPause = 50 * time.Millisecond
	// idleInterval is how often an instance that does not watch the store checks whether it
	// should.
	idleInterval = 500 * time.Millisecond
	// peerSilenceTimeout is the time without an offer after which an instance polls peers.
	peerSilenceTimeout = 5 * time.Second
	// maxPolledPeers is the number of peers polled in turn before the store is read.
	maxPolledPeers = 2
	// peerPollTimeout bounds the request to one peer.
	peerPollTimeout = time.Second
	// aloneInterval is the time between two reads of the store while no peer answers.
	aloneInterval = 2 * time.Second
	// firstWatchBackoff and maxWatchBackoff bound the back-off after a failed watch or read.
	firstWatchBackoff = 250 * time.Millisecond
	maxWatchBackoff   = 2 * time.Second
)

// fetch executes one fetch of a table and returns the resulting event.
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
		k.lastStoreContact.Store(time.Now().UnixNano())
	}
	return entry.Value, err
}

// watch reads new heads from the store while this instance is selected to watch it, or while no
// peer answers.
func (k *Keeper) watch(ctx context.Context) error {
	var after uint64
	backoff := firstWatchBackoff
	for ctx.Err() == nil {
		pause, err := k.pollStore(ctx, &after)
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

// pollStore reads the store once, if this instance watches it or no peer answers, and returns
// the pause until the next call.
func (k *Keeper) pollStore(ctx context.Context, after *uint64) (time.Duration, error) {
	switch {
	case k.watching():
		return watchPause, k.watchOnce(ctx, after)
	case !k.Started() || !k.peersSilent():
		return idleInterval, nil
	case k.pollPeers(ctx):
		return idleInterval, nil
	}
	k.log.Debug("publication: no peer answers, asking the key-value service")
	return jitter(aloneInterval), k.readOnce(ctx)
}

// peersSilent reports whether no peer has sent its version for peerSilenceTimeout.
func (k *Keeper) peersSilent() bool {
	return time.Since(unixTime(k.lastPeerContact.Load())) >= peerSilenceTimeout
}

// pollPeers requests the head from random peers until one answers.
func (k *Keeper) pollPeers(ctx context.Context) bool {
	addresses := slices.Clone(k.peers.Addresses())
	rand.Shuffle(len(addresses), func(i, j int) { addresses[i], addresses[j] = addresses[j], addresses[i] })
	for _, address := range addresses[:min(maxPolledPeers, len(addresses))] {
		if k.pollPeer(ctx, address) {
			return true
		}
	}
	return false
}

func (k *Keeper) pollPeer(ctx context.Context, address string) bool {
	ctx, cancel := context.WithTimeout(ctx, peerPollTimeout)
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
	k.lastPeerContact.Store(time.Now().UnixNano())
	k.enqueue(Event{Kind: HeadReceived, Source: Source(address), Head: head})
	return true
}

func (k *Keeper) watchOnce(ctx context.Context, after *uint64) error {
	entries, err := k.store.Watch(ctx, HeadKey, *after, watchWait)
	if err != nil {
		return err
	}
	k.lastStoreContact.Store(time.Now().UnixNano())
	for _, entry := range entries.Entries {
		k.handleEntry(entry)
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
	k.lastStoreContact.Store(time.Now().UnixNano())
	k.handleEntry(entry)
	return nil
}

func (k *Keeper) handleEntry(entry platform.Entry) {
	if entry.Key != HeadKey {
		return
	}
	head, err := DecodeHead(entry.Value)
	if err != nil {
		k.log.WithError(err).Error("publication: head in the key-value service is invalid")
		return
	}
	k.HandleHead(head)
}
