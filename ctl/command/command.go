// Package command holds the commands of papayactl, one file each, and the table that
// lists them.
//
// # Usage
//
//	code := command.Run(os.Args[1:], os.Stdout, os.Stderr)
//
// A command is a struct whose tags describe its arguments and whose Run method does its
// work. A new command is one new file and one row in the table.
package command

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"strings"
	"time"

	"github.com/alecthomas/kong"
	"github.com/pkg/errors"

	"papayaport.dev/serving/connection/administration"
	"papayaport.dev/serving/process/problem"
)

// Exit codes.
const (
	Done        = 0
	NotDone     = 1
	BadUse      = 2
	NotKnownYet = 3
	Conflict    = 4
)

// row is one command.
type row struct {
	name, help string
	command    any
}

// table lists the commands in the order of the help.
func table() []row {
	return []row{
		{"check", "Check service files without sending anything.", &check{}},
		{"publish", "Publish service files as a new version.", &publish{}},
		{"status", "Show how entry instances are, or how a publication ended.", &status{}},
		{"history", "Show the audit trail of versions.", &history{}},
		{"rollback", "Put the files of an older version into force again.", &rollback{}},
		{"drain", "Stop new work for an instance.", &drain{}},
		{"undrain", "Take a drain back.", &undrain{}},
		{"services", "List the services in force.", &services{}},
		{"accounts", "List the client accounts and their use.", &accounts{}},
		{"instances", "List the instances that an entry instance knows.", &instances{}},
		{"key", "Make a key for a client account or an operator, and its hash.", &key{}},
		{"uuid", "Print a UUIDv7, for an Idempotency-Key.", &uuidCommand{}},
		{"version", "Print the version of papayactl.", &version{}},
	}
}

// Options are the flags of all commands.
type Options struct {
	Address   []string      `env:"PAPAYAPORT_ADDRESS" placeholder:"URL" help:"Administration listener of an entry instance, such as http://10.0.0.1:7070. May be given several times; the next one is asked when one can't answer."`
	Token     string        `env:"PAPAYAPORT_TOKEN" help:"Operator token."`
	TokenFile string        `env:"PAPAYAPORT_TOKEN_FILE" placeholder:"FILE" help:"File that holds the operator token."`
	JSON      bool          `name:"json" help:"Print JSON."`
	Timeout   time.Duration `default:"20s" help:"Longest time for an answer."`
}

// environment is what a command works with.
type environment struct {
	options Options
	out     io.Writer
	err     io.Writer
}

// failure ends a command with an exit code and a line that says what to do next.
type failure struct {
	code int
	text string
	// document is printed with --json; nil for the text alone.
	document any
}

func (f *failure) Error() string { return f.text }

func failed(code int, format string, args ...any) *failure {
	return &failure{code: code, text: fmt.Sprintf(format, args...)}
}

// exit carries the exit code of kong's own ends, such as --help.
type exit int

// Run runs one command and returns its exit code.
func Run(args []string, out, errOut io.Writer) (code int) {
	defer func() {
		if end := recover(); end != nil {
			asked, ok := end.(exit)
			if !ok {
				panic(end)
			}
			code = int(asked)
		}
	}()
	env := &environment{out: out, err: errOut}
	parser, err := newParser(env)
	if err != nil {
		return env.end(failed(BadUse, "%v", err))
	}
	if len(args) == 0 {
		args = []string{"--help"}
	}
	context, err := parser.Parse(args)
	if err != nil {
		return env.end(failed(BadUse, "%v; see papayactl --help", err))
	}
	return env.end(context.Run(env))
}

func newParser(env *environment) (*kong.Kong, error) {
	options := []kong.Option{
		kong.Name("papayactl"),
		kong.Description("Publishes and looks after papayaport's configuration.\n\nExit codes: 0 done, 1 not done, 2 bad use, 3 not known yet, 4 another version was published first."),
		kong.Writers(env.out, env.err),
		kong.Exit(func(code int) { panic(exit(code)) }),
		kong.UsageOnError(),
		kong.ConfigureHelp(kong.HelpOptions{Compact: true}),
	}
	for _, row := range table() {
		options = append(options, kong.DynamicCommand(row.name, row.help, "", row.command))
	}
	return kong.New(&env.options, options...)
}

// end reports a failure and returns the exit code.
func (e *environment) end(err error) int {
	if err == nil {
		return Done
	}
	var failure *failure
	if !errors.As(err, &failure) {
		failure = explain(err)
	}
	if e.options.JSON && failure.document != nil {
		e.print(failure.document)
	}
	for line := range strings.Lines(failure.text) {
		_, _ = fmt.Fprintf(e.err, "papayactl: %s\n", strings.TrimRight(line, "\n"))
	}
	return failure.code
}

// explain turns an answer of the administration API into an exit code and a line.
func explain(err error) *failure {
	var refused *administration.Refusal
	if !errors.As(err, &refused) {
		return failed(NotDone, "%v", err)
	}
	failure := &failure{code: NotDone, text: refused.Title + ": " + refused.Detail, document: refused}
	switch refused.Kind {
	case problem.NotKnownYet:
		failure.code = NotKnownYet
	case problem.VersionConflict:
		failure.code = Conflict
		failure.text += "; look at papayactl history, then publish again"
	case problem.Unauthenticated:
		failure.text += "; give the token of an operator with --token, --token-file or PAPAYAPORT_TOKEN"
	case problem.InvalidFile:
		failure.text = refused.Detail + "\nnothing was published"
	case problem.StoreUnavailable, problem.NotReady, problem.Leaving:
		failure.text += "; nothing was done, try again"
	}
	return failure
}

// client returns a client of the addresses that were given.
func (e *environment) client() (*administration.Client, error) {
	return e.clientOf(e.options.Address)
}

func (e *environment) clientOf(addresses []string) (*administration.Client, error) {
	if len(addresses) == 0 {
		return nil, failed(BadUse, "no entry instance is named; give --address or PAPAYAPORT_ADDRESS")
	}
	token, err := e.token()
	if err != nil {
		return nil, err
	}
	urls := make([]string, len(addresses))
	for i, address := range addresses {
		urls[i] = address
		if !strings.Contains(address, "://") {
			urls[i] = "http://" + address
		}
	}
	return administration.NewClient(&http.Client{}, urls, token), nil
}

func (e *environment) token() (string, error) {
	if e.options.Token != "" || e.options.TokenFile == "" {
		return e.options.Token, nil
	}
	data, err := os.ReadFile(e.options.TokenFile)
	if err != nil {
		return "", failed(BadUse, "reading the token: %v", err)
	}
	return strings.TrimSpace(string(data)), nil
}

func (e *environment) context() (context.Context, context.CancelFunc) {
	return context.WithTimeout(context.Background(), e.options.Timeout)
}

// say prints the line that tells what happened and what to do next.
func (e *environment) say(format string, args ...any) {
	_, _ = fmt.Fprintf(e.out, "papayactl: "+format+"\n", args...)
}

func (e *environment) print(value any) {
	encoder := json.NewEncoder(e.out)
	encoder.SetIndent("", "  ")
	_ = encoder.Encode(value)
}

// show prints a value as JSON, or calls text.
func (e *environment) show(value any, text func()) {
	if e.options.JSON {
		e.print(value)
		return
	}
	text()
}
