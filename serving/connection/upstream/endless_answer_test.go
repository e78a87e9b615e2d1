package upstream_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"papayaport.dev/serving/connection/upstream"
)

const (
	// concurrentAnswers is the number of concurrent endless answers.
	concurrentAnswers = 200
	// maxHeapBytes is the limit for their memory in bytes: a quarter of the smallest supported
	// instance, which has 184 MB.
	maxHeapBytes = 46 << 20
)

// peakHeap returns the peak of allocated heap bytes while a function runs, above the amount
// before the run.
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

// TestEndlessAnswers guards against a backend server whose endless answer exhausts the
// memory of the instance that reads it.
func TestEndlessAnswers(t *testing.T) {
	const status = "HTTP/1.1 200 OK\r\n"
	piece := strings.Repeat("x", 8<<10)
	for name, test := range map[string]struct{ begin, repeated string }{
		"a line":                    {status + "X-Long: ", piece},
		"many lines":                {status, strings.Repeat("a: b\r\n", 1000)},
		"many different lines":      {status, ""},
		"folded lines":              {status + "X-Long: a\r\n", strings.Repeat(" b\r\n", 1000)},
		"a status line":             {"HTTP/1.1 200 ", piece},
		"interim answers":           {"", strings.Repeat("HTTP/1.1 100 Continue\r\n\r\n", 100)},
		"large interim answers":     {"", "HTTP/1.1 103 Early Hints\r\n" + strings.Repeat("Link: a\r\n", 100) + "\r\n"},
		"answers to other requests": {"", "HTTP/1.1 200 OK\r\nX-Id: other\r\nContent-Length: 2\r\n\r\nno"},
		"a body of another request": {status + "X-Id: other\r\nTransfer-Encoding: chunked\r\n\r\n", strings.Repeat("5\r\nwrong\r\n", 500)},
		"a chunk's size":            {status + "Transfer-Encoding: chunked\r\n\r\n1;ext=", piece},
		"chunk extensions":          {status + "Transfer-Encoding: chunked\r\n\r\n", "1;" + strings.Repeat("e", 3000) + "\r\nx\r\n"},
		"a trailer":                 {status + "Transfer-Encoding: chunked\r\nTrailer: X-End\r\n\r\n0\r\nX-End: ", piece},
		"many trailers":             {status + "Transfer-Encoding: chunked\r\n\r\n0\r\n", strings.Repeat("a: b\r\n", 1000)},
		"no answer":                 {"", "this is no answer "},
	} {
		t.Run(name, func(t *testing.T) {
			var opened, closed atomic.Int64
			begin, repeated := []byte(test.begin), []byte(test.repeated)
			address, _ := serve(t, func(conn net.Conn, requests *bufio.Reader) {
				opened.Add(1)
				defer closed.Add(1)
				if !readRequest(requests) {
					return
				}
				// The server must not allocate for each write: the test measures the memory of the reader.
				_, err := conn.Write(begin)
				line := make([]byte, 0, 32)
				for number := int64(0); err == nil; number++ {
					repeated := repeated
					if len(repeated) == 0 {
						line = append(strconv.AppendInt(append(line[:0], "x-"...), number, 10), ": y\r\n"...)
						repeated = line
					}
					_, err = conn.Write(repeated)
				}
			})
			// On a loaded machine some of the many connections take longer than usual.
			pool := upstream.New(upstream.Options{DialTimeout: 20 * time.Second, EchoHeader: "X-Id"})
			ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
			defer cancel()
			peak := peakHeap(func() {
				var group sync.WaitGroup
				for i := range concurrentAnswers {
					group.Go(func() {
						server := upstream.Server{ID: fmt.Sprint("s", i), Incarnation: 1, Address: address}
						response, err := pool.Send(ctx, server, upstream.Request{ID: "1", Method: http.MethodPost, Target: "/", Host: "h"})
						if err != nil {
							return
						}
						defer response.Close()
						_, _ = io.Copy(io.Discard, io.LimitReader(response.Body, 1<<20)) // limiting the body is up to its reader
					})
				}
				group.Wait()
			})
			t.Logf("%d MB, %d connections, %d of them closed", peak>>20, opened.Load(), closed.Load())
			require.NoError(t, ctx.Err(), "all answers must be abandoned long before the deadline")
			require.Less(t, peak, uint64(maxHeapBytes))
			require.Eventually(t, func() bool { return closed.Load() == concurrentAnswers }, 5*time.Second, 10*time.Millisecond, "all connections must be closed")
		})
	}
}
