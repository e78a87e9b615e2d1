package upstream_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"papayaport.dev/serving/connection/upstream"
)

const (
	// together is the number of answers without end that come at the same time.
	together = 200
	// mostMemory is what they may take in bytes: a quarter of the smallest instance of the
	// users' sheets, 184 MB.
	mostMemory = 46 << 20
)

// peakHeap returns the most heap in use while a function runs, over what there was before.
func peakHeap(run func()) uint64 {
	var before runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	var peak atomic.Uint64
	done := make(chan struct{})
	var sampler sync.WaitGroup
	sampler.Go(func() {
		for {
			var now runtime.MemStats
			runtime.ReadMemStats(&now)
			peak.Store(max(peak.Load(), now.HeapAlloc))
			select {
			case <-done:
				return
			case <-time.After(10 * time.Millisecond):
			}
		}
	})
	run()
	close(done)
	sampler.Wait()
	return peak.Load() - min(before.HeapAlloc, peak.Load())
}

// TestAnswersWithoutEnd guards against a backend server whose answer never ends and fills the
// memory of the instance that reads it.
func TestAnswersWithoutEnd(t *testing.T) {
	const status = "HTTP/1.1 200 OK\r\n"
	piece := strings.Repeat("x", 8<<10)
	for name, test := range map[string]struct{ begin, repeated string }{
		"a line":                {status + "X-Long: ", piece},
		"many lines":            {status, strings.Repeat("a: b\r\n", 1000)},
		"many different lines":  {status, ""},
		"folded lines":          {status + "X-Long: a\r\n", strings.Repeat(" b\r\n", 1000)},
		"a status line":         {"HTTP/1.1 200 ", piece},
		"interim answers":       {"", strings.Repeat("HTTP/1.1 100 Continue\r\n\r\n", 100)},
		"large interim answers": {"", "HTTP/1.1 103 Early Hints\r\n" + strings.Repeat("Link: a\r\n", 100) + "\r\n"},
		"answers to others":     {"", "HTTP/1.1 200 OK\r\nX-Id: other\r\nContent-Length: 2\r\n\r\nno"},
		"a body of another":     {status + "X-Id: other\r\nTransfer-Encoding: chunked\r\n\r\n", strings.Repeat("5\r\nwrong\r\n", 500)},
		"a chunk's size":        {status + "Transfer-Encoding: chunked\r\n\r\n1;ext=", piece},
		"chunk extensions":      {status + "Transfer-Encoding: chunked\r\n\r\n", "1;" + strings.Repeat("e", 3000) + "\r\nx\r\n"},
		"a trailer":             {status + "Transfer-Encoding: chunked\r\nTrailer: X-End\r\n\r\n0\r\nX-End: ", piece},
		"many trailers":         {status + "Transfer-Encoding: chunked\r\n\r\n0\r\n", strings.Repeat("a: b\r\n", 1000)},
		"no answer":             {"", "this is no answer "},
	} {
		t.Run(name, func(t *testing.T) {
			var opened, closed atomic.Int64
			address, _ := serve(t, func(conn net.Conn, requests *bufio.Reader) {
				opened.Add(1)
				defer closed.Add(1)
				if !read(requests) {
					return
				}
				_, err := io.WriteString(conn, test.begin)
				for number := 0; err == nil; number++ {
					repeated := test.repeated
					if repeated == "" {
						repeated = fmt.Sprintf("x-%d: y\r\n", number)
					}
					_, err = io.WriteString(conn, repeated)
				}
			})
			// Beside load some of so many connections take longer than the usual time.
			pool := upstream.New(upstream.Options{DialTimeout: 20 * time.Second, EchoHeader: "X-Id"})
			ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
			defer cancel()
			peak := peakHeap(func() {
				var group sync.WaitGroup
				for i := range together {
					group.Go(func() {
						server := upstream.Server{ID: fmt.Sprint("s", i), Incarnation: 1, Address: address}
						response, err := pool.Send(ctx, server, upstream.Request{ID: "1", Method: http.MethodPost, Target: "/", Host: "h"})
						if err != nil {
							return
						}
						defer response.Close()
						_, _ = io.Copy(io.Discard, io.LimitReader(response.Body, 1<<20)) // its reader bounds a body
					})
				}
				group.Wait()
			})
			t.Logf("%d MB, %d connections, %d of them closed", peak>>20, opened.Load(), closed.Load())
			require.NoError(t, ctx.Err(), "the answers are given up long before the deadline")
			require.Less(t, peak, uint64(mostMemory))
			require.Eventually(t, func() bool { return closed.Load() == together }, 5*time.Second, 10*time.Millisecond, "connections are closed")
		})
	}
}
