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

// stuck blocks every write until it is released.
type stuck struct {
	release chan struct{}
	bytes.Buffer
}

func (s *stuck) Write(p []byte) (int, error) {
	<-s.release
	return s.Buffer.Write(p)
}

// TestFloodNeitherBlocksNorGrows answers a burst of failures while the reader of the
// log stands still.
func TestFloodNeitherBlocksNorGrows(t *testing.T) {
	out := &stuck{release: make(chan struct{})}
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

func TestCloseWritesWhatIsQueued(t *testing.T) {
	var out bytes.Buffer
	w := logging.New(&out, 8)
	_, _ = w.Write([]byte("last words\n"))
	w.Close(time.Second)
	require.Equal(t, "last words\n", out.String())
	require.Zero(t, w.Dropped())
}
