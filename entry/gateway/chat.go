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

// chat is the body of a chat-completions request, as far as it is used. Fields that
// are not known are accepted and ignored, as callers' libraries send many.
type chat struct {
	Model     string           `json:"model"`
	Messages  []engine.Message `json:"messages"`
	MaxTokens int              `json:"max_tokens"`
	Stream    bool             `json:"stream"`
}

const maxMessages = 1_000

func parseChat(body []byte) (chat, error) {
	var parsed chat
	if err := json.NewDecoder(bytes.NewReader(body)).Decode(&parsed); err != nil {
		return parsed, problem.New(problem.BadRequest, "the body is no chat completion: %v", err)
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

// bound applies the service's limits to the request.
func (c *chat) bound(model *service.Model, promptTokens int) error {
	if c.MaxTokens == 0 || c.MaxTokens > model.MaxTokens {
		c.MaxTokens = model.MaxTokens
	}
	if model.ContextTokens > 0 && promptTokens+c.MaxTokens > model.ContextTokens {
		return problem.New(problem.BadRequest, "prompt of about %d tokens and max_tokens %d are over the context of %d tokens",
			promptTokens, c.MaxTokens, model.ContextTokens)
	}
	return nil
}

// prompt returns the text whose prefixes engines cache.
func (c *chat) prompt() string { return engine.Prompt(c.Messages) }

func (g *Gateway) serveChat(w http.ResponseWriter, c *call) {
	if c.http.Method != http.MethodPost {
		g.refuse(w, c, problem.New(problem.UnknownRoute, "%s takes POST", chatPath))
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
	r, err := g.find(c, body, last)
	if err != nil {
		g.refuse(w, c, err)
		return
	}
	now := g.Clock()
	r.read(1, now)
	defer func() { r.read(-1, g.Clock()) }()
	g.deliver(w, c, r, body.Stream, last.next)
}

// lastEvent is the place at which a caller comes back.
type lastEvent struct {
	given bool
	// next is the index of the first token that the caller lacks.
	next int
}

// parseLastEvent reads "REQUEST" or "REQUEST:INDEX". The request named there is the
// one that the call is about.
func parseLastEvent(text string, c *call) (lastEvent, error) {
	if text == "" {
		return lastEvent{}, nil
	}
	id, index, found := strings.Cut(text, ":")
	if !validID(id) || (c.given && id != c.id) {
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

// find returns the run that a call is about: one that is held here, one that another
// entry instance holds, or a new one.
func (g *Gateway) find(c *call, body chat, last lastEvent) (*run, error) {
	key := c.file.Name + "/" + c.account.Name + "/" + c.id
	fingerprint := handover.Fingerprint(c.body)
	if held, found := g.runs.get(key); found && !held.failed() {
		return matching(held, fingerprint)
	}
	fresh := newRun(key, c, body)
	if last.given {
		if r, found := g.adoptRemote(c.http.Context(), fresh); found {
			return r, nil
		}
		if last.next > 0 {
			return nil, problem.New(problem.UnknownRequest, "no instance holds request %s", c.id)
		}
	}
	return g.start(c, fresh)
}

func matching(held *run, fingerprint uint64) (*run, error) {
	if held.fingerprint != fingerprint {
		return nil, problem.New(problem.KeyConflict, "request id %s belongs to another body", held.id)
	}
	return held, nil
}

// start admits a new run and lets it go.
func (g *Gateway) start(c *call, fresh *run) (*run, error) {
	if err := fresh.chat.bound(fresh.file.Model, fresh.promptSize); err != nil {
		return nil, err
	}
	fresh.assembly = fresh.newAssembly()
	held, added := g.runs.add(fresh)
	if !added {
		return matching(held, fresh.fingerprint)
	}
	if err := g.admitRun(c.http.Context(), fresh); err != nil {
		g.runs.remove(fresh)
		fresh.finish(g.Clock(), endWith(err))
		return nil, err
	}
	go g.generate(fresh)
	return fresh, nil
}

func (g *Gateway) admitRun(ctx context.Context, r *run) error {
	return g.admitter.admit(ctx, admission.Ask{
		RequestID: r.key, Service: r.file.Name, Account: r.account, Priority: r.priority,
		Tokens: r.promptSize + r.chat.MaxTokens, Deadline: r.deadline,
	})
}
