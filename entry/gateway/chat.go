package gateway

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"strconv"
	"strings"

	"papayaport.dev/serving/connection/engine"
	"papayaport.dev/serving/process/problem"
	"papayaport.dev/serving/request/admission"
	"papayaport.dev/serving/request/handover"
	"papayaport.dev/serving/version/service"
)

// chatRequest holds the fields of a chat-completions request that the gateway uses. Other fields
// are ignored, since client libraries send many of them.
type chatRequest struct {
	Model     string           `json:"model"`
	Messages  []engine.Message `json:"messages"`
	MaxTokens int              `json:"max_tokens"`
	Stream    bool             `json:"stream"`
}

const maxMessages = 1_000

func parseChat(body []byte) (chatRequest, error) {
	var parsed chatRequest
	if err := json.NewDecoder(bytes.NewReader(body)).Decode(&parsed); err != nil {
		return parsed, problem.New(problem.BadRequest, "the body is not a valid chat completion request: %v", err)
	}
	if parsed.Model == "" {
		return parsed, problem.New(problem.BadRequest, "model must name a service")
	}
	if len(parsed.Messages) == 0 || len(parsed.Messages) > maxMessages {
		return parsed, problem.New(problem.BadRequest, "messages must hold 1 to %d messages", maxMessages)
	}
	if parsed.MaxTokens < 0 {
		return parsed, problem.New(problem.BadRequest, "max_tokens must not be negative")
	}
	return parsed, nil
}

// applyLimits applies the model's limits to the request.
func (c *chatRequest) applyLimits(model *service.Model, promptTokens int) error {
	if c.MaxTokens == 0 || c.MaxTokens > model.MaxTokens {
		c.MaxTokens = model.MaxTokens
	}
	if model.ContextTokens > 0 && promptTokens+c.MaxTokens > model.ContextTokens {
		return problem.New(problem.BadRequest, "prompt of about %d tokens and max_tokens %d are over the context of %d tokens",
			promptTokens, c.MaxTokens, model.ContextTokens)
	}
	return nil
}

// prompt returns the prompt text, whose prefixes engines cache.
func (c *chatRequest) prompt() string { return engine.Prompt(c.Messages) }

func (g *Gateway) serveChat(w http.ResponseWriter, c *call) {
	if c.http.Method != http.MethodPost {
		g.refuse(w, c, problem.New(problem.UnknownRoute, "%s accepts only POST", chatPath))
		return
	}
	body, err := parseChat(c.body)
	if err == nil {
		err = g.identify(c, body.Model, service.ModelKind)
	}
	if err != nil {
		g.refuse(w, c, err)
		return
	}
	last, err := parseLastEvent(c.http.Header.Get(lastEventHeader), c)
	if err != nil {
		g.refuse(w, c, err)
		return
	}
	r, err := g.findRun(c, body, last)
	if err != nil {
		g.refuse(w, c, err)
		return
	}
	now := g.Clock()
	r.addReaders(1, now)
	defer func() { r.addReaders(-1, g.Clock()) }()
	g.deliver(w, c, r, body.Stream, last.next)
}

// lastEvent is the position from which a caller resumes an answer.
type lastEvent struct {
	given bool
	// next is the index of the first token to send.
	next int
}

// parseLastEvent parses "REQUEST" or "REQUEST:INDEX" and sets the call's id to REQUEST.
// An empty text is valid.
func parseLastEvent(text string, c *call) (lastEvent, error) {
	if text == "" {
		return lastEvent{}, nil
	}
	id, index, found := strings.Cut(text, ":")
	if !validID(id) || (c.idGiven && id != c.id) {
		return lastEvent{}, problem.New(problem.BadRequest, "%s must be REQUEST or REQUEST:INDEX", lastEventHeader)
	}
	c.id = id
	if !found {
		return lastEvent{given: true}, nil
	}
	last, err := strconv.Atoi(index)
	if err != nil || last < 0 {
		return lastEvent{}, problem.New(problem.BadRequest, "%s must be REQUEST or REQUEST:INDEX", lastEventHeader)
	}
	return lastEvent{given: true, next: last + 1}, nil
}

// findRun returns the run of a call: one that this instance holds, one that another entry
// instance holds, or a new one.
func (g *Gateway) findRun(c *call, body chatRequest, last lastEvent) (*run, error) {
	key := c.file.Name + "/" + c.account.Name + "/" + c.id
	fingerprint := handover.Fingerprint(c.body)
	if existing, found := g.runs.get(key); found && !existing.failed() {
		return checkFingerprint(existing, fingerprint)
	}
	r := newRun(key, c, body)
	if last.given {
		if remote, found := g.attachRemote(c.http.Context(), r); found {
			return remote, nil
		}
		if last.next > 0 {
			return nil, problem.New(problem.UnknownRequest, "no instance holds request %s", c.id)
		}
	}
	return g.startRun(c, r)
}

func checkFingerprint(existing *run, fingerprint uint64) (*run, error) {
	if existing.fingerprint != fingerprint {
		return nil, problem.New(problem.KeyConflict, "request id %s belongs to another body", existing.id)
	}
	return existing, nil
}

// startRun admits a new run and starts generating its answer.
func (g *Gateway) startRun(c *call, r *run) (*run, error) {
	if err := r.chat.applyLimits(r.file.Model, r.promptSize); err != nil {
		return nil, err
	}
	r.assembly = r.newAssembly()
	existing, added := g.runs.add(r)
	if !added {
		return checkFingerprint(existing, r.fingerprint)
	}
	if err := g.admitRun(c.http.Context(), r); err != nil {
		g.runs.remove(r)
		r.finish(g.Clock(), endWithError(err))
		return nil, err
	}
	go g.generate(r)
	return r, nil
}

func (g *Gateway) admitRun(ctx context.Context, r *run) error {
	return g.admitter.admit(ctx, admission.Ask{
		RequestID: r.key, Service: r.file.Name, Account: r.account, Priority: r.priority,
		Tokens: r.promptSize + r.chat.MaxTokens, Deadline: r.deadline,
	})
}
