package proof

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/google/uuid"
	"github.com/stretchr/testify/require"

	"papayaport.dev/standin/caller"
	"papayaport.dev/standin/engine"
	"papayaport.dev/standin/launch"
	"papayaport.dev/standin/tenants"
	"papayaport.dev/standin/text"
)

// streams are chats in flight.
type streams struct {
	tenant  tenants.Tenant
	chats   []caller.Chat
	answers []caller.Answer
	errs    []error
	done    sync.WaitGroup
}

// ask sends a chat in one of two ways: Client.Chat once, or Client.Persist, which comes
// back after every break.
type ask func(*caller.Client, context.Context, caller.Chat) (caller.Answer, error)

var (
	once    ask = (*caller.Client).Chat
	persist ask = (*caller.Client).Persist
)

// stream starts chats, and returns when each of them has its first token.
func stream(ctx context.Context, t *testing.T, s *launch.System, send ask, count, maxTokens int) *streams {
	t.Helper()
	tenant := rahmeh(t)
	out := &streams{
		tenant:  tenant,
		chats:   make([]caller.Chat, count),
		answers: make([]caller.Answer, count),
		errs:    make([]error, count),
	}
	var flowing sync.WaitGroup
	for i := range count {
		id := uuid.NewString()
		var first sync.Once
		flowing.Add(1)
		out.chats[i] = caller.Chat{
			Service:   tenant.Model,
			Messages:  question(id, text.CaseFile(uint64(i))),
			MaxTokens: maxTokens,
			RequestID: id,
			Token:     func(int, string) { first.Do(flowing.Done) },
		}
		out.done.Add(1)
		go func() {
			defer out.done.Done()
			defer first.Do(flowing.Done)
			account := tenant.Accounts[i%len(tenant.Accounts)]
			out.answers[i], out.errs[i] = send(fresh(s, account), ctx, out.chats[i])
		}()
	}
	flowing.Wait()
	return out
}

// requireWhole waits for all chats and compares their texts with the undisturbed ones.
func (s *streams) requireWhole(t *testing.T) {
	t.Helper()
	s.done.Wait()
	for i, chat := range s.chats {
		require.NoError(t, s.errs[i], "request %s got %d tokens", chat.RequestID, s.answers[i].Tokens)
		requireText(t, s.tenant, chat, s.answers[i])
	}
}

// runningAt counts the chats whose prompt ran at an engine.
func (s *streams) runningAt(ctx context.Context, t *testing.T, system *launch.System, p *launch.Process) int {
	t.Helper()
	runs, err := system.EngineRuns(ctx, p)
	require.NoError(t, err)
	count := 0
	for _, chat := range s.chats {
		if runs.Prompts[engine.PromptID(chat.Messages)] > 0 {
			count++
		}
	}
	return count
}

// busiest returns the engine at which most chats ran.
func (s *streams) busiest(ctx context.Context, t *testing.T, system *launch.System) *launch.Process {
	t.Helper()
	var found *launch.Process
	most := 0
	for _, p := range system.Engines {
		if n := s.runningAt(ctx, t, system, p); n > most {
			found, most = p, n
		}
	}
	require.NotNil(t, found, fmt.Sprintf("none of %d chats runs anywhere", len(s.chats)))
	return found
}

// receiver waits until another engine than from runs one of the chats, and returns it.
func (s *streams) receiver(ctx context.Context, t *testing.T, system *launch.System, from *launch.Process) *launch.Process {
	t.Helper()
	var found *launch.Process
	require.Eventually(t, func() bool {
		for _, p := range system.Engines {
			if p != from && s.runningAt(ctx, t, system, p) > 0 {
				found = p
			}
		}
		return found != nil
	}, notice, 5*time.Millisecond, "no chat moves")
	return found
}
