package text

import (
	"encoding/json"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

func TestTextsAreDeterminedBySeed(t *testing.T) {
	tests := map[string]func(seed uint64) string{
		"filing":     func(seed uint64) string { return Filing(seed, 3000) },
		"claim":      Claim,
		"night chat": NightChat,
		"case file":  CaseFile,
		"booking":    func(seed uint64) string { return string(Booking(seed, "b")) },
		"correction": func(seed uint64) string { return string(Correction(seed, "c")) },
	}
	for name, compose := range tests {
		t.Run(name, func(t *testing.T) {
			require.Equal(t, compose(1), compose(1))
			require.NotEqual(t, compose(1), compose(2))
		})
	}
	require.InDelta(t, 3000, len(strings.Fields(Filing(1, 3000))), 60)
	require.True(t, json.Valid(Booking(1, "b")))
	require.True(t, json.Valid(Correction(1, "c")))
}
