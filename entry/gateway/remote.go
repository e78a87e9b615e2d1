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
	// findTimeout is the timeout of the search for the holder of a request.
	findTimeout = time.Second
	// handOverTimeout is the timeout of one hand-over call.
	handOverTimeout = 2 * time.Second
	// maxMirrorFailures is the maximum number of consecutive connections to a holder that deliver
	// nothing.
	maxMirrorFailures = 5
	mirrorRetryDelay  = 100 * time.Millisecond
	// maxFindPeers is the maximum number of peers that are queried for one request.
	maxFindPeers = 8
)

var errNotHeld = errors.New("no instance holds the request")

// attachRemote starts mirroring a request that another entry instance holds. It returns
// false if none holds it.
func (g *Gateway) attachRemote(ctx context.Context, r *run) (*run, bool) {
	address, err := g.findHolder(ctx, r.key)
	if err != nil {
		return nil, false
	}
	r.holderAddress, r.remote = address, true
	existing, added := g.runs.add(r)
	if added {
		go g.mirror(existing)
	}
	return existing, true
}

// findHolder queries the peers and returns the address of a request's holder.
func (g *Gateway) findHolder(ctx context.Context, key string) (string, error) {
	ctx, cancel := context.WithTimeout(ctx, findTimeout)
	defer cancel()
	found := make(chan string, maxFindPeers)
	group, ctx := errgroup.WithContext(ctx)
	for i, address := range g.Peers.Ranked(key) {
		if i == maxFindPeers {
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
	for try := 0; try < maxMirrorFailures && r.log.Ended() == nil; try++ {
		_, address := r.location()
		_ = g.Peers.Attach(ctx, address, r.key, int64(r.log.Tokens()), func(data []byte) error {
			try = 0
			return g.appendPiece(r, data)
		})
		if r.log.Ended() != nil || clock.Sleep(ctx, mirrorRetryDelay) != nil {
			break
		}
		if holder, err := g.findHolder(ctx, r.key); err == nil {
			r.mu.Lock()
			r.holderAddress = holder
			r.mu.Unlock()
		}
	}
	if r.log.Ended() == nil {
		r.finish(g.Clock(), endWithError(problem.New(problem.AnswerLost, "lost the instance that held the request")))
	}
}

func (g *Gateway) appendPiece(r *run, data []byte) error {
	var piece handover.Piece
	if err := handover.Decode(data, &piece); err != nil {
		return err
	}
	for i, token := range piece.Tokens {
		count := r.log.Tokens()
		if piece.From+i > count {
			return errors.Errorf("tokens %d to %d are missing", count, piece.From+i)
		}
		if piece.From+i == count {
			r.log.Append(token)
		}
	}
	if piece.End != nil {
		r.finish(g.Clock(), piece.End.Answer())
	}
	return nil
}

// HandOver starts handing all unfinished model requests over to other entry instances and
// returns their number. The answers are still forwarded to callers that are connected here.
func (g *Gateway) HandOver() int {
	count := 0
	for _, r := range g.runs.unfinished() {
		if g.requestHandOver(r) {
			count++
		}
	}
	return count
}

// requestHandOver cancels a run's current attempt, so that the run's goroutine hands the
// run over. It reports whether the run can be handed over.
func (g *Gateway) requestHandOver(r *run) bool {
	addresses := g.Peers.Ranked(r.key)
	if len(addresses) == 0 {
		return false
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.holderAddress != "" || r.attempts == 0 {
		return false
	}
	r.holderAddress = addresses[0]
	if r.current != nil {
		r.current.cancel(errHandedOver)
	}
	return true
}

// handOverRun hands a run over to a peer and mirrors the answer from there. If no
// peer accepts it, the run continues on this instance.
func (g *Gateway) handOverRun(r *run) {
	g.admitter.release(r.key, r.promptSize+r.log.Tokens())
	address, err := g.sendHandOver(r)
	if err != nil {
		g.Log.WithField("request_id", r.id).Warn("gateway: hand-over failed: " + err.Error())
		r.mu.Lock()
		r.holderAddress = ""
		r.mu.Unlock()
		g.generate(r)
		return
	}
	r.mu.Lock()
	r.holderAddress, r.remote = address, true
	r.current = nil
	r.mu.Unlock()
	g.Metrics.countHandOver(r.file.Name)
	g.mirror(r)
}

func (g *Gateway) sendHandOver(r *run) (string, error) {
	state, err := handover.Encode(r.handOverState(g.Clock()))
	if err != nil {
		return "", err
	}
	err = errNotHeld
	for _, address := range g.Peers.Ranked(r.key) {
		ctx, cancel := context.WithTimeout(r.ctx, handOverTimeout)
		err = g.Peers.HandOver(ctx, address, r.key, r.body, state)
		cancel()
		if err == nil {
			return address, nil
		}
	}
	return "", err
}

func (r *run) handOverState(now time.Time) handover.State {
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

// TakeOver continues a request that another entry instance cannot finish. A request that
// this instance already holds is not started again.
func (g *Gateway) TakeOver(key string, body, state []byte) error {
	var received handover.State
	if err := handover.Decode(state, &received); err != nil {
		return err
	}
	r, err := g.restoreRun(key, body, received)
	if err != nil {
		return err
	}
	if _, added := g.runs.add(r); added {
		g.Metrics.countTakeOver(r.file.Name)
		go g.generate(r)
	}
	return nil
}

func (g *Gateway) restoreRun(key string, body []byte, state handover.State) (*run, error) {
	file, found := g.Configuration.Service(state.Service)
	if !found || file.Model == nil {
		return nil, problem.New(problem.UnknownService, "no model service %q here", state.Service)
	}
	parsed, err := parseChat(body)
	if err != nil {
		return nil, err
	}
	prompt := parsed.prompt()
	if err := parsed.applyLimits(file.Model, prefix.Tokens(len(prompt))); err != nil {
		return nil, err
	}
	now := g.Clock()
	r := &run{
		key: key, id: requestIDOf(key), file: file, account: state.Account, priority: state.Priority,
		deadline: now.Add(time.Duration(state.RemainingMS) * time.Millisecond),
		body:     body, fingerprint: state.Fingerprint, chat: parsed,
		blocks: prefix.Blocks(prompt), promptSize: prefix.Tokens(len(prompt)),
		log: answer.NewLog(), attempts: state.Attempts, startedAt: now, readersChangedAt: now,
	}
	if !r.log.Restore(state.Text, state.Ends) {
		return nil, problem.New(problem.BadRequest, "text and token boundaries of the handed-over answer are inconsistent")
	}
	r.assembly = r.newAssembly()
	r.assembly.Resume(len(state.Ends))
	r.ctx, r.cancel = context.WithCancelCause(context.Background())
	return r, nil
}

// requestIDOf returns the request id in a run's key.
func requestIDOf(key string) string {
	for i := len(key) - 1; i >= 0; i-- {
		if key[i] == '/' {
			return key[i+1:]
		}
	}
	return key
}

// Holds reports whether this instance runs a request or still retains its ended answer.
func (g *Gateway) Holds(key string) bool {
	r, found := g.runs.get(key)
	if !found {
		return false
	}
	_, holder := r.location()
	return holder == "" || r.log.Ended() != nil
}

// Attach sends the pieces of a request's answer from token next on until the answer ends.
func (g *Gateway) Attach(ctx context.Context, key string, next int64, send func(piece []byte) error) error {
	r, found := g.runs.get(key)
	if !found {
		return errNotHeld
	}
	r.addReaders(1, g.Clock())
	defer func() { r.addReaders(-1, g.Clock()) }()
	for offset := int(next); ; {
		batch, err := r.log.Read(ctx, offset, batchTokens, nil)
		if err != nil {
			return err
		}
		data, err := handover.Encode(handover.NewPiece(batch))
		if err != nil {
			return err
		}
		if err := send(data); err != nil || batch.End != nil {
			return err
		}
		offset += len(batch.Tokens)
	}
}
