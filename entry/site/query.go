package site

import (
	"context"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"

	"papayaport.dev/serving/request/admission"
	"papayaport.dev/serving/request/quota"
	"papayaport.dev/serving/version/rollout"
)

// unreachedFor is how long a peer that did not answer is passed over by those that have
// another one to ask.
const unreachedFor = 3 * time.Second

// query is a question of one entry instance to another: one of its fields is set.
type query struct {
	// Lend asks for unused tokens.
	Lend *admission.Debt `cbor:"1,keyasint,omitempty"`
	// Roll asks for load and counts.
	Roll bool `cbor:"3,keyasint,omitempty"`
	// View asks for the view of the store.
	View *viewQuery `cbor:"4,keyasint,omitempty"`
	// Grant asks for a grant out of a pool. Number 2 was an older form of it.
	Grant *grantQuery `cbor:"5,keyasint,omitempty"`
	// Pay pays into pools, by account.
	Pay map[string]quota.Amount `cbor:"6,keyasint,omitempty"`
	// Rollouts brings permits and asks for reports. Number 7 is taken.
	Rollouts *rolloutQuery `cbor:"8,keyasint,omitempty"`
}

// reply is the answer.
type reply struct {
	// Lent is the number of tokens that are given away.
	Lent float64 `cbor:"1,keyasint,omitempty"`
	// Refused tells that the account is over its limit, with the reason and the time after
	// which to come back.
	Refused bool   `cbor:"2,keyasint,omitempty"`
	Detail  string `cbor:"3,keyasint,omitempty"`
	RetryMS int64  `cbor:"4,keyasint,omitempty"`
	// NotKnown tells that the configuration here lacks the account, or that the question is
	// not known.
	NotKnown bool       `cbor:"5,keyasint,omitempty"`
	Roll     *roll      `cbor:"6,keyasint,omitempty"`
	View     *viewReply `cbor:"7,keyasint,omitempty"`
	// Granted tells that a pool granted the request.
	Granted bool `cbor:"8,keyasint,omitempty"`
	// Rollouts holds the reports on roll-outs. Number 9 is taken.
	Rollouts []rollout.Report `cbor:"10,keyasint,omitempty"`
}

// askPeer asks the entry instance at an address.
func (s *Site) askPeer(ctx context.Context, address string, question query) (reply, error) {
	var answered reply
	data, err := cbor.Marshal(question)
	if err != nil {
		return answered, errors.Wrap(err, "encode query")
	}
	answer, err := s.peers.Action(ctx, address, data)
	if err != nil {
		return answered, err
	}
	return answered, errors.Wrap(cbor.Unmarshal(answer, &answered), "decode reply")
}

// Action answers a question of another entry instance.
func (h *handler) Action(_ context.Context, data []byte) ([]byte, error) {
	var question query
	if err := cbor.Unmarshal(data, &question); err != nil {
		return nil, errors.Wrap(err, "decode query")
	}
	var answered reply
	switch {
	case question.Lend != nil:
		answered.Lent = h.s.admission.Lend(time.Now(), *question.Lend)
	case question.Grant != nil:
		answered = h.s.grant(*question.Grant)
	case len(question.Pay) > 0:
		h.s.receivePayment(question.Pay)
	case question.Roll:
		own := h.s.ownRoll(time.Now())
		answered.Roll = &own
	case question.Rollouts != nil:
		answered.Rollouts = h.s.answerRollouts(*question.Rollouts)
	case question.View != nil:
		answered.View = h.s.answerView(*question.View)
	default:
		answered.NotKnown = true // a question of another version of the program
	}
	answer, err := cbor.Marshal(answered)
	return answer, errors.Wrap(err, "encode reply")
}

// unreached remembers peers that did not answer.
type unreached struct {
	mu sync.Mutex
	at map[string]time.Time
}

func (u *unreached) lately(address string) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	return time.Since(u.at[address]) < unreachedFor
}

func (u *unreached) note(address string) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.at == nil {
		u.at = map[string]time.Time{}
	}
	u.at[address] = time.Now()
}
