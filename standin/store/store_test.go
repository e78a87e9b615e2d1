package store

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/pkg/errors"
	"github.com/stretchr/testify/require"

	"papayaport.dev/serving/process/platform"
	client "papayaport.dev/serving/process/platform/store"
)

func startStore(t *testing.T, cfg Config) (*Store, *client.Client, string) {
	t.Helper()
	s := New(cfg)
	server := httptest.NewServer(s)
	t.Cleanup(func() {
		server.CloseClientConnections()
		server.Close()
	})
	return s, client.New(&http.Client{Transport: &http.Transport{}}, server.URL, "rahmeh/"), server.URL
}

func TestCompareAndSwap(t *testing.T) {
	ctx := context.Background()
	s, c, _ := startStore(t, Config{})
	_, err := c.Get(ctx, "config/head")
	require.ErrorIs(t, err, client.ErrNotFound)
	first, err := c.Put(ctx, "config/head", []byte("one"), 0)
	require.NoError(t, err)

	_, err = c.Put(ctx, "config/head", []byte("two"), 0)
	var conflict *client.Conflict
	require.ErrorAs(t, err, &conflict)
	require.Equal(t, platform.Entry{Key: "config/head", Value: []byte("one"), Revision: first.Revision}, conflict.Entry)

	second, err := c.Put(ctx, "config/head", []byte("two"), first.Revision)
	require.NoError(t, err)
	require.Greater(t, second.Revision, first.Revision)
	_, err = c.Put(ctx, "config/other/ä b", []byte("x"), client.AnyRevision)
	require.NoError(t, err)
	all, err := c.List(ctx, "config/")
	require.NoError(t, err)
	require.Len(t, all.Entries, 2)
	require.Equal(t, "config/other/ä b", all.Entries[1].Key)

	require.ErrorAs(t, c.Delete(ctx, "config/head", first.Revision), &conflict)
	require.NoError(t, c.Delete(ctx, "config/head", second.Revision))
	_, err = c.Get(ctx, "config/head")
	require.ErrorIs(t, err, client.ErrNotFound)
	_, err = c.Put(ctx, "big", make([]byte, platform.MaxValueBytes+1), 0)
	require.ErrorContains(t, err, "allowed")
	require.Equal(t, Calls{Get: 2, List: 1, Put: 4, Delete: 2}, s.Calls())
	require.Equal(t, uint64(5), c.Calls()["put"], "a value over the limit is refused before it is sent")
}

func TestWatchWaitsForChanges(t *testing.T) {
	ctx := context.Background()
	_, c, _ := startStore(t, Config{})
	first, err := c.Put(ctx, "config/head", []byte("one"), 0)
	require.NoError(t, err)
	none, err := c.Watch(ctx, "config/", first.Revision, 20*time.Millisecond)
	require.NoError(t, err)
	require.Empty(t, none.Entries)

	done := make(chan platform.Entries, 1)
	go func() {
		watched, _ := c.Watch(ctx, "config/", first.Revision, 10*time.Second)
		done <- watched
	}()
	_, err = c.Put(ctx, "elsewhere", []byte("x"), 0)
	require.NoError(t, err)
	require.NoError(t, c.Delete(ctx, "config/head", first.Revision))
	watched := <-done
	require.Len(t, watched.Entries, 1)
	require.True(t, watched.Entries[0].Deleted)
	require.Equal(t, "config/head", watched.Entries[0].Key)
}

func TestLeaseIsFenced(t *testing.T) {
	ctx := context.Background()
	_, c, url := startStore(t, Config{})
	first, err := c.Acquire(ctx, "capacity/a", "entry-1", 80*time.Millisecond)
	require.NoError(t, err)
	again, err := c.Acquire(ctx, "capacity/a", "entry-1", 80*time.Millisecond)
	require.NoError(t, err)
	require.Equal(t, first.Fencing, again.Fencing)
	var conflict *client.Conflict
	_, err = c.Acquire(ctx, "capacity/a", "entry-2", time.Second)
	require.ErrorAs(t, err, &conflict)
	require.Equal(t, "entry-1", conflict.Lease.Holder)

	require.Equal(t, http.StatusOK, putWithLease(t, url, "rahmeh/capacity/a", first.Fencing))
	time.Sleep(200 * time.Millisecond)
	_, err = c.Renew(ctx, "capacity/a", "entry-1", first.Fencing, time.Second)
	require.ErrorAs(t, err, &conflict, "a lapsed lease is not renewed")
	second, err := c.Acquire(ctx, "capacity/a", "entry-2", time.Minute)
	require.NoError(t, err)
	require.Greater(t, second.Fencing, first.Fencing)
	require.Equal(t, http.StatusConflict, putWithLease(t, url, "rahmeh/capacity/a", first.Fencing))
	require.Error(t, c.Release(ctx, "capacity/a", "entry-1", first.Fencing))
	require.NoError(t, c.Release(ctx, "capacity/a", "entry-2", second.Fencing))
	_, err = c.Acquire(ctx, "capacity/a", "entry-1", time.Minute)
	require.NoError(t, err)
}

func putWithLease(t *testing.T, url, lease string, fencing uint64) int {
	t.Helper()
	target := fmt.Sprintf("%s%s/plan?lease=%s:%d", url, platform.KeysPath, lease, fencing)
	req, err := http.NewRequest(http.MethodPut, target, strings.NewReader(`{"value":""}`))
	require.NoError(t, err)
	resp, err := http.DefaultClient.Do(req)
	require.NoError(t, err)
	_ = resp.Body.Close()
	return resp.StatusCode
}

func TestFaultsReportKnownResult(t *testing.T) {
	tests := map[string]struct {
		faults  Faults
		err     error
		written bool
	}{
		"outage":          {Faults{Outage: true}, client.ErrUnavailable, false},
		"answer is lost":  {Faults{LoseAnswers: 1}, client.ErrUnknown, true},
		"request is lost": {Faults{LoseRequests: 1}, client.ErrUnknown, false},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			ctx := context.Background()
			s, c, _ := startStore(t, Config{})
			s.SetFaults(test.faults)
			_, err := c.Put(ctx, "key", []byte("x"), 0)
			require.ErrorIs(t, err, test.err)
			s.SetFaults(Faults{})
			_, err = c.Get(ctx, "key")
			require.Equal(t, test.written, err == nil)
		})
	}
	t.Run("nobody listens", func(t *testing.T) {
		c := client.New(http.DefaultClient, "http://127.0.0.1:1", "")
		_, err := c.Put(context.Background(), "key", nil, 0)
		require.ErrorIs(t, err, client.ErrUnavailable)
	})
	t.Run("over the rate", func(t *testing.T) {
		s, c, _ := startStore(t, Config{WritesPerSecond: 4})
		_, err := c.Put(context.Background(), "a", nil, 0)
		require.NoError(t, err)
		_, err = c.Put(context.Background(), "b", nil, 0)
		require.ErrorIs(t, err, client.ErrUnavailable)
		require.Equal(t, uint64(1), s.Calls().Limited)
	})
	t.Run("stale", func(t *testing.T) {
		ctx := context.Background()
		s, c, _ := startStore(t, Config{})
		first, err := c.Put(ctx, "key", []byte("old"), 0)
		require.NoError(t, err)
		_, err = c.Put(ctx, "key", []byte("new"), first.Revision)
		require.NoError(t, err)
		s.SetFaults(Faults{StaleReads: 1})
		entry, err := c.Get(ctx, "key")
		require.NoError(t, err)
		require.Equal(t, "old", string(entry.Value))
	})
}

// Concurrent writers append their names to three keys by compare-and-swap, while requests and
// answers are lost, and resolve each unknown result by a read. Every name must be stored exactly
// once.
func TestStatefulSwapsUnderLostAnswers(t *testing.T) {
	s, c, _ := startStore(t, Config{})
	s.SetFaults(Faults{LoseAnswers: 0.3, LoseRequests: 0.2, Seed: 7})
	writers := writer{c: c, random: rand.New(rand.NewPCG(7, 7))}
	want := map[string][]string{}
	for i := 0; i < 120; i += 2 {
		key := fmt.Sprintf("names/%d", writers.random.IntN(3))
		want[key] = append(want[key], fmt.Sprint(i), fmt.Sprint(i+1))
		writers.add(t, key, fmt.Sprint(i), fmt.Sprint(i+1))
	}
	s.SetFaults(Faults{})
	for key, names := range want {
		entry, err := c.Get(context.Background(), key)
		require.NoError(t, err)
		require.ElementsMatch(t, names, strings.Fields(string(entry.Value)))
	}
}

type writer struct {
	c      *client.Client
	random *rand.Rand
}

// add appends a name. The other names are appended by writes between its read and its write.
func (w *writer) add(t *testing.T, key, name string, others ...string) {
	t.Helper()
	for range 50 {
		entry, _ := w.c.Get(context.Background(), key)
		if slices.Contains(strings.Fields(string(entry.Value)), name) {
			w.addAll(t, key, others)
			return
		}
		if w.random.IntN(2) == 0 {
			w.addAll(t, key, others)
			others = nil
		}
		_, err := w.c.Put(context.Background(), key, append(entry.Value, " "+name...), entry.Revision)
		if err == nil {
			w.addAll(t, key, others)
			return
		}
		var conflict *client.Conflict
		require.True(t, errors.As(err, &conflict) || errors.Is(err, client.ErrUnknown), "%v", err)
	}
	require.Fail(t, "all 50 attempts failed")
}

func (w *writer) addAll(t *testing.T, key string, names []string) {
	t.Helper()
	for _, name := range names {
		w.add(t, key, name)
	}
}
