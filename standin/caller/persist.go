package caller

import (
	"context"
	"strings"
	"time"

	"github.com/pkg/errors"
)

// persistWait is the wait before a broken stream is read on.
const persistWait = 100 * time.Millisecond

// Persist asks as Chat does, and comes back after every break with the request's id and
// the last event read, until the answer is whole, is refused for good, or ctx ends. The
// chat needs a RequestID.
func (c *Client) Persist(ctx context.Context, chat Chat) (Answer, error) {
	var whole Answer
	var text strings.Builder
	for {
		answer, err := c.Chat(ctx, chat)
		text.WriteString(answer.Text)
		whole = joined(whole, answer)
		whole.Text = text.String()
		if err == nil || !comesBack(err) {
			return whole, err
		}
		if answer.LastEventID != "" {
			chat.LastEventID = answer.LastEventID
		}
		select {
		case <-time.After(persistWait):
		case <-ctx.Done():
			return whole, errors.Wrap(err, ctx.Err().Error())
		}
	}
}

// joined adds a further part of an answer.
func joined(whole, part Answer) Answer {
	part.Tokens += whole.Tokens
	part.Total += whole.Total
	part.Longest = max(part.Longest, whole.Longest)
	if whole.FirstToken > 0 {
		part.FirstToken = whole.FirstToken
	}
	return part
}

// comesBack tells whether a broken chat may be read on: its connection broke, or it was
// refused with a wait.
func comesBack(err error) bool {
	var refused *Refusal
	if errors.As(err, &refused) {
		return refused.RetryAfterMS > 0
	}
	return !errors.Is(err, context.Canceled) && !errors.Is(err, context.DeadlineExceeded)
}
