package proof

import (
	"context"
	"net/http"
	"testing"

	"github.com/google/uuid"
	"github.com/stretchr/testify/require"

	wire "papayaport.dev/serving/connection/engine"
	"papayaport.dev/standin/caller"
	"papayaport.dev/standin/cloud"
	"papayaport.dev/standin/engine"
	"papayaport.dev/standin/launch"
	"papayaport.dev/standin/tenants"
	"papayaport.dev/standin/text"
)

const (
	// filingWords is the length in words of a filing of several thousand tokens.
	filingWords = 4000
	// recomputedShare is the fraction of a moved prompt that may be recomputed.
	recomputedShare = 0.1
)

// Within a notice of 2 s the KV cache of a long filing is transferred: the stream continues
// without missing or repeated tokens, and less than a tenth of the prompt is recomputed.
func TestReclaimTransfersKVCache(t *testing.T) {
	t.Parallel()
	ctx, s := start(t, launch.Plan{Tenants: []string{tenants.Villarreal}, Domains: []string{"a", "b"}, Entries: 2})
	tenant := s.Tenants[0]
	started := make(chan struct{}, longAnswer)
	id := uuid.NewString()
	chat := caller.Chat{
		Service: tenant.Model, Messages: question(id, text.Filing(11, filingWords)), MaxTokens: longAnswer, RequestID: id,
		Token: func(int, string) { started <- struct{}{} },
	}
	type result struct {
		answer caller.Answer
		err    error
	}
	done := make(chan result, 1)
	go func() {
		answer, err := newClient(s, tenant.Accounts[0]).Chat(ctx, chat)
		done <- result{answer, err}
	}()
	select {
	case <-started:
	case early := <-done:
		require.NoError(t, early.err)
	}
	from := runner(ctx, t, s, chat.Messages)
	require.NoError(t, s.Reclaim(ctx, cloud.Reclaim{Instances: []string{from.Instance.ID}, LeaveInMS: reclaimNotice.Milliseconds()}))
	got := <-done
	require.NoError(t, got.err)
	requireText(t, tenant, chat, got.answer)
	require.NoError(t, from.Wait(ctx))
	require.NotEqual(t, from, runner(ctx, t, s, chat.Messages), "the answer was moved to another engine")
	prompt := got.answer.Usage.PromptTokens
	recomputedTokens := recomputed(ctx, t, s)
	t.Logf("%d of %d prompt tokens recomputed", recomputedTokens, prompt)
	require.Less(t, float64(recomputedTokens), recomputedShare*float64(prompt))
}

// runner returns a running engine that has run a prompt.
func runner(ctx context.Context, t *testing.T, s *launch.System, messages []wire.Message) *launch.Process {
	t.Helper()
	for _, p := range s.Engines {
		if !p.Running() {
			continue
		}
		runs, err := s.EngineRuns(ctx, p)
		require.NoError(t, err)
		if runs.Prompts[engine.PromptID(messages)] > 0 {
			return p
		}
	}
	require.Fail(t, "no running engine has run the prompt")
	return nil
}

// recomputed returns the number of tokens that the running engines have recomputed.
func recomputed(ctx context.Context, t *testing.T, s *launch.System) int64 {
	t.Helper()
	total := int64(0)
	for _, p := range s.Engines {
		if !p.Running() {
			continue
		}
		load, err := wire.New(http.DefaultClient, p.URL()).Load(ctx)
		require.NoError(t, err)
		total += load.RecomputeTotal
	}
	return total
}
