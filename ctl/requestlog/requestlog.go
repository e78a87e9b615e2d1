// Package requestlog summarizes the request lines in the logs of entry instances: how many
// requests were asked, answered, late, refused and failed, by account, route, reason, failure
// domain and time.
//
// The memory is bounded for logs of any length: histograms replace single values, a table keeps
// at most maxRows names, and intervals of time are merged in pairs when there are too many.
//
// # Usage
//
//	summary := requestlog.New(requestlog.Filter{Since: since, RequestID: id})
//	err := summary.Read(file)
//	for _, row := range summary.Accounts() { ... }
package requestlog

import (
	"bufio"
	"bytes"
	"cmp"
	"encoding/json"
	"io"
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/pkg/errors"
)

const (
	// maxRows is the maximum number of names in a table; further names are counted as otherRows.
	maxRows   = 1000
	otherRows = "(others)"
	// maxIntervals is the maximum number of intervals of time.
	maxIntervals = 600
	// maxLines is the maximum number of lines that are kept for a request id.
	maxLines = 1000
	// maxLineBytes is the length from which on a line is skipped.
	maxLineBytes = 1 << 20
	// maxLatencyMS is the largest latency of the histograms, in milliseconds.
	maxLatencyMS = 600_000

	requestMessagePrefix = "relay: request "
	limitMessage         = "configuration: limit of an account"
)

// Filter selects request lines.
type Filter struct {
	// Since and Until bound the time of the lines, which is the end of each request; zero means no
	// bound.
	Since, Until time.Time
	// RequestID keeps the lines of one request in addition.
	RequestID string
}

// line holds the fields of a log line that are used. Times are in milliseconds.
type line struct {
	Time          time.Time `json:"time"`
	Message       string    `json:"msg"`
	RequestID     string    `json:"request_id"`
	Account       string    `json:"account"`
	Route         string    `json:"route"`
	FailureDomain string    `json:"failure_domain"`
	Kind          string    `json:"kind"`
	Status        int       `json:"status"`
	Attempts      int       `json:"attempts"`
	Unsent        int       `json:"unsent"`
	Tokens        float64   `json:"tokens"`
	FirstMS       int64     `json:"first_ms"`
	MaxGapMS      int64     `json:"max_gap_ms"`
	TargetMS      int64     `json:"target_ms"`
	TargetGapMS   int64     `json:"target_gap_ms"`

	TokensPerSecond float64 `json:"tokens_per_second"`
}

// Row is one row of a table.
type Row struct {
	Name string
	// Asked is the number of requests. Each is either answered completely, refused (it did not run),
	// or failed.
	Asked, Answered, Refused, Failed int
	// Late is the number of answered requests that missed the latency target of their route: the
	// target for the first byte, or that for the time between two events.
	Late int
	// Retries is the number of attempts after the first, Unsent that of attempts that reached no
	// server.
	Retries, Unsent int
	// GrantedTokens is the number of tokens of requests that were not refused by their account's
	// limit.
	GrantedTokens float64
	// first is the histogram of times to the first byte in milliseconds, nil without answers.
	first *hdrhistogram.Histogram
}

// FirstByte returns a quantile of the time to the first byte, 0 without answers. The quantile is
// from 0 to 100.
func (r *Row) FirstByte(quantile float64) time.Duration {
	if r.first == nil {
		return 0
	}
	return time.Duration(r.first.ValueAtQuantile(quantile)) * time.Millisecond
}

func (r *Row) add(l *line) {
	r.Asked++
	r.Retries += max(l.Attempts-1, 0)
	r.Unsent += l.Unsent
	if l.Kind != "account_limit" {
		r.GrantedTokens += l.Tokens
	}
	switch {
	case l.Kind == "" && l.Status < 500:
		r.Answered++
		if l.isLate() {
			r.Late++
		}
	case l.Status == 429, l.Status == 503, l.Status == 421, l.Status == 408:
		r.Refused++
	default:
		r.Failed++
	}
	if l.FirstMS > 0 {
		if r.first == nil {
			r.first = hdrhistogram.New(1, maxLatencyMS, 2)
		}
		// Values above the maximum are recorded as the maximum, so that there is no error.
		_ = r.first.RecordValue(min(l.FirstMS, maxLatencyMS))
	}
}

// merge adds the counts of another row.
func (r *Row) merge(other *Row) {
	r.Asked += other.Asked
	r.Answered += other.Answered
	r.Refused += other.Refused
	r.Failed += other.Failed
	r.Late += other.Late
	r.Retries += other.Retries
	r.Unsent += other.Unsent
	r.GrantedTokens += other.GrantedTokens
	switch {
	case other.first == nil:
	case r.first == nil:
		r.first = other.first
	default:
		r.first.Merge(other.first)
	}
}

func (l *line) isLate() bool {
	return (l.TargetMS > 0 && l.FirstMS > l.TargetMS) || (l.TargetGapMS > 0 && l.MaxGapMS > l.TargetGapMS)
}

// reason returns why a request was not answered, "answered" for one that was.
func (l *line) reason() string {
	switch {
	case l.Kind != "":
		return l.Kind
	case l.Status >= 500:
		return "backend_error"
	}
	return "answered"
}

// table maps names to rows.
type table map[string]*Row

func (t table) row(name string) *Row {
	row := t[name]
	if row == nil && len(t) >= maxRows {
		name = otherRows
		row = t[name]
	}
	if row == nil {
		row = &Row{Name: name}
		t[name] = row
	}
	return row
}

// sorted returns the rows with the most requests first.
func (t table) sorted() []Row {
	rows := make([]Row, 0, len(t))
	for _, row := range t {
		rows = append(rows, *row)
	}
	slices.SortFunc(rows, func(a, b Row) int { return cmp.Or(b.Asked-a.Asked, cmp.Compare(a.Name, b.Name)) })
	return rows
}

// Summary collects the counts of request lines. It is not safe for concurrent use.
type Summary struct {
	filter                             Filter
	accounts, routes, reasons, domains table
	// limits holds the tokens per second of each account's limit, as of the last line about it.
	limits map[string]float64
	// intervals holds the rows by start time in units of width.
	intervals map[int64]*Row
	width     time.Duration
	first     time.Time
	last      time.Time
	requests  int
	skipped   int
	lines     []string
}

// New returns an empty summary.
func New(filter Filter) *Summary {
	return &Summary{
		filter: filter, accounts: table{}, routes: table{}, reasons: table{}, domains: table{},
		limits: map[string]float64{}, intervals: map[int64]*Row{}, width: time.Second,
	}
}

// Read adds all lines of a log. Lines may have a prefix before the JSON object. Lines without one
// are counted and skipped.
func (s *Summary) Read(from io.Reader) error {
	reader := bufio.NewReaderSize(from, maxLineBytes)
	for {
		text, err := reader.ReadSlice('\n')
		tooLong := errors.Is(err, bufio.ErrBufferFull)
		for errors.Is(err, bufio.ErrBufferFull) {
			_, err = reader.ReadSlice('\n')
		}
		if err != nil && !errors.Is(err, io.EOF) {
			return errors.Wrap(err, "read log")
		}
		text = bytes.TrimSpace(text)
		switch {
		case tooLong:
			s.skipped++
		case len(text) > 0:
			s.add(text)
		}
		if err != nil {
			return nil
		}
	}
}

// add adds one line.
func (s *Summary) add(text []byte) {
	start := bytes.IndexByte(text, '{')
	if start < 0 {
		s.skipped++
		return
	}
	// Lines of other parts of the program are most of a log, and decoding takes most of the time.
	isRequest := bytes.Contains(text, []byte(requestMessagePrefix))
	if !isRequest && !bytes.Contains(text, []byte(limitMessage)) {
		if !json.Valid(text[start:]) {
			s.skipped++
		}
		return
	}
	var l line
	if err := json.Unmarshal(text[start:], &l); err != nil {
		s.skipped++
		return
	}
	switch {
	case l.Message == limitMessage:
		s.limits[l.Account] = l.TokensPerSecond
	case isRequest && s.selects(&l):
		s.addRequest(&l)
		if s.filter.RequestID != "" && l.RequestID == s.filter.RequestID && len(s.lines) < maxLines {
			s.lines = append(s.lines, string(text))
		}
	}
}

func (s *Summary) selects(l *line) bool {
	return (s.filter.Since.IsZero() || !l.Time.Before(s.filter.Since)) &&
		(s.filter.Until.IsZero() || l.Time.Before(s.filter.Until))
}

func (s *Summary) addRequest(l *line) {
	s.requests++
	if s.first.IsZero() || l.Time.Before(s.first) {
		s.first = l.Time
	}
	if l.Time.After(s.last) {
		s.last = l.Time
	}
	s.accounts.row(l.Account).add(l)
	s.routes.row(l.Route).add(l)
	s.reasons.row(l.reason()).add(l)
	s.domains.row(l.FailureDomain).add(l)
	s.interval(l.Time).add(l)
}

// interval returns the row of a point in time. When there are too many intervals, all are merged
// into intervals of twice the width.
func (s *Summary) interval(at time.Time) *Row {
	number := at.UnixNano() / int64(s.width)
	if s.intervals[number] == nil && len(s.intervals) >= maxIntervals {
		merged := map[int64]*Row{}
		for old, row := range s.intervals {
			if merged[old/2] == nil {
				merged[old/2] = &Row{}
			}
			merged[old/2].merge(row)
		}
		s.intervals, s.width = merged, 2*s.width
		return s.interval(at)
	}
	if s.intervals[number] == nil {
		s.intervals[number] = &Row{}
	}
	return s.intervals[number]
}

// Requests returns the number of request lines, and Skipped that of lines that are no JSON objects
// or too long.
func (s *Summary) Requests() int { return s.requests }

// Skipped returns the number of lines that are no JSON objects or too long.
func (s *Summary) Skipped() int { return s.skipped }

// Span returns the time between the first and the last request line.
func (s *Summary) Span() time.Duration { return s.last.Sub(s.first) }

// Accounts returns a row for each client account.
func (s *Summary) Accounts() []Row { return s.accounts.sorted() }

// Routes returns a row for each route.
func (s *Summary) Routes() []Row { return s.routes.sorted() }

// Reasons returns a row for each kind of error, and one for answered requests.
func (s *Summary) Reasons() []Row { return s.reasons.sorted() }

// FailureDomains returns a row for each failure domain of entry instances.
func (s *Summary) FailureDomains() []Row { return s.domains.sorted() }

// Intervals returns a row for each interval of time with requests, in order, named by its start,
// and the width of the intervals.
func (s *Summary) Intervals() ([]Row, time.Duration) {
	numbers := make([]int64, 0, len(s.intervals))
	for number := range s.intervals {
		numbers = append(numbers, number)
	}
	slices.Sort(numbers)
	rows := make([]Row, len(numbers))
	for i, number := range numbers {
		rows[i] = *s.intervals[number]
		rows[i].Name = time.Unix(0, number*int64(s.width)).UTC().Format("2006-01-02T15:04:05Z")
	}
	return rows, s.width
}

// TokenLimit returns the tokens per second of an account's limit, false if the log does not tell.
func (s *Summary) TokenLimit(account string) (perSecond float64, known bool) {
	perSecond, known = s.limits[account]
	return perSecond, known
}

// Lines returns the lines of the request in the filter, in the order in which they were read.
func (s *Summary) Lines() []string { return s.lines }
