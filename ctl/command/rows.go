package command

import (
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
	"time"
)

// rows is a table of texts.
type rows struct{ lines []string }

func newRows(titles ...string) *rows { return &rows{[]string{strings.Join(titles, "\t")}} }

func (r *rows) add(cells ...any) {
	texts := make([]string, len(cells))
	for i, cell := range cells {
		texts[i] = strings.Map(printable, fmt.Sprint(cell))
	}
	r.lines = append(r.lines, strings.Join(texts, "\t"))
}

// printable replaces control characters, so that a note can't disturb the terminal.
func printable(r rune) rune {
	if r < ' ' || r == 0x7f {
		return ' '
	}
	return r
}

func (r *rows) print(w io.Writer) {
	writer := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	for _, line := range r.lines {
		_, _ = fmt.Fprintln(writer, line)
	}
	_ = writer.Flush()
}

func orDash(number uint64) string {
	if number == 0 {
		return "-"
	}
	return fmt.Sprint(number)
}

// age prints milliseconds as a duration; negative ones stand for never.
func age(ms int64) string {
	if ms < 0 {
		return "never"
	}
	return (time.Duration(ms) * time.Millisecond).Round(100 * time.Millisecond).String()
}

func yes(value bool) string {
	if value {
		return "yes"
	}
	return "no"
}
