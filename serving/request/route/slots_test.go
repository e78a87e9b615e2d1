package route_test

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"papayaport.dev/serving/request/route"
)

// TestLongAnswersOccupySlots guards against a short request that waits for the slots of a cheaper
// server, occupied by long answers, while another server is idle.
func TestLongAnswersOccupySlots(t *testing.T) {
	list := backends(2)
	list[1].PricePerHour = 3
	table := seededTable(t, route.Papayaport, list, 1)
	long := route.Request{Service: "model-bench", PromptTokens: 50, AnswerTokens: 800, Target: target}
	for i := range list[0].Slots {
		choice, err := table.Choose(start, long)
		require.NoError(t, err)
		choice.Backend = list[0]
		table.Sent(start, fmt.Sprint("long", i), choice, long)
		table.FirstToken(start, fmt.Sprint("long", i), 0)
	}
	short := route.Request{Service: "model-bench", PromptTokens: 50, AnswerTokens: 20, Target: target}
	choice, err := table.Choose(start, short)
	require.NoError(t, err)
	require.Equal(t, list[1].ID, choice.Backend.ID)
}
