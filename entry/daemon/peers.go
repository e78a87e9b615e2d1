package daemon

import (
	"cmp"
	"context"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"

	"papayaport.dev/serving/connection/peer"
	"papayaport.dev/serving/process/membership"
	"papayaport.dev/serving/request/action"
)

func formatIncarnation(incarnation uint64) string { return strconv.FormatUint(incarnation, 10) }

// peerSource fetches configurations from peers.
type peerSource struct{ d *Daemon }

// Addresses returns the addresses of the seed peers and of the live peers.
func (p *peerSource) Addresses() []string {
	addresses := slices.DeleteFunc(slices.Clone(p.d.settings.SeedPeers), func(address string) bool {
		return address == p.d.settings.Peers.Listen
	})
	for _, member := range p.d.members.Live(time.Now()) {
		if !slices.Contains(addresses, member.PeerAddress) {
			addresses = append(addresses, member.PeerAddress)
		}
	}
	return addresses
}

// Head fetches the head of the highest version at a peer.
func (p *peerSource) Head(ctx context.Context, address string) ([]byte, error) {
	return p.d.peers.Head(ctx, address)
}

// Manifest fetches a manifest from a peer.
func (p *peerSource) Manifest(ctx context.Context, address, hash string) ([]byte, error) {
	return p.d.peers.Manifest(ctx, address, hash)
}

// Chunk fetches a chunk from a peer.
func (p *peerSource) Chunk(ctx context.Context, address, hash string) ([]byte, error) {
	return p.d.peers.Chunk(ctx, address, hash)
}

// actionPeers sends queries about requests with idempotency keys to other entry instances.
type actionPeers struct{ d *Daemon }

// Answer sends a query to another entry instance and returns its reply.
func (a *actionPeers) Answer(ctx context.Context, to action.Member, query action.Query) (action.Reply, error) {
	var reply action.Reply
	address, found := a.d.peerAddress(to.Instance)
	if !found {
		return reply, errors.Errorf("no known address of instance %s", to.Instance)
	}
	data, err := cbor.Marshal(query)
	if err != nil {
		return reply, errors.Wrap(err, "encode query")
	}
	answer, err := a.d.peers.Action(ctx, address, data)
	if err != nil {
		return reply, err
	}
	return reply, errors.Wrap(cbor.Unmarshal(answer, &reply), "decode reply")
}

func (d *Daemon) peerAddress(instance string) (string, bool) {
	for _, member := range d.members.Members(time.Now()) {
		if member.Instance == instance {
			return member.PeerAddress, true
		}
	}
	return "", false
}

// memberCacheTTL is how long the list of members for the action records is cached.
const memberCacheTTL = 250 * time.Millisecond

// memberCache caches the members for the action records, which read them often.
type memberCache struct {
	mu      sync.Mutex
	readAt  time.Time
	members []action.Member
}

func (d *Daemon) actionMembers() []action.Member {
	list := &d.memberCache
	list.mu.Lock()
	defer list.mu.Unlock()
	now := time.Now()
	if now.Sub(list.readAt) < memberCacheTTL {
		return list.members
	}
	list.readAt = now
	list.members = nil
	for _, member := range d.members.Members(now) {
		list.members = append(list.members, action.Member{Instance: member.Instance, Incarnation: member.Incarnation})
	}
	return list.members
}

// requestPeers calls the entry instances that may hold a request or take one over.
type requestPeers struct{ d *Daemon }

// Ranked returns the addresses of the live peers ordered by rendezvous hash of the request
// (Thaler and Ravishankar, 1998), so that all entry instances agree on the most likely holder.
func (p *requestPeers) Ranked(request string) []string {
	members := p.d.members.Live(time.Now())
	slices.SortFunc(members, func(a, b membership.Member) int {
		return cmp.Compare(rendezvousHash(b.Instance, request), rendezvousHash(a.Instance, request))
	})
	addresses := make([]string, len(members))
	for i, member := range members {
		addresses[i] = member.PeerAddress
	}
	return addresses
}

func rendezvousHash(instance, name string) uint64 {
	return xxhash.Sum64String(instance + "\x00" + name)
}

// Rank returns the rank of this instance among the live ones by rendezvous hash of a name,
// from 0.
func (p *requestPeers) Rank(name string) int {
	own := rendezvousHash(p.d.settings.Instance, name)
	rank := 0
	for _, member := range p.d.members.Live(time.Now()) {
		if rendezvousHash(member.Instance, name) > own {
			rank++
		}
	}
	return rank
}

// Find reports whether a peer holds a request.
func (p *requestPeers) Find(ctx context.Context, address, request string) (bool, error) {
	return p.d.peers.Find(ctx, address, request)
}

// Attach streams the answer of a request from a peer.
func (p *requestPeers) Attach(ctx context.Context, address, request string, offset int64, receive func([]byte) error) error {
	return p.d.peers.Attach(ctx, address, request, offset, receive)
}

// HandOver hands an unfinished request over to a peer.
func (p *requestPeers) HandOver(ctx context.Context, address, request string, body, state []byte) error {
	return p.d.peers.HandOver(ctx, address, peer.HandOver{RequestID: request, Body: body, State: state})
}

// handler serves the calls of other entry instances.
type handler struct{ d *Daemon }

// Exchange processes a membership message and returns the reply.
func (h *handler) Exchange(_ context.Context, message membership.Message) (membership.Message, error) {
	return h.d.exchange.Receive(time.Now(), message), nil
}

// Head returns the head of the version in force.
func (h *handler) Head(context.Context) ([]byte, error) {
	head := h.d.keeper.Head()
	if head.Version == 0 {
		return nil, peer.ErrNotFound
	}
	return head.Encode(), nil
}

// Manifest returns a stored manifest.
func (h *handler) Manifest(_ context.Context, hash string) ([]byte, error) {
	return orNotFound(h.d.keeper.Manifest(hash))
}

// Chunk returns a stored chunk.
func (h *handler) Chunk(_ context.Context, hash string) ([]byte, error) {
	return orNotFound(h.d.keeper.Chunk(hash))
}

func orNotFound(data []byte, found bool) ([]byte, error) {
	if !found {
		return nil, peer.ErrNotFound
	}
	return data, nil
}

// Action answers a query about requests with idempotency keys.
func (h *handler) Action(ctx context.Context, data []byte) ([]byte, error) {
	var query action.Query
	if err := cbor.Unmarshal(data, &query); err != nil {
		return nil, errors.Wrap(err, "decode query")
	}
	reply, err := h.d.actions.Serve(ctx, query)
	if err != nil {
		return nil, err
	}
	answer, err := cbor.Marshal(reply)
	return answer, errors.Wrap(err, "encode reply")
}

// HandOver takes over a request, unless this instance is draining as well.
func (h *handler) HandOver(_ context.Context, handOver peer.HandOver) error {
	if h.d.gateway.Draining() {
		return errors.New("this instance is draining as well")
	}
	return h.d.gateway.TakeOver(handOver.RequestID, handOver.Body, handOver.State)
}

// Find reports whether this instance holds a request.
func (h *handler) Find(_ context.Context, request string) (bool, error) {
	return h.d.gateway.Holds(request), nil
}

// Attach streams the answer of a request that this instance holds.
func (h *handler) Attach(ctx context.Context, request string, offset int64, send func([]byte) error) error {
	if !h.d.gateway.Holds(request) {
		return peer.ErrNotFound
	}
	return h.d.gateway.Attach(ctx, request, offset, send)
}
