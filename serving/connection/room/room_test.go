package room_test

import (
	"bytes"
	"context"
	"io"
	"strings"
	"sync"
	"testing"
	"testing/iotest"
	"time"

	"github.com/stretchr/testify/require"

	"papayaport.dev/serving/connection/room"
)

// endless gives the same byte for ever.
type endless struct{}

// Read implements io.Reader.
func (endless) Read(p []byte) (int, error) {
	for i := range p {
		p[i] = 'x'
	}
	return len(p), nil
}

func TestReadAll(t *testing.T) {
	const most = 300_000
	for name, test := range map[string]struct {
		in     io.Reader
		length int64
		room   int64
		bytes  int
		fails  error
	}{
		"nothing":                {strings.NewReader(""), -1, 0, 0, nil},
		"small, no room":         {strings.NewReader(strings.Repeat("x", 20_000)), -1, 0, 20_000, nil},
		"one byte at a time":     {iotest.OneByteReader(strings.NewReader(strings.Repeat("x", 5000))), -1, 0, 5000, nil},
		"as much as is allowed":  {bytes.NewReader(make([]byte, most)), -1, 1 << 20, most, nil},
		"one more":               {bytes.NewReader(make([]byte, most+1)), -1, 1 << 20, 0, room.ErrTooLarge},
		"endless":                {endless{}, -1, 1 << 20, 0, room.ErrTooLarge},
		"endless, no room":       {endless{}, -1, 0, 0, room.ErrFull},
		"broken off":             {iotest.TimeoutReader(iotest.OneByteReader(strings.NewReader("xx"))), -1, 0, 0, iotest.ErrTimeout},
		"large, all room is his": {bytes.NewReader(make([]byte, 200_000)), -1, 500_000, 200_000, nil},
		"told, nothing":          {strings.NewReader(""), 0, 0, 0, nil},
		"told":                   {bytes.NewReader(make([]byte, 200_000)), 200_000, 140_000, 200_000, nil},
		"told, too large":        {endless{}, most + 1, 1 << 20, 0, room.ErrTooLarge},
		"told, never any room":   {bytes.NewReader(make([]byte, 200_000)), 200_000, 1000, 0, room.ErrTooLarge},
		"told, broken off":       {strings.NewReader("xx"), 3, 0, 0, io.ErrUnexpectedEOF},
		"told, and more":         {strings.NewReader("xxxx"), 3, 0, 0, io.ErrUnexpectedEOF},
	} {
		t.Run(name, func(t *testing.T) {
			all := room.New(test.room)
			share := all.Share()
			data, err := share.ReadAll(context.Background(), test.in, test.length, most)
			require.ErrorIs(t, err, test.fails)
			require.Len(t, data, test.bytes)
			require.LessOrEqual(t, all.Taken(), test.room)
			share.Close()
			require.Zero(t, all.Taken())
		})
	}
}

// TestManyShareARoom lets many large answers come at the same time.
func TestManyShareARoom(t *testing.T) {
	all := room.New(10 << 20)
	var group sync.WaitGroup
	for range 200 {
		group.Go(func() {
			share := all.Share()
			defer share.Close()
			_, err := share.ReadAll(context.Background(), endless{}, -1, 8<<20)
			require.Error(t, err)
			require.LessOrEqual(t, all.Taken(), int64(10<<20))
		})
	}
	group.Wait()
	require.Zero(t, all.Taken())
}

// TestToldAnswersWaitForRoom guards against sound large answers that are lost because others
// come at the same time.
func TestToldAnswersWaitForRoom(t *testing.T) {
	const size = 1 << 20
	all := room.New(3 * size)
	var group sync.WaitGroup
	for range 50 {
		group.Go(func() {
			share := all.Share()
			defer share.Close()
			data, err := share.ReadAll(context.Background(), iotest.HalfReader(bytes.NewReader(make([]byte, size))), size, 8*size)
			require.NoError(t, err)
			require.Len(t, data, size)
			require.LessOrEqual(t, all.Taken(), int64(3*size))
		})
	}
	group.Wait()
	require.Zero(t, all.Taken())
}

// TestWaitForRoomEnds lets the time of a request end while it waits.
func TestWaitForRoomEnds(t *testing.T) {
	all := room.New(1 << 20)
	other := all.Share()
	require.True(t, other.Hold(1<<20))
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Millisecond)
	defer cancel()
	_, err := all.Share().ReadAll(ctx, endless{}, 1<<20, 8<<20)
	require.ErrorIs(t, err, room.ErrFull)
}
