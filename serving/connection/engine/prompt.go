package engine

import "strings"

// Prompt returns the text that an engine computes for messages. prefix.Blocks of it
// names the blocks in the engine's cache.
func Prompt(messages []Message) string {
	var b strings.Builder
	for _, message := range messages {
		b.WriteString(message.Role)
		b.WriteByte('\n')
		b.WriteString(message.Content)
		b.WriteByte('\n')
	}
	return b.String()
}
