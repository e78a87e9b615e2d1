package caller

import (
	"context"
	"strings"
	"time"

	"github.com/pkg/errors"
)

// resumeDelay is the delay before an interrupted stream is resumed.
const resumeDelay = 100 * time.Millisecond

// Persist sends a chat as Chat does, and after every interruption resumes it with the request's id
// and the last event id, until the answer is complete, is refused without a retry time, or ctx
// ends. The chat must have a RequestID.
func (c *Client) Persist(ctx context.Context, chat Chat) (Answer, error) {
	var total Answer
	var text strings.Builder
	for {
		answer, err := c.Chat(ctx, chat)
		text.WriteString(answer.Text)
		total = joined(total, answer)
		total.Text = text.String()
		if err == nil || !isRetryable(err) {
			return total, err
		}
		if answer.LastEventID != "" {
			chat.LastEventID = answer.LastEventID
		}
		select {
		case <-time.After(resumeDelay):
		case <-ctx.Done():
			return total, errors.Wrap(err, ctx.Err().Error())
		}
	}
}

// joined returns the combination of the answer so far with its next part, except for the text.
func joined(total, part Answer) Answer {
	part.Tokens += total.Tokens
	part.Total += total.Total
	part.LongestGap = max(part.LongestGap, total.LongestGap)
	if total.FirstToken > 0 {
		part.FirstToken = total.FirstToken
	}
	return part
}

// isRetryable reports whether a failed chat may be resumed: its connection broke, or it was refused
// with a retry time.
func isRetryable(err error) bool {
	var refused *Refusal
	if errors.As(err, &refused) {
		return refused.RetryAfterMS > 0
	}
	return !errors.Is(err, context.Canceled) && !errors.Is(err, context.DeadlineExceeded)
}
