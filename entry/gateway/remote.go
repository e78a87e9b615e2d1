package gateway

import (
	"context"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sync/errgroup"

	"papayaport.dev/serving/process/clock"
	"papayaport.dev/serving/process/problem"
	"papayaport.dev/serving/request/answer"
	"papayaport.dev/serving/request/handover"
	"papayaport.dev/serving/request/prefix"
)

const (
	// findLimit bounds the search for the holder of a request.
	findLimit = time.Second
	// handOverLimit bounds one hand-over.
	handOverLimit = 2 * time.Second
	// mirrorTries is the number of times that a broken connection to a holder is made anew.
	mirrorTries = 5
	mirrorWait  = 100 * time.Millisecond
	// maxAsked bounds the peers that are asked for one request.
	maxAsked = 8
)

var errNotHeld = errors.New("no instance holds the request")

// adoptRemote follows a request that another entry instance holds.
func (g *Gateway) adoptRemote(ctx context.Context, fresh *run) (*run, bool) {
	address, err := g.locate(ctx, fresh.key)
	if err != nil {
		return nil, false
	}
	fresh.handedTo, fresh.away = address, true
	held, added := g.runs.add(fresh)
	if added {
		go g.mirror(held)
	}
	return held, true
}

// locate asks the peers for the holder of a request.
func (g *Gateway) locate(ctx context.Context, key string) (string, error) {
	ctx, cancel := context.WithTimeout(ctx, findLimit)
	defer cancel()
	found := make(chan string, maxAsked)
	group, ctx := errgroup.WithContext(ctx)
	for i, address := range g.Peers.Ranked(key) {
		if i == maxAsked {
			break
		}
		group.Go(func() error {
			held, err := g.Peers.Find(ctx, address, key)
			if err == nil && held {
				found <- address
			}
			return nil
		})
	}
	_ = group.Wait()
	select {
	case address := <-found:
		return address, nil
	default:
		return "", errNotHeld
	}
}

// mirror copies the answer of a request that another entry instance holds.
func (g *Gateway) mirror(r *run) {
	ctx, cancel := context.WithDeadlineCause(r.ctx, r.deadline, errDeadline)
	defer cancel()
	for try := 0; try < mirrorTries && r.log.Ended() == nil; try++ {
		_, address := r.location()
		_ = g.Peers.Attach(ctx, address, r.key, int64(r.log.Tokens()), func(data []byte) error {
			try = 0
			return g.mirrorPiece(r, data)
		})
		if r.log.Ended() != nil || clock.Sleep(ctx, mirrorWait) != nil {
			break
		}
		if moved, err := g.locate(ctx, r.key); err == nil {
			r.mu.Lock()
			r.handedTo = moved
			r.mu.Unlock()
		}
	}
	if r.log.Ended() == nil {
		r.finish(g.Clock(), endWith(problem.New(problem.AnswerLost, "the instance that held the request is gone")))
	}
}

func (g *Gateway) mirrorPiece(r *run, data []byte) error {
	var piece handover.Piece
	if err := handover.Decode(data, &piece); err != nil {
		return err
	}
	for i, token := range piece.Tokens {
		have := r.log.Tokens()
		if piece.From+i > have {
			return errors.Errorf("tokens %d to %d are missing", have, piece.From+i)
		}
		if piece.From+i == have {
			r.log.Append(token)
		}
	}
	if piece.End != nil {
		r.finish(g.Clock(), piece.End.Answer())
	}
	return nil
}

// HandOver gives all unfinished model requests to other entry instances and goes on
// forwarding their answers.
func (g *Gateway) HandOver() int {
	count := 0
	for _, r := range g.runs.all() {
		if g.requestHandOver(r) {
			count++
		}
	}
	return count
}

// requestHandOver ends a run's attempt, so that its goroutine hands the run over.
func (g *Gateway) requestHandOver(r *run) bool {
	addresses := g.Peers.Ranked(r.key)
	if len(addresses) == 0 {
		return false
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.handedTo != "" || r.attempts == 0 {
		return false
	}
	r.handedTo = addresses[0]
	if r.current != nil {
		r.current.cancel(errHandedOver)
	}
	return true
}

// continueElsewhere hands a run over and forwards its answer from there. If no peer takes it, it
// goes on here.
func (g *Gateway) continueElsewhere(r *run) {
	g.admitter.release(r.key, r.promptSize+r.log.Tokens())
	address, err := g.handRunOver(r)
	if err != nil {
		g.Log.WithField("request_id", r.id).Warn("gateway: hand-over failed: " + err.Error())
		r.mu.Lock()
		r.handedTo = ""
		r.mu.Unlock()
		g.generate(r)
		return
	}
	r.mu.Lock()
	r.handedTo, r.away = address, true
	r.current = nil
	r.mu.Unlock()
	g.Meters.handedOver(r.file.Name)
	g.mirror(r)
}

func (g *Gateway) handRunOver(r *run) (string, error) {
	state, err := handover.Encode(r.state(g.Clock()))
	if err != nil {
		return "", err
	}
	err = errNotHeld
	for _, address := range g.Peers.Ranked(r.key) {
		ctx, cancel := context.WithTimeout(r.ctx, handOverLimit)
		err = g.Peers.HandOver(ctx, address, r.key, r.body, state)
		cancel()
		if err == nil {
			return address, nil
		}
	}
	return "", err
}

func (r *run) state(now time.Time) handover.State {
	text, _ := r.log.Text()
	r.mu.Lock()
	defer r.mu.Unlock()
	return handover.State{
		Service: r.file.Name, Account: r.account, Priority: r.priority,
		RemainingMS: r.deadline.Sub(now).Milliseconds(),
		Text:        text, Ends: r.log.Ends(),
		Fingerprint: r.fingerprint, Attempts: r.attempts,
	}
}

// TakeOver goes on with a request that another entry instance can't finish. A request
// that is held already is not started again.
func (g *Gateway) TakeOver(key string, body, state []byte) error {
	var received handover.State
	if err := handover.Decode(state, &received); err != nil {
		return err
	}
	r, err := g.restore(key, body, received)
	if err != nil {
		return err
	}
	if _, added := g.runs.add(r); added {
		g.Meters.takenOver(r.file.Name)
		go g.generate(r)
	}
	return nil
}

func (g *Gateway) restore(key string, body []byte, state handover.State) (*run, error) {
	file, found := g.Versions.Service(state.Service)
	if !found || file.Model == nil {
		return nil, problem.New(problem.UnknownService, "no model service %q here", state.Service)
	}
	parsed, err := parseChat(body)
	if err != nil {
		return nil, err
	}
	prompt := parsed.prompt()
	if err := parsed.bound(file.Model, prefix.Tokens(len(prompt))); err != nil {
		return nil, err
	}
	now := g.Clock()
	r := &run{
		key: key, id: requestOf(key), file: file, account: state.Account, priority: state.Priority,
		deadline: now.Add(time.Duration(state.RemainingMS) * time.Millisecond),
		body:     body, fingerprint: state.Fingerprint, chat: parsed,
		blocks: prefix.Blocks(prompt), promptSize: prefix.Tokens(len(prompt)),
		log: answer.Open(), attempts: state.Attempts, started: now, unread: now,
	}
	if !r.log.Restore(state.Text, state.Ends) {
		return nil, problem.New(problem.BadRequest, "the tokens handed over are inconsistent")
	}
	r.assembly = r.newAssembly()
	r.assembly.Resume(len(state.Ends))
	r.ctx, r.cancel = context.WithCancelCause(context.Background())
	return r, nil
}

// requestOf returns the request id in a run's key.
func requestOf(key string) string {
	for i := len(key) - 1; i >= 0; i-- {
		if key[i] == '/' {
			return key[i+1:]
		}
	}
	return key
}

// Holds tells whether a request is answered here, or was lately.
func (g *Gateway) Holds(key string) bool {
	r, found := g.runs.get(key)
	if !found {
		return false
	}
	_, handedTo := r.location()
	return handedTo == "" || r.log.Ended() != nil
}

// Attach sends the pieces of a held request's answer from a token on.
func (g *Gateway) Attach(ctx context.Context, key string, next int64, send func(piece []byte) error) error {
	r, found := g.runs.get(key)
	if !found {
		return errNotHeld
	}
	r.read(1, g.Clock())
	defer func() { r.read(-1, g.Clock()) }()
	for offset := int(next); ; {
		batch, err := r.log.Read(ctx, offset, batchTokens, nil)
		if err != nil {
			return err
		}
		data, err := handover.Encode(handover.PieceOf(batch))
		if err != nil {
			return err
		}
		if err := send(data); err != nil || batch.End != nil {
			return err
		}
		offset += len(batch.Tokens)
	}
}
