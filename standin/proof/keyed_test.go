package proof

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/google/uuid"
	"github.com/stretchr/testify/require"

	"papayaport.dev/serving/process/problem"
	"papayaport.dev/standin/launch"
	"papayaport.dev/standin/tenants"
	"papayaport.dev/standin/text"
)

// keyedDeadline is the deadline of a keyed request.
const keyedDeadline = 4 * time.Second

// action is a non-idempotent request that its caller may repeat.
type action struct {
	path string
	// key is the Idempotency-Key, empty for none.
	key string
	id  string
}

func newBooking(t *testing.T) action {
	t.Helper()
	key, err := uuid.NewV7()
	require.NoError(t, err)
	return action{path: "/bookings", key: key.String(), id: key.String()}
}

// result is the answer of one entry instance.
type result struct {
	entry    string
	status   int
	body     string
	document problem.Document
	// lost is set if the connection broke before the end of the answer.
	lost bool
}

func (r result) String() string {
	return fmt.Sprintf("%s: %d %s %s %s", r.entry, r.status, r.document.Kind, r.document.Outcome, r.document.Detail)
}

// sendTo sends an action once to one entry instance.
func sendTo(ctx context.Context, t *testing.T, p *launch.Process, a action) result {
	tenant := rahmeh(t)
	ctx, cancel := context.WithTimeout(ctx, keyedDeadline+4*time.Second)
	defer cancel()
	url := p.URL() + "/" + tenant.Plain + a.path
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(text.Booking(1, a.id)))
	require.NoError(t, err)
	req.GetBody = nil
	req.Header.Set("Authorization", "Bearer "+tenants.Key(tenant.Accounts[0]))
	req.Header.Set("X-Deadline-Ms", strconv.FormatInt(keyedDeadline.Milliseconds(), 10))
	if a.key != "" {
		req.Header.Set("Idempotency-Key", a.key)
	}
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Do(req)
	if err != nil {
		return result{entry: p.Name, lost: true}
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	r := result{entry: p.Name, status: resp.StatusCode, body: string(body), lost: err != nil}
	if resp.Header.Get("Content-Type") == problem.MediaType {
		_ = json.Unmarshal(body, &r.document)
	}
	return r
}

// sendToAll sends an action to several entry instances at once.
func sendToAll(ctx context.Context, t *testing.T, entries []*launch.Process, a action) []result {
	results := make([]result, len(entries))
	var group sync.WaitGroup
	for i, p := range entries {
		group.Add(1)
		go func() {
			defer group.Done()
			results[i] = sendTo(ctx, t, p, a)
		}()
	}
	group.Wait()
	return results
}

// runsOf returns the number of times that all plain services together ran an action.
func runsOf(ctx context.Context, t *testing.T, s *launch.System, a action) int {
	t.Helper()
	total := 0
	for _, p := range s.Services {
		runs, err := s.ServiceRuns(ctx, p)
		require.NoError(t, err)
		total += runs.IDs[a.id]
	}
	return total
}

// repeatUntilAnswered repeats an action at entry instances in turn until one answers with status
// 200.
func repeatUntilAnswered(ctx context.Context, t *testing.T, entries []*launch.Process, a action) result {
	t.Helper()
	var r result
	for i := range 20 {
		r = sendTo(ctx, t, entries[i%len(entries)], a)
		if r.status == http.StatusOK {
			return r
		}
		time.Sleep(300 * time.Millisecond)
	}
	t.Fatalf("no successful answer for action %s, last: %s", a.id, r)
	return r
}

// setServiceFaults sets the faults of all plain services.
func setServiceFaults(ctx context.Context, t *testing.T, s *launch.System, faults any) {
	t.Helper()
	for _, p := range s.Services {
		require.NoError(t, s.SetFaults(ctx, p.URL(), faults))
	}
}
