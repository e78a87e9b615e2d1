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

// streams is a set of chats in flight.
type streams struct {
	tenant  tenants.Tenant
	chats   []caller.Chat
	answers []caller.Answer
	errs    []error
	done    sync.WaitGroup
}

// sendFunc sends a chat: once with Client.Chat, or with Client.Persist, which resumes after every
// interruption.
type sendFunc func(*caller.Client, context.Context, caller.Chat) (caller.Answer, error)

var (
	once    sendFunc = (*caller.Client).Chat
	persist sendFunc = (*caller.Client).Persist
)

// stream starts chats, and returns when each of them has received its first token or ended.
func stream(ctx context.Context, t *testing.T, s *launch.System, send sendFunc, count, maxTokens int) *streams {
	t.Helper()
	tenant := rahmeh(t)
	out := &streams{
		tenant:  tenant,
		chats:   make([]caller.Chat, count),
		answers: make([]caller.Answer, count),
		errs:    make([]error, count),
	}
	var started sync.WaitGroup
	for i := range count {
		id := uuid.NewString()
		var first sync.Once
		started.Add(1)
		out.chats[i] = caller.Chat{
			Service:   tenant.Model,
			Messages:  question(id, text.CaseFile(uint64(i))),
			MaxTokens: maxTokens,
			RequestID: id,
			Token:     func(int, string) { first.Do(started.Done) },
		}
		out.done.Add(1)
		go func() {
			defer out.done.Done()
			defer first.Do(started.Done)
			account := tenant.Accounts[i%len(tenant.Accounts)]
			out.answers[i], out.errs[i] = send(newClient(s, account), ctx, out.chats[i])
		}()
	}
	started.Wait()
	return out
}

// requireComplete waits for all chats and checks that their answers are complete and correct.
func (s *streams) requireComplete(t *testing.T) {
	t.Helper()
	s.done.Wait()
	for i, chat := range s.chats {
		require.NoError(t, s.errs[i], "request %s got %d tokens", chat.RequestID, s.answers[i].Tokens)
		requireText(t, s.tenant, chat, s.answers[i])
	}
}

// countAt returns the number of chats whose prompt an engine has run.
func (s *streams) countAt(ctx context.Context, t *testing.T, system *launch.System, p *launch.Process) int {
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

// busiest returns the engine that has run the most chats.
func (s *streams) busiest(ctx context.Context, t *testing.T, system *launch.System) *launch.Process {
	t.Helper()
	var found *launch.Process
	most := 0
	for _, p := range system.Engines {
		if n := s.countAt(ctx, t, system, p); n > most {
			found, most = p, n
		}
	}
	require.NotNil(t, found, fmt.Sprintf("no engine has run any of %d chats", len(s.chats)))
	return found
}

// receiver waits until another engine than from has run one of the chats, and returns it.
func (s *streams) receiver(ctx context.Context, t *testing.T, system *launch.System, from *launch.Process) *launch.Process {
	t.Helper()
	var found *launch.Process
	require.Eventually(t, func() bool {
		for _, p := range system.Engines {
			if p != from && s.countAt(ctx, t, system, p) > 0 {
				found = p
			}
		}
		return found != nil
	}, reclaimNotice, 5*time.Millisecond, "no chat was moved to another engine")
	return found
}
