package proof

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"testing"

	"github.com/google/uuid"
	"github.com/stretchr/testify/require"

	"papayaport.dev/standin/caller"
	"papayaport.dev/standin/engine"
	"papayaport.dev/standin/launch"
	"papayaport.dev/standin/tenants"
	"papayaport.dev/standin/text"
)

// largeAccounts are client accounts whose rate limits are well above the load.
var largeAccounts = []string{"amman-central-clinic", "irbid-north-clinic", "night-line"}

// minRequests is the number of requests that a load must exceed for its test to be meaningful.
const minRequests = 30

// load is a continuous mix of chats, lookups and keyed bookings, each sent once.
type load struct {
	system *launch.System
	tenant tenants.Tenant
	cancel context.CancelFunc
	group  sync.WaitGroup

	mu     sync.Mutex
	count  int
	faults []string
	keys   []string
}

// startLoad starts workers that each send requests one after another.
func startLoad(ctx context.Context, t *testing.T, s *launch.System, workers int) *load {
	t.Helper()
	ctx, cancel := context.WithCancel(ctx)
	l := &load{system: s, tenant: rahmeh(t), cancel: cancel}
	for worker := range workers {
		l.group.Add(1)
		go func() {
			defer l.group.Done()
			for i := 0; ctx.Err() == nil; i++ {
				l.send(worker, i)
			}
		}()
	}
	t.Cleanup(cancel)
	return l
}

// send sends one request and waits for its answer, even if the load is stopped meanwhile.
func (l *load) send(worker, number int) {
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	c := newClient(l.system, largeAccounts[worker%len(largeAccounts)])
	kinds := []func(context.Context, *caller.Client) error{l.chat, l.lookup, l.booking}
	err := kinds[number%len(kinds)](ctx, c)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.count++
	if err != nil {
		l.faults = append(l.faults, fmt.Sprintf("worker %d request %d: %v", worker, number, err))
	}
}

func (l *load) chat(ctx context.Context, c *caller.Client) error {
	id := uuid.NewString()
	messages := question(id, "how late may we call?")
	answer, err := c.Chat(ctx, caller.Chat{Service: l.tenant.Model, Messages: messages, MaxTokens: 48, RequestID: id})
	if err != nil {
		return err
	}
	if answer.Text != engine.Text(engine.Answer(l.tenant.ModelName(), messages, 48)) {
		return fmt.Errorf("chat %s has a wrong text", id)
	}
	return nil
}

func (l *load) lookup(ctx context.Context, c *caller.Client) error {
	reply, err := c.Call(ctx, caller.Call{Method: http.MethodGet, Path: "/" + l.tenant.Plain + "/status/urn-1"})
	if err == nil && reply.Status != http.StatusOK {
		return fmt.Errorf("lookup answered with status %d", reply.Status)
	}
	return err
}

func (l *load) booking(ctx context.Context, c *caller.Client) error {
	key, err := uuid.NewV7()
	if err != nil {
		return err
	}
	l.mu.Lock()
	l.keys = append(l.keys, key.String())
	l.mu.Unlock()
	path := "/" + l.tenant.Plain + "/bookings"
	call := caller.Call{Method: http.MethodPost, Path: path, Key: key.String(), Body: text.Booking(1, key.String())}
	reply, err := c.Call(ctx, call)
	if err == nil && reply.Status != http.StatusOK {
		return fmt.Errorf("booking answered with status %d", reply.Status)
	}
	return err
}

// completed returns the number of requests that have ended.
func (l *load) completed() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.count
}

// stop stops the load and waits for the requests in flight.
func (l *load) stop() {
	l.cancel()
	l.group.Wait()
}

// requireClean stops the load and checks that every request succeeded and every booking ran once.
func (l *load) requireClean(ctx context.Context, t *testing.T) {
	t.Helper()
	l.stop()
	t.Logf("%d requests, %d failed", l.count, len(l.faults))
	require.Empty(t, l.faults)
	require.Greater(t, l.count, minRequests, "too few requests for a load")
	runs := map[string]int{}
	for _, p := range l.system.Services {
		if !p.Running() {
			continue
		}
		counted, err := l.system.ServiceRuns(ctx, p)
		require.NoError(t, err)
		for key, n := range counted.Keys {
			runs[key] += n
		}
	}
	for _, key := range l.keys {
		require.Equal(t, 1, runs[key], "runs of booking %s", key)
	}
}
