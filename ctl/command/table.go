package command

import (
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
	"time"
)

// textTable is a table that is printed with aligned columns.
type textTable struct{ lines []string }

func newTextTable(titles ...string) *textTable {
	return &textTable{[]string{strings.Join(titles, "\t")}}
}

func (r *textTable) add(cells ...any) {
	texts := make([]string, len(cells))
	for i, cell := range cells {
		texts[i] = strings.Map(printable, fmt.Sprint(cell))
	}
	r.lines = append(r.lines, strings.Join(texts, "\t"))
}

// printable replaces control characters by blanks, so that text from other users, such as a
// note, can't contain terminal escape sequences.
func printable(r rune) rune {
	if r < ' ' || r == 0x7f {
		return ' '
	}
	return r
}

func (r *textTable) print(w io.Writer) {
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

// age formats milliseconds as a duration, and negative values as "never".
func age(ms int64) string {
	if ms < 0 {
		return "never"
	}
	return (time.Duration(ms) * time.Millisecond).Round(100 * time.Millisecond).String()
}

func yesNo(value bool) string {
	if value {
		return "yes"
	}
	return "no"
}
