package distribution_test

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"papayaport.dev/serving/version/distribution"
)

// event is a step of the simulation.
type event struct {
	at  time.Time
	run func(now time.Time)
}

type events []event

func (e events) Len() int           { return len(e) }
func (e events) Less(i, j int) bool { return e[i].at.Before(e[j].at) }
func (e events) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)        { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

// simulation has a domain of instances, of which the first few are readers, all with slow links.
type simulation struct {
	t      *testing.T
	queue  events
	nodes  []*node
	free   []time.Time
	down   []time.Time
	inTime map[int]time.Time
	rate   float64
	random *rand.Rand
}

func (s *simulation) after(now time.Time, wait time.Duration, run func(time.Time)) {
	heap.Push(&s.queue, event{now.Add(wait), run})
}

// slowTimeout is the time limit of one request, as instances have it.
const slowTimeout = 700 * time.Millisecond

// step lets an instance make its next request, or look again after a while.
func (s *simulation) step(number int, now time.Time) {
	n := s.nodes[number]
	order, _, found := n.table.Next(now)
	if !found {
		s.after(now, 50*time.Millisecond, func(now time.Time) { s.step(number, now) })
		return
	}
	var source int
	_, err := fmt.Sscan(order.Address, &source)
	require.NoError(s.t, err)
	if now.Before(s.down[source]) {
		s.after(now, slowTimeout, func(now time.Time) {
			n.table.Fail(now, order)
			s.step(number, now)
		})
		return
	}
	if s.free[source].Before(now) {
		s.free[source] = now
	}
	size := 2 << 10
	if order.Chunk != "" {
		packed, _, err := s.nodes[source].archive.Chunk(order.Chunk)
		require.NoError(s.t, err)
		size = len(packed) + 100
	}
	s.free[source] = s.free[source].Add(time.Duration(float64(size) / s.rate * float64(time.Second)))
	wait := s.free[source].Sub(now) + time.Millisecond
	s.after(now, min(wait, slowTimeout), func(now time.Time) {
		if wait > slowTimeout {
			n.table.Fail(now, order)
		} else {
			n.answer(s.t, now, order, s.nodes[source])
		}
		if complete, done := n.table.Take(); done {
			n.adopt(complete.Version, complete.Raw)
			s.inTime[number] = now
		}
		s.step(number, now)
	})
}

// TestFleetsOnSlowLinks guards against copies that take longer than 3 s because many instances ask few
// readers at once, or because a reader ends meanwhile. The failure domains of fleets of 66 and 380
// instances have 17 and 64 of them.
func TestFleetsOnSlowLinks(t *testing.T) {
	for name, test := range map[string]struct {
		instances, readers int
		rate               float64
		killed             bool
	}{
		"8 instances":                    {8, 2, 10e6 / 8, false},
		"a domain of 17":                 {17, 2, 10e6 / 8, false},
		"a domain of 17, a reader ends":  {17, 2, 10e6 / 8, true},
		"a domain of 64":                 {64, 3, 20e6 / 8, false},
		"a domain of 64, a reader ends":  {64, 3, 20e6 / 8, true},
		"a domain of 64, larger readers": {64, 3, 200e6 / 8, true},
	} {
		t.Run(name, func(t *testing.T) {
			s := &simulation{
				t: t, free: make([]time.Time, test.instances), down: make([]time.Time, test.instances), rate: test.rate,
				inTime: map[int]time.Time{}, random: rand.New(rand.NewPCG(3, 3)),
			}
			now := time.Unix(1000, 0)
			for i := range test.instances {
				s.nodes = append(s.nodes, newNode(uint64(i)))
				if i >= test.readers {
					s.after(now, time.Duration(i)*time.Millisecond, func(now time.Time) { s.step(i, now) })
				}
			}
			for round, count := range []int{1400, 2800, 4200} {
				version := uint64(10 + round)
				raw := routes(version, count)
				began := now
				clear(s.inTime)
				for i := range test.readers {
					s.nodes[i].adopt(version, raw)
				}
				for i := test.readers; i < test.instances; i++ {
					// Each follower asks its readers in turn, every 300 ms.
					s.after(now, time.Duration(s.random.IntN(300))*time.Millisecond, func(time.Time) {
						for reader := range test.readers {
							s.nodes[i].table.Announce(distribution.Source{Address: fmt.Sprint(reader), Version: version})
						}
					})
				}
				if test.killed {
					s.after(now, 400*time.Millisecond, func(now time.Time) { s.down[0] = now.Add(5 * time.Second) })
				}
				end := began.Add(8 * time.Second)
				for s.queue.Len() > 0 && now.Before(end) {
					next := heap.Pop(&s.queue).(event)
					now = next.at
					next.run(now)
				}
				last := time.Duration(0)
				for i := test.readers; i < test.instances; i++ {
					require.EqualValues(t, raw, s.nodes[i].raw, "instance %d", i)
					last = max(last, s.inTime[i].Sub(began))
				}
				t.Logf("%d routes: in force everywhere after %.2f s", count, last.Seconds())
				require.LessOrEqual(t, last, 3*time.Second)
			}
		})
	}
}
