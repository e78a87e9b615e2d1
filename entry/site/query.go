package site

import (
	"context"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"

	"papayaport.dev/serving/process/occupancy"
	"papayaport.dev/serving/request/admission"
	"papayaport.dev/serving/request/quota"
	"papayaport.dev/serving/version/rollout"
)

// unreachableTTL is how long a peer that did not answer is skipped when there is an alternative.
const unreachableTTL = 3 * time.Second

// query is a request of one entry instance to another. One of its fields is set.
type query struct {
	// Lend requests unused tokens of an account.
	Lend *admission.Debt `cbor:"1,keyasint,omitempty"`
	// Load requests the load and the usage counts.
	Load bool `cbor:"3,keyasint,omitempty"`
	// FixedSums requests the fixed sums of usage with the load.
	FixedSums bool `cbor:"9,keyasint,omitempty"`
	// View requests the view of the store.
	View *viewQuery `cbor:"4,keyasint,omitempty"`
	// Grant requests a grant from a pool. Key 2 was an older form of it.
	Grant *grantQuery `cbor:"5,keyasint,omitempty"`
	// Pay holds payments into pools, by account.
	Pay map[string]quota.Amount `cbor:"6,keyasint,omitempty"`
	// Rollouts sends permits and requests reports.
	Rollouts *rolloutQuery `cbor:"8,keyasint,omitempty"`
	// Occupancy reports load at backend servers to a collector.
	Occupancy *occupancy.Message `cbor:"7,keyasint,omitempty"`
}

// reply is the response to a query.
type reply struct {
	// Lent is the number of tokens that were transferred.
	Lent float64 `cbor:"1,keyasint,omitempty"`
	// Refused is set when the account is over its limit. Detail is the reason and RetryMS the
	// delay before a retry in milliseconds.
	Refused bool   `cbor:"2,keyasint,omitempty"`
	Detail  string `cbor:"3,keyasint,omitempty"`
	RetryMS int64  `cbor:"4,keyasint,omitempty"`
	// NotKnown is set when the peer's configuration lacks the account, or when the peer does not
	// support the query.
	NotKnown bool        `cbor:"5,keyasint,omitempty"`
	Load     *loadReport `cbor:"6,keyasint,omitempty"`
	View     *viewReply  `cbor:"7,keyasint,omitempty"`
	// Granted is set when a pool granted the request.
	Granted bool `cbor:"8,keyasint,omitempty"`
	// Rollouts holds the reports on roll-outs.
	Rollouts  []rollout.Report `cbor:"10,keyasint,omitempty"`
	Occupancy *occupancy.Reply `cbor:"9,keyasint,omitempty"`
}

// queryPeer sends a query to the entry instance at address and returns its reply.
func (s *Site) queryPeer(ctx context.Context, address string, request query) (reply, error) {
	var response reply
	data, err := cbor.Marshal(request)
	if err != nil {
		return response, errors.Wrap(err, "encode query")
	}
	answer, err := s.peers.Action(ctx, address, data)
	if err != nil {
		return response, err
	}
	return response, errors.Wrap(cbor.Unmarshal(answer, &response), "decode reply")
}

// Action handles a query of another entry instance.
func (h *peerHandler) Action(_ context.Context, data []byte) ([]byte, error) {
	var request query
	if err := cbor.Unmarshal(data, &request); err != nil {
		return nil, errors.Wrap(err, "decode query")
	}
	var response reply
	switch {
	case request.Lend != nil:
		response.Lent = h.s.admission.Lend(time.Now(), *request.Lend)
	case request.Grant != nil:
		response = h.s.grant(*request.Grant)
	case len(request.Pay) > 0:
		h.s.receivePayment(request.Pay)
	case request.Load:
		own := h.s.ownLoadReport(time.Now())
		if request.FixedSums {
			own.FixedSums = h.s.fixedSums.All()
		}
		response.Load = &own
	case request.Rollouts != nil:
		response.Rollouts = h.s.handleRolloutQuery(*request.Rollouts)
	case request.Occupancy != nil:
		response.Occupancy = h.s.handleOccupancy(*request.Occupancy)
	case request.View != nil:
		response.View = h.s.handleViewQuery(*request.View)
	default:
		response.NotKnown = true // a query of another version of the program
	}
	answer, err := cbor.Marshal(response)
	return answer, errors.Wrap(err, "encode reply")
}

// unreachablePeers tracks peers that did not answer.
type unreachablePeers struct {
	mu sync.Mutex
	at map[string]time.Time
}

func (u *unreachablePeers) isRecent(address string) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	return time.Since(u.at[address]) < unreachableTTL
}

func (u *unreachablePeers) add(address string) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.at == nil {
		u.at = map[string]time.Time{}
	}
	u.at[address] = time.Now()
}
