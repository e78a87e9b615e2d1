package site

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"

	"papayaport.dev/serving/request/admission"
)

const (
	// borrowPeriod is the time between two looks at the debts of client accounts.
	borrowPeriod = 200 * time.Millisecond
	// lenders is the number of peers that are asked for one debt at a time.
	lenders = 3
	// lendTimeout bounds the call to one of them.
	lendTimeout = 300 * time.Millisecond
)

// runBorrow pays the debts of client accounts from the parts of other entry instances.
func (s *Site) runBorrow(ctx context.Context) error {
	return every(ctx, borrowPeriod, func(ctx context.Context) {
		now := time.Now()
		debts := s.admission.Debts(now)
		if len(debts) == 0 {
			return
		}
		peers := s.members.Live(now)
		rand.Shuffle(len(peers), func(i, j int) { peers[i], peers[j] = peers[j], peers[i] })
		for _, debt := range debts {
			for _, lender := range peers[:min(lenders, len(peers))] {
				if debt.Tokens < 1 {
					break
				}
				lent := s.borrow(ctx, lender.PeerAddress, debt)
				debt.Tokens -= lent
				s.admission.Borrowed(admission.Debt{Service: debt.Service, Account: debt.Account, Tokens: lent})
			}
		}
	})
}

// borrow asks one peer. What it lent counts as lost when its answer is.
func (s *Site) borrow(ctx context.Context, address string, debt admission.Debt) float64 {
	ctx, cancel := context.WithTimeout(ctx, lendTimeout)
	defer cancel()
	query, err := cbor.Marshal(debt)
	if err != nil {
		s.part("limits").WithError(err).Error("limits: debt not encoded")
		return 0
	}
	answer, err := s.peers.Action(ctx, address, query)
	if err != nil {
		s.part("limits").WithError(err).Debug("limits: peer did not answer")
		return 0
	}
	var lent float64
	if err := cbor.Unmarshal(answer, &lent); err != nil {
		s.part("limits").WithError(err).Warn("limits: answer of a peer unreadable")
		return 0
	}
	return lent
}

// Action lends a part of a client account's limit to another entry instance.
func (h *handler) Action(_ context.Context, query []byte) ([]byte, error) {
	var debt admission.Debt
	if err := cbor.Unmarshal(query, &debt); err != nil {
		return nil, errors.Wrap(err, "decode debt")
	}
	answer, err := cbor.Marshal(h.s.admission.Lend(time.Now(), debt))
	return answer, errors.Wrap(err, "encode answer")
}
