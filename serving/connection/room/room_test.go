package room_test

import (
	"bytes"
	"io"
	"strings"
	"sync"
	"testing"
	"testing/iotest"

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
		in    io.Reader
		room  int64
		bytes int
		fails error
	}{
		"nothing":                {strings.NewReader(""), 0, 0, nil},
		"small, no room":         {strings.NewReader(strings.Repeat("x", 20_000)), 0, 20_000, nil},
		"one byte at a time":     {iotest.OneByteReader(strings.NewReader(strings.Repeat("x", 5000))), 0, 5000, nil},
		"as much as is allowed":  {bytes.NewReader(make([]byte, most)), 1 << 20, most, nil},
		"one more":               {bytes.NewReader(make([]byte, most+1)), 1 << 20, 0, room.ErrTooLarge},
		"endless":                {endless{}, 1 << 20, 0, room.ErrTooLarge},
		"endless, no room":       {endless{}, 0, 0, room.ErrFull},
		"broken off":             {iotest.TimeoutReader(iotest.OneByteReader(strings.NewReader("xx"))), 0, 0, iotest.ErrTimeout},
		"large, all room is his": {bytes.NewReader(make([]byte, 200_000)), 500_000, 200_000, nil},
	} {
		t.Run(name, func(t *testing.T) {
			all := room.New(test.room)
			share := all.Share()
			data, err := share.ReadAll(test.in, most)
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
			_, err := share.ReadAll(endless{}, 8<<20)
			require.Error(t, err)
			require.LessOrEqual(t, all.Taken(), int64(10<<20))
		})
	}
	group.Wait()
	require.Zero(t, all.Taken())
}
