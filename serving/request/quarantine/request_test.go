package quarantine_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"papayaport.dev/serving/request/quarantine"
)

// Digests of requests.
const (
	deadlyRequest = 1 << 40
	soundRequest  = 2 << 40
)

// loss is a request that ends without an answer, in the crash of each of its servers, after seconds
// from the start.
type loss struct {
	after   float64
	request string
	servers []string
	content quarantine.Content
	// answered is set if another server answered the request in the end.
	answered bool
}

func lose(table *quarantine.Table, losses []loss) time.Time {
	now := start
	for _, one := range losses {
		now = start.Add(time.Duration(one.after * float64(time.Second)))
		for _, server := range one.servers {
			table.Lost(now, now, quarantine.Loss{Request: one.request, Server: server, Incarnation: 1, Content: one.content})
			now = now.Add(40 * time.Millisecond)
		}
		if len(one.servers) == 0 || one.answered {
			table.Served(now, quarantine.Answer{Server: "last", Incarnation: 1, Content: one.content, BegunAt: now})
		}
		table.Ended(now, one.request, one.answered)
	}
	return now.Add(settled)
}

func cause(table *quarantine.Table, now time.Time, content quarantine.Content) quarantine.Cause {
	found, _ := table.Check(now, content)
	return found
}

// TestRequests guards against a request that goes on crashing servers each time it comes again, and
// against the quarantine of sound requests that were in flight, or have the same prompt.
func TestRequests(t *testing.T) {
	dead := quarantine.Content{Digest: deadlyRequest}
	sound := quarantine.Content{Digest: soundRequest}
	deadPrompt := quarantine.Content{Digest: deadlyRequest, Parts: []uint64{first, second}}
	soundPrompt := quarantine.Content{Digest: soundRequest, Parts: []uint64{first, second}}
	for name, test := range map[string]struct {
		losses      []loss
		dead, sound quarantine.Content
		want        quarantine.Cause
	}{
		"one request": {[]loss{{1, "a", []string{"s1", "s2", "s3"}, dead, false}}, dead, sound, quarantine.None},
		"again":       {[]loss{{1, "a", []string{"s1", "s2"}, dead, false}, {2, "b", []string{"s3"}, dead, false}}, dead, sound, quarantine.Request},
		"again and not idempotent": {
			[]loss{{1, "a", []string{"s1"}, dead, false}, {2, "b", []string{"s2"}, dead, false}, {3, "c", []string{"s3"}, dead, false}},
			dead, sound, quarantine.Request,
		},
		"answered in the end": {
			[]loss{{1, "a", []string{"s1"}, dead, true}, {2, "b", []string{"s2"}, dead, true}, {3, "c", []string{"s3"}, dead, true}, {4, "d", []string{"s4"}, dead, true}},
			dead, sound, quarantine.None,
		},
		"answered between": {
			[]loss{{1, "a", []string{"s1", "s2"}, dead, false}, {2, "b", nil, dead, true}, {3, "c", []string{"s3"}, dead, false}},
			dead, sound, quarantine.None,
		},
		"a sound request in flight": {
			[]loss{
				{1, "a", []string{"s1", "s2"}, dead, false},
				{1.01, "x", []string{"s1", "s2"}, sound, false},
				{2, "b", []string{"s3", "s4"}, dead, false},
				{2.01, "y", []string{"s3"}, sound, false},
			}, dead, sound, quarantine.Request,
		},
		"a prompt that is not answered yet": {
			[]loss{{1, "a", []string{"s1", "s2"}, deadPrompt, false}, {2, "b", []string{"s3"}, deadPrompt, false}, {3, "c", []string{"s4"}, deadPrompt, false}},
			deadPrompt, soundPrompt, quarantine.Request,
		},
		"a sound request with the same prompt in flight": {
			[]loss{
				{0, "", nil, quarantine.Content{Digest: 5, Parts: []uint64{first}}, true},
				{1, "a", []string{"s1", "s2"}, deadPrompt, false},
				{1.01, "x", []string{"s1"}, soundPrompt, true},
				{2, "b", []string{"s3", "s4"}, deadPrompt, false},
				{2.01, "y", []string{"s3"}, soundPrompt, true},
			}, deadPrompt, soundPrompt, quarantine.Request,
		},
	} {
		t.Run(name, func(t *testing.T) {
			table := quarantine.New()
			now := lose(table, test.losses)
			require.Equal(t, test.want, cause(table, now, test.dead))
			require.Equal(t, quarantine.None, cause(table, now, test.sound))
		})
	}
}

// TestPartOfManyRequests guards against requests that are each quarantined on their own, while it
// is a part of their prompts that crashes servers.
func TestPartOfManyRequests(t *testing.T) {
	table := quarantine.New()
	with := func(digest uint64) quarantine.Content {
		return quarantine.Content{Digest: digest, Parts: []uint64{first, deadly}}
	}
	now := lose(table, []loss{
		{0, "", nil, quarantine.Content{Digest: 5, Parts: []uint64{first}}, true},
		{1, "a", []string{"s1", "s2"}, with(deadlyRequest), false},
		{2, "b", []string{"s3", "s4"}, with(deadlyRequest), false},
		{3, "c", []string{"s5"}, with(deadlyRequest + 1), false},
	})
	require.Equal(t, quarantine.Part, cause(table, now, with(deadlyRequest+2)))
	require.Equal(t, quarantine.None, cause(table, now, quarantine.Content{Digest: soundRequest, Parts: []uint64{first}}))
}

// TestPolledRequest guards against the quarantine of a request that callers repeat often, after a
// time in which servers crashed for another reason.
func TestPolledRequest(t *testing.T) {
	table := quarantine.New()
	polled := quarantine.Content{Digest: soundRequest}
	var losses []loss
	losses = append(losses, loss{0, "p", nil, polled, true})
	for i := range 5 {
		losses = append(losses, loss{1 + float64(i), fmt.Sprint("p", i), []string{fmt.Sprint("s", i)}, polled, false})
	}
	now := lose(table, losses)
	answerOthers(table, now)
	require.Equal(t, quarantine.None, cause(table, now, polled))
	now = lose(table, append(losses, loss{6, "p5", []string{"s5"}, polled, false}))
	answerOthers(table, now)
	require.Equal(t, quarantine.Request, cause(table, now, polled), "it may have become deadly")
}

// TestAnsweredRequestsAreNotReported guards against records and memory that grow with each request
// that another server answered after a crash.
func TestAnsweredRequestsAreNotReported(t *testing.T) {
	table := quarantine.New()
	now := start
	for i := range 10 {
		now = now.Add(settled)
		request := fmt.Sprint("r", i)
		table.Lost(now, now, quarantine.Loss{Request: request, Server: request, Content: quarantine.Content{Digest: soundRequest}})
		if i%2 == 0 {
			now = now.Add(settled) // the loss is judged before the request ends
			table.TakeChanges(now)
		}
		table.Ended(now, request, true)
	}
	require.True(t, table.All(now.Add(settled)).IsEmpty())
}

// TestSameCrashes guards against two requests that explain each other's crashes, so that neither is
// quarantined.
func TestSameCrashes(t *testing.T) {
	table := quarantine.New()
	dead, beside := quarantine.Content{Digest: deadlyRequest}, quarantine.Content{Digest: soundRequest}
	now := lose(table, []loss{
		{1, "a", []string{"s1", "s2"}, dead, false},
		{1, "x", []string{"s1", "s2"}, beside, false},
		{2, "b", []string{"s3"}, dead, false},
		{2, "y", []string{"s3"}, beside, false},
	})
	require.Equal(t, quarantine.Request, cause(table, now, dead))
}

// TestBoundsOfRequests guards against memory and records that grow with the requests that are in
// flight in crashes, and against the loss of a quarantined request among them.
func TestBoundsOfRequests(t *testing.T) {
	table := quarantine.New()
	dead := quarantine.Content{Digest: deadlyRequest}
	now := lose(table, []loss{{1, "a", []string{"s1", "s2"}, dead, false}, {2, "b", []string{"s3"}, dead, false}})
	for i := range uint64(1000) {
		now = now.Add(settled)
		request := fmt.Sprint("other ", i)
		table.Lost(now, now, quarantine.Loss{Request: request, Server: request, Incarnation: 1, Content: quarantine.Content{Digest: 1000 + i}})
		table.Ended(now, request, false)
	}
	now = now.Add(settled)
	require.LessOrEqual(t, len(table.All(now).Reports), 256+3)
	require.LessOrEqual(t, len(table.Own(now).Reports), 32+3)
	require.Equal(t, quarantine.Request, cause(table, now, dead))
}

// TestManyRequestsBetweenCrashes guards against the loss of what is known of a request while many
// others are lost once.
func TestManyRequestsBetweenCrashes(t *testing.T) {
	table := quarantine.New()
	dead := quarantine.Content{Digest: deadlyRequest}
	now := lose(table, []loss{{1, "a", []string{"s1", "s2"}, dead, false}})
	for i := range uint64(400) {
		now = now.Add(settled)
		request := fmt.Sprint("other ", i)
		table.Lost(now, now, quarantine.Loss{Request: request, Server: request, Incarnation: 1, Content: quarantine.Content{Digest: 1000 + i}})
		table.Ended(now, request, false)
	}
	table.Lost(now, now, quarantine.Loss{Request: "b", Server: "s3", Incarnation: 1, Content: dead})
	table.Ended(now, "b", false)
	require.Equal(t, quarantine.Request, cause(table, now.Add(settled), dead))
}

// TestFleetsWithDeadlyRequest guards against a request that no single instance sees often enough,
// through kills of instances between its crashes, and against the refusal of sound requests, of
// which many are in flight in each crash.
func TestFleetsWithDeadlyRequest(t *testing.T) {
	for name, test := range map[string]struct{ instances, killed int }{
		"8 instances":              {8, 0},
		"8 instances with kills":   {8, 2},
		"380 instances":            {380, 0},
		"380 instances with kills": {380, 100},
	} {
		t.Run(name, func(t *testing.T) {
			f := fleet{t, rand.New(rand.NewPCG(9, 9)), nil, map[int]bool{}, map[int]quarantine.Snapshot{}}
			for range test.instances {
				f.tables = append(f.tables, quarantine.New())
			}
			dead := quarantine.Content{Digest: deadlyRequest, Parts: []uint64{first, second}}
			now, crashes, late, refused := start, 0, 0, 0
			var third time.Time
			for tick := range 2000 {
				now = now.Add(10 * time.Millisecond)
				one := f.tables[f.random.IntN(len(f.tables))]
				if tick%40 == 0 && cause(one, now, dead) == quarantine.None {
					if crashes++; crashes == 3 {
						third = now
					}
					if !third.IsZero() && now.Sub(third) > 3*time.Second {
						late++
					}
					server, request := fmt.Sprint(tick), fmt.Sprint("dead ", tick)
					one.Lost(now, now, quarantine.Loss{Request: request, Server: server, Content: dead})
					one.Ended(now, request, false)
					// Sound requests are lost with it, at several instances; half of them are not repeated.
					for i := range uint64(20) {
						beside, id := f.tables[f.random.IntN(len(f.tables))], fmt.Sprint(request, i)
						content := quarantine.Content{Digest: f.random.Uint64(), Parts: []uint64{first, second}}
						beside.Lost(now, now, quarantine.Loss{Request: id, Server: server, Content: content})
						beside.Ended(now, id, i%2 == 0)
					}
				}
				sound := quarantine.Content{Digest: f.random.Uint64(), Parts: []uint64{first, second}}
				if cause(one, now, sound) != quarantine.None {
					refused++
				}
				one.Served(now, quarantine.Answer{Server: "s", Incarnation: 1, Content: sound, BegunAt: now})
				if tick%100 == 99 {
					f.exchange(now)
					f.restart(now, test.killed)
				}
			}
			t.Logf("%d crashes, %d sound requests refused", crashes, refused)
			require.GreaterOrEqual(t, crashes, 3)
			require.LessOrEqual(t, late, 3, "requests later than contact_ms after the third crash")
			require.Zero(t, refused)
		})
	}
}
