package logging_test

import (
	"bytes"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"papayaport.dev/serving/process/logging"
)

// blockedWriter blocks every write until release is closed.
type blockedWriter struct {
	release chan struct{}
	bytes.Buffer
}

func (s *blockedWriter) Write(p []byte) (int, error) {
	<-s.release
	return s.Buffer.Write(p)
}

// TestFloodNeitherBlocksNorGrows guards against log calls that block, or a queue that grows without
// bound, when many lines are logged while the output is blocked.
func TestFloodNeitherBlocksNorGrows(t *testing.T) {
	out := &blockedWriter{release: make(chan struct{})}
	w := logging.New(out, 8)
	start := time.Now()
	for i := range 1000 {
		_, err := fmt.Fprintf(w, "line %d\n", i)
		require.NoError(t, err)
	}
	require.Less(t, time.Since(start), time.Second)
	require.GreaterOrEqual(t, w.Dropped(), int64(1000-8-1))
	close(out.release)
	w.Close(time.Second)
	require.LessOrEqual(t, strings.Count(out.String(), "line"), 8+1+1)
}

func TestCloseWritesQueuedLines(t *testing.T) {
	var out bytes.Buffer
	w := logging.New(&out, 8)
	_, _ = w.Write([]byte("last words\n"))
	w.Close(time.Second)
	require.Equal(t, "last words\n", out.String())
	require.Zero(t, w.Dropped())
}
