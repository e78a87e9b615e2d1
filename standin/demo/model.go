package demo

import (
	"context"
	"time"

	"github.com/pkg/errors"

	wire "papayaport.dev/serving/connection/engine"
	"papayaport.dev/standin/caller"
	"papayaport.dev/standin/cloud"
	"papayaport.dev/standin/engine"
	"papayaport.dev/standin/launch"
	"papayaport.dev/standin/tenants"
	"papayaport.dev/standin/text"
)

const (
	filingWords = 4000
	shortAnswer = 48
	// movedAnswer is the length in tokens of an answer that takes longer than reclaimNotice.
	movedAnswer   = 800
	reclaimNotice = 2 * time.Second
)

func engineConfig() engine.Config {
	cfg := engine.Default()
	cfg.LoadLagMS, cfg.EventLagMS = 200, 200
	return cfg
}

// sendChat sends a chat and checks its answer.
func (d *demo) sendChat(ctx context.Context, t tenants.Tenant, account string, chat caller.Chat) (caller.Answer, error) {
	chat.Service = t.Model
	answer, err := d.clientFor(account).Chat(ctx, chat)
	if err != nil {
		return answer, err
	}
	return answer, check(t.ModelName(), chat.Messages, chat.MaxTokens, answer)
}

func check(model string, messages []wire.Message, maxTokens int, answer caller.Answer) error {
	want := engine.Answer(model, messages, maxTokens)
	if answer.Text != engine.Text(want) {
		return errors.Errorf("the text differs from the expected answer: got %d of %d tokens", answer.Tokens, len(want))
	}
	if answer.Usage == nil {
		return errors.New("the answer has no usage")
	}
	return nil
}

func (d *demo) filing(ctx context.Context) error {
	t := d.tenant(tenants.Villarreal)
	filing := text.Filing(1, filingWords)
	for i := range uint64(2) {
		chat := caller.Chat{Messages: userMessage(filing + text.Claim(i)), MaxTokens: shortAnswer}
		answer, err := d.sendChat(ctx, t, "express-newsroom", chat)
		if err != nil {
			return err
		}
		d.detail("%d prompt tokens, %d of them cached, first token after %d ms, %d tokens",
			answer.Usage.PromptTokens, answer.Usage.CachedTokens, answer.FirstToken.Milliseconds(), answer.Tokens)
		if i == 1 && answer.Usage.CachedTokens == 0 {
			return errors.New("no prompt token of the second question was cached")
		}
	}
	return nil
}

func (d *demo) nightChat(ctx context.Context) error {
	chat := caller.Chat{Messages: userMessage(text.NightChat(3)), MaxTokens: shortAnswer}
	answer, err := d.sendChat(ctx, d.tenant(tenants.Rahmeh), "night-line", chat)
	if err != nil {
		return err
	}
	d.detail("%q", text.NightChat(3))
	d.detail("first token after %d ms, %d tokens, at most %d ms between two tokens",
		answer.FirstToken.Milliseconds(), answer.Tokens, answer.LongestGap.Milliseconds())
	return nil
}

// chatResult is the result of a chat that runs in the background.
type chatResult struct {
	answer caller.Answer
	err    error
}

func (d *demo) reclaim(ctx context.Context) error {
	t := d.tenant(tenants.Rahmeh)
	chat := caller.Chat{Messages: userMessage(text.CaseFile(5)), MaxTokens: movedAnswer}
	started := make(chan struct{})
	chat.Token = func(index int, _ string) {
		if index == 0 {
			close(started)
		}
	}
	done := make(chan chatResult, 1)
	go func() {
		answer, err := d.sendChat(ctx, t, "irbid-north-clinic", chat)
		done <- chatResult{answer, err}
	}()
	select {
	case <-started:
	case early := <-done:
		return errors.Wrap(early.err, "the answer ended before the reclaim")
	}
	from, err := d.engineOf(ctx, chat.Messages)
	if err != nil {
		return err
	}
	d.detail("%s streams the answer and receives a reclaim notice of %s", from.Name, reclaimNotice)
	notice := cloud.Reclaim{Instances: []string{from.Instance.ID}, LeaveInMS: reclaimNotice.Milliseconds()}
	if err := d.system.Reclaim(ctx, notice); err != nil {
		return err
	}
	result := <-done
	if result.err != nil {
		return result.err
	}
	if err := from.Wait(ctx); err != nil {
		return err
	}
	d.detail("%s has exited, the answer has all %d tokens in order, at most %d ms between two tokens",
		from.Name, result.answer.Tokens, result.answer.LongestGap.Milliseconds())
	return nil
}

// engineOf returns an engine that has run a prompt.
func (d *demo) engineOf(ctx context.Context, messages []wire.Message) (*launch.Process, error) {
	for _, p := range d.system.Engines {
		runs, err := d.system.EngineRuns(ctx, p)
		if err != nil {
			return nil, err
		}
		if runs.Prompts[engine.PromptID(messages)] > 0 {
			return p, nil
		}
	}
	return nil, errors.New("no engine has run the prompt")
}
