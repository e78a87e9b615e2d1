package event_test

import (
	"io"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"papayaport.dev/serving/connection/event"
	"papayaport.dev/serving/connection/memorybudget"
)

// TestUnfinishedEventFails guards against a stream that was broken off inside an event and is
// taken for complete: a server that crashes can close its connection without a reset.
func TestUnfinishedEventFails(t *testing.T) {
	const whole = "id: 1\ndata: a\n\n"
	for name, rest := range map[string]string{
		"in a field's name":         "id: 2\nda",
		"in a value":                "id: 2\ndata: b",
		"after a line":              "id: 2\ndata: b\n",
		"before the last line feed": "id: 2\r\ndata: b\r\n\r",
		"after the id":              "id: 2\n",
		"in a comment":              ": keep-ali",
	} {
		t.Run(name, func(t *testing.T) {
			reader := event.New(strings.NewReader(whole+rest), memorybudget.New(4<<20).Share())
			first, err := reader.Next()
			require.NoError(t, err)
			require.Equal(t, whole, string(first.Bytes))
			_, err = reader.Next()
			require.ErrorIs(t, err, io.ErrUnexpectedEOF)
		})
	}
}
