package caller

import (
	"bufio"
	"encoding/json"
	"io"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"

	wire "papayaport.dev/serving/connection/engine"
)

// finalMarker is the data of the event that ends a complete answer.
const finalMarker = "[DONE]"

// reader parses the events of one answer.
type reader struct {
	answer *Answer
	text   strings.Builder
	token  func(index int, text string)
	began  time.Time
	last   time.Time
	// failed is set while the current event is an error event.
	failed bool
	done   bool
}

// read reads events until the final marker.
func (a *Answer) read(from io.Reader, began time.Time, token func(int, string)) error {
	r := reader{answer: a, token: token, began: began}
	defer func() { a.Text = r.text.String() }()
	scanner := bufio.NewScanner(from)
	scanner.Buffer(nil, maxEventBytes)
	for scanner.Scan() {
		if err := r.line(scanner.Text()); err != nil || r.done {
			return err
		}
	}
	if err := scanner.Err(); err != nil {
		return errors.Wrap(ErrTruncated, err.Error())
	}
	return ErrTruncated
}

// line parses one line of an event.
func (r *reader) line(line string) error {
	name, value, _ := strings.Cut(line, ":")
	value = strings.TrimSpace(value)
	switch name {
	case "id":
		r.answer.LastEventID = value
	case "event":
		r.failed = value == "error"
	case "data":
		return r.data(value)
	}
	return nil
}

func (r *reader) data(data string) error {
	if data == finalMarker {
		r.done = true
		return nil
	}
	if r.failed {
		refused := &Refusal{}
		if err := json.Unmarshal([]byte(data), &refused.Document); err != nil {
			return errors.Errorf("invalid error event: %s", data)
		}
		return refused
	}
	var chunk wire.Chunk
	if err := json.Unmarshal([]byte(data), &chunk); err != nil || len(chunk.Choices) != 1 {
		return errors.Errorf("invalid event: %s", data)
	}
	r.addChunk(chunk)
	return nil
}

func (r *reader) addChunk(chunk wire.Chunk) {
	if chunk.Usage != nil {
		r.answer.Usage = chunk.Usage
		return
	}
	content := chunk.Choices[0].Delta.Content
	if content == "" {
		return
	}
	r.recordTime()
	r.text.WriteString(content)
	if r.token != nil {
		r.token(r.index(), content)
	}
}

// recordTime records the arrival of a token.
func (r *reader) recordTime() {
	now := time.Now()
	if r.answer.Tokens == 0 {
		r.answer.FirstToken = now.Sub(r.began)
	} else {
		r.answer.LongestGap = max(r.answer.LongestGap, now.Sub(r.last))
	}
	r.answer.Tokens++
	r.last = now
}

// index returns the index of the current token in the whole answer, from the event id
// "REQUEST:INDEX".
func (r *reader) index() int {
	cut := strings.LastIndexByte(r.answer.LastEventID, ':')
	index, err := strconv.Atoi(r.answer.LastEventID[cut+1:])
	if err != nil {
		return r.answer.Tokens - 1
	}
	return index
}
