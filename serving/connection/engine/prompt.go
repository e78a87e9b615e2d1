package engine

import "strings"

// Prompt returns the text that an engine processes for messages. prefix.Blocks of this text
// are the block ids in the engine's cache.
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
