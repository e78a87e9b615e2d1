package plain

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	wire "papayaport.dev/serving/connection/engine"
)

func startService(t *testing.T) (*Service, string) {
	t.Helper()
	s := New(Config{Instance: "desk-a1", Incarnation: 7, Slots: 4})
	server := httptest.NewServer(s)
	t.Cleanup(func() {
		server.CloseClientConnections()
		server.Close()
	})
	return s, server.URL
}

func postBooking(url string, client *http.Client) (*http.Response, error) {
	req, err := http.NewRequest(http.MethodPost, url+"/bookings", strings.NewReader(`{"id":"slot-1"}`))
	if err != nil {
		return nil, err
	}
	req.Header.Set("Idempotency-Key", "k1")
	req.Header.Set(wire.AttemptHeader, "a1")
	return client.Do(req)
}

func setFaults(t *testing.T, url string, faults Faults) {
	t.Helper()
	data, err := json.Marshal(faults)
	require.NoError(t, err)
	resp, err := http.Post(url+"/standin/faults", "application/json", bytes.NewReader(data))
	require.NoError(t, err)
	require.Equal(t, http.StatusNoContent, resp.StatusCode)
	_ = resp.Body.Close()
}

func TestRunsAreCountedByKeyAndID(t *testing.T) {
	s, url := startService(t)
	for want := 1; want <= 2; want++ {
		resp, err := postBooking(url, http.DefaultClient)
		require.NoError(t, err)
		var answer Answer
		require.NoError(t, json.NewDecoder(resp.Body).Decode(&answer))
		_ = resp.Body.Close()
		require.Equal(t, Answer{Result: "booked", Path: "/bookings", ID: "slot-1", Instance: "desk-a1", Run: want}, answer)
		require.Equal(t, "a1", resp.Header.Get(wire.AttemptHeader))
		require.Equal(t, "7", resp.Header.Get(wire.IncarnationHeader))
	}
	resp, err := http.Get(url + "/status/slot-1")
	require.NoError(t, err)
	_ = resp.Body.Close()
	runs := s.Runs()
	require.Equal(t, map[string]int{"k1": 2}, runs.Keys)
	require.Equal(t, map[string]int{"slot-1": 2}, runs.IDs)
	require.Equal(t, 1, runs.Lookups)
}

// net/http retries a POST with an Idempotency-Key when a reused connection is closed; the service
// must count both runs.
func TestRetriedPostOnReusedConnectionIsCounted(t *testing.T) {
	s, url := startService(t)
	client := &http.Client{Transport: &http.Transport{}}
	resp, err := client.Get(url + "/status/1")
	require.NoError(t, err)
	_, _ = new(bytes.Buffer).ReadFrom(resp.Body)
	_ = resp.Body.Close()
	setFaults(t, url, Faults{CloseAfterRead: true, RunBeforeClose: true, Times: 1, PostOnly: true})
	resp, err = postBooking(url, client)
	require.NoError(t, err)
	_ = resp.Body.Close()
	require.Equal(t, 2, s.Runs().Keys["k1"])
}

func TestFaults(t *testing.T) {
	tests := map[string]struct {
		faults Faults
		runs   int
		status int
	}{
		"refused":        {Faults{Refuse: true}, 0, http.StatusServiceUnavailable},
		"closed":         {Faults{CloseAfterRead: true}, 0, 0},
		"run and closed": {Faults{CloseAfterRead: true, RunBeforeClose: true}, 1, 0},
		"late":           {Faults{DelayMS: 5, AnswerDelayMS: 5}, 1, http.StatusOK},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			s, url := startService(t)
			setFaults(t, url, test.faults)
			resp, err := postBooking(url, &http.Client{Transport: &http.Transport{DisableKeepAlives: true}})
			status := 0
			if err == nil {
				status = resp.StatusCode
				_ = resp.Body.Close()
			}
			require.Equal(t, test.status, status)
			require.Equal(t, test.runs, s.Runs().Keys["k1"])
		})
	}
}

func TestReclaimIsReportedAndMarksLaterRuns(t *testing.T) {
	s, url := startService(t)
	ended := make(chan error, 1)
	go func() { ended <- s.Run(context.Background()) }()
	resp, err := http.Post(url+"/standin/reclaim", "application/json", strings.NewReader(`{"leave_in_ms":300}`))
	require.NoError(t, err)
	_ = resp.Body.Close()
	resp, err = postBooking(url, http.DefaultClient)
	require.NoError(t, err)
	_ = resp.Body.Close()
	require.Len(t, s.Runs().AfterNoticeMS, 1)
	load, err := wire.New(http.DefaultClient, url).Load(context.Background())
	require.NoError(t, err)
	require.True(t, load.Leaving)
	require.ErrorIs(t, <-ended, ErrReclaimed)
}
