package proof

import (
	"context"
	"sync"
	"testing"
	"time"

	"github.com/google/uuid"
	"github.com/stretchr/testify/require"

	"papayaport.dev/standin/caller"
	"papayaport.dev/standin/engine"
	"papayaport.dev/standin/engine/listener"
	"papayaport.dev/standin/launch"
	"papayaport.dev/standin/link"
	"papayaport.dev/standin/tenants"
	"papayaport.dev/standin/text"
)

// Each engine injects one fault. Callers receive their own complete answers, or an error where an
// invalid token is detectable only at the end, but never a wrong text with a final marker.
func TestNoWrongAnswerIsDelivered(t *testing.T) {
	t.Parallel()
	tests := map[string]struct {
		faults listener.Faults
		// lost is the maximum number of answers that may end with an error.
		lost int
	}{
		"nonsense":         {listener.Faults{Nonsense: true}, 0},
		"foreign attempts": {listener.Faults{ForeignAttempt: true}, 0},
		"truncated":        {listener.Faults{TruncateAfter: 5}, 0},
		"too many tokens":  {listener.Faults{ExtraTokens: 3}, 3},
		"closes":           {listener.Faults{CloseAfterRead: true}, 0},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			ctx, s := start(t, launch.Plan{Tenants: []string{tenants.Rahmeh}, Domains: []string{"a", "b", "c"}, Entries: 3})
			_, failed := sendChats(ctx, t, s, 30)
			require.Zero(t, failed, "no fault is set yet")
			test.faults.Times = 1
			for _, p := range s.Engines {
				require.NoError(t, s.SetFaults(ctx, p.URL(), test.faults))
			}
			complete, failed := sendChats(ctx, t, s, 18)
			t.Logf("%d complete, %d failed", complete, failed)
			require.LessOrEqual(t, failed, test.lost)
			require.Positive(t, faultsUsed(ctx, t, s), "no request was affected by a fault")
		})
	}
}

// faultsUsed returns the number of engines that have injected their fault.
func faultsUsed(ctx context.Context, t *testing.T, s *launch.System) int {
	t.Helper()
	count := 0
	for _, p := range s.Engines {
		left, err := s.EngineFaults(ctx, p)
		require.NoError(t, err)
		if left == (listener.Faults{}) {
			count++
		}
	}
	return count
}

// sendChats sends different chats concurrently, checks the text of each complete answer, and
// returns the numbers of complete and failed ones.
func sendChats(ctx context.Context, t *testing.T, s *launch.System, count int) (complete, failed int) {
	t.Helper()
	tenant := rahmeh(t)
	var group sync.WaitGroup
	var mu sync.Mutex
	for i := range count {
		group.Add(1)
		go func() {
			defer group.Done()
			id := uuid.NewString()
			chat := caller.Chat{
				Service: tenant.Model, Messages: question(id, text.NightChat(uint64(i))), MaxTokens: 40, RequestID: id,
			}
			answer, err := newClient(s, tenant.Accounts[i%len(tenant.Accounts)]).Chat(ctx, chat)
			mu.Lock()
			defer mu.Unlock()
			if err != nil {
				failed++
				t.Logf("request %s: %v", id, err)
				return
			}
			complete++
			if want := engine.Text(engine.Answer(tenant.ModelName(), chat.Messages, 40)); answer.Text != want {
				t.Errorf("request %s: got %q, want %q", id, answer.Text, want)
			}
		}()
	}
	group.Wait()
	return complete, failed
}

// All connections to the engines stop carrying data while new connections work: the streams on
// them continue without missing or repeated tokens.
func TestStreamsSurviveSilentConnections(t *testing.T) {
	t.Parallel()
	ctx, s := start(t, launch.Plan{Tenants: []string{tenants.Rahmeh}, Domains: []string{"a", "b"}, Entries: 2, Links: true})
	chats := stream(ctx, t, s, once, 6, 200)
	require.NoError(t, s.SetLinkFaults(ctx, link.Faults{Relay: "backend-*", Mode: link.Silent}))
	chats.requireComplete(t)
}

// A frozen engine resumes and sends the rest of answers that have been moved to other engines.
func TestLateAnswersOfResumedEngineAreDropped(t *testing.T) {
	t.Parallel()
	ctx, s := start(t, launch.Plan{Tenants: []string{tenants.Rahmeh}, Domains: []string{"a", "b"}, Entries: 2})
	chats := stream(ctx, t, s, once, 6, 400)
	frozen := chats.busiest(ctx, t, s)
	require.NoError(t, frozen.Freeze())
	time.Sleep(3 * time.Second)
	require.NoError(t, frozen.Resume())
	chats.requireComplete(t)
}
