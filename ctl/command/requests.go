package command

import (
	"cmp"
	"fmt"
	"io"
	"os"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"papayaport.dev/ctl/requestlog"
)

type requests struct {
	Files []string  `arg:"" optional:"" placeholder:"FILE" help:"Log files of entry instances; standard input without any."`
	Since time.Time `help:"Skip requests that ended before this time, such as 2026-12-04T16:00:00Z."`
	Until time.Time `help:"Skip requests that ended at this time or later."`
	ID    string    `name:"id" help:"Print the lines of the request with this id as well."`
	By    []string  `enum:"account,route,reason,failure_domain,time" default:"account,route,reason,failure_domain,time" help:"Tables to print: ${enum}."`
}

// requestTable is one table of the summary.
type requestTable struct {
	title string
	rows  []requestlog.Row
	// span is the time that each row covers.
	span time.Duration
	// limit returns the tokens per second of a row's limit; nil if rows have none.
	limit func(name string) (perSecond float64, known bool)
}

// Run prints tables of the requests in log files.
func (r *requests) Run(env *environment) error {
	summary := requestlog.New(requestlog.Filter{Since: r.Since, Until: r.Until, RequestID: r.ID})
	if err := r.read(summary, os.Stdin); err != nil {
		return err
	}
	if env.options.JSON {
		env.printJSON(r.document(summary))
		return nil
	}
	for _, table := range r.tables(summary) {
		table.print(env.out)
	}
	for _, line := range summary.Lines() {
		_, _ = fmt.Fprintln(env.out, line)
	}
	env.printMessage("%d requests in %v, %d lines skipped that are no JSON objects",
		summary.Requests(), summary.Span().Round(time.Millisecond), summary.Skipped())
	return nil
}

// read adds the files to a summary, or standard input if there is none.
func (r *requests) read(summary *requestlog.Summary, stdin io.Reader) error {
	if len(r.Files) == 0 {
		return summary.Read(stdin)
	}
	for _, name := range r.Files {
		file, err := os.Open(name)
		if err != nil {
			return errors.Wrap(err, "open log")
		}
		err = summary.Read(file)
		if closeErr := file.Close(); err == nil {
			err = closeErr
		}
		if err != nil {
			return errors.Wrap(err, name)
		}
	}
	return nil
}

// tables returns the selected tables in the order of the command line.
func (r *requests) tables(summary *requestlog.Summary) []requestTable {
	var tables []requestTable
	for _, by := range r.By {
		table := requestTable{span: max(summary.Span(), time.Second)}
		switch by {
		case "account":
			table.title, table.rows, table.limit = "ACCOUNT", summary.Accounts(), summary.TokenLimit
		case "route":
			table.title, table.rows = "ROUTE", summary.Routes()
		case "reason":
			table.title, table.rows = "REASON", summary.Reasons()
		case "failure_domain":
			table.title, table.rows = "FAILURE DOMAIN", summary.FailureDomains()
		case "time":
			table.rows, table.span = summary.Intervals()
			table.title = "FROM (" + table.span.String() + ")"
		}
		tables = append(tables, table)
	}
	return tables
}

func (t *requestTable) print(out io.Writer) {
	text := newTextTable(t.title, "ASKED", "ANSWERED", "LATE", "REFUSED", "FAILED", "RETRIES", "UNSENT", "P50", "P99", "TOKENS/S", "OF LIMIT")
	for _, row := range t.rows {
		perSecond, share := row.GrantedTokens/t.span.Seconds(), "-"
		if t.limit != nil {
			if limit, known := t.limit(row.Name); known && limit > 0 {
				share = strconv.FormatFloat(perSecond/limit, 'f', 2, 64)
			}
		}
		text.add(cmp.Or(row.Name, "-"), row.Asked, row.Answered, row.Late, row.Refused, row.Failed, row.Retries, row.Unsent,
			row.FirstByte(50), row.FirstByte(99), strconv.FormatFloat(perSecond, 'f', 0, 64), share)
	}
	text.print(out)
	_, _ = fmt.Fprintln(out)
}

// document returns the selected tables for --json.
func (r *requests) document(summary *requestlog.Summary) map[string]any {
	document := map[string]any{
		"requests": summary.Requests(), "skipped_lines": summary.Skipped(), "span_ms": summary.Span().Milliseconds(),
	}
	for i, table := range r.tables(summary) {
		rows := make([]map[string]any, len(table.rows))
		for j, row := range table.rows {
			rows[j] = map[string]any{
				"name": row.Name, "asked": row.Asked, "answered": row.Answered, "late": row.Late, "refused": row.Refused,
				"failed": row.Failed, "retries": row.Retries, "unsent": row.Unsent, "granted_tokens": row.GrantedTokens,
				"first_byte_p50_ms": row.FirstByte(50).Milliseconds(), "first_byte_p99_ms": row.FirstByte(99).Milliseconds(),
			}
		}
		document["by_"+r.By[i]] = rows
	}
	if r.ID != "" {
		document["lines"] = summary.Lines()
	}
	return document
}
