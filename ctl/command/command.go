// Package command implements the commands of papayactl, one file each, and the table of
// commands.
//
// # Usage
//
//	code := command.Run(ctx, os.Args[1:], os.Stdout, os.Stderr)
//
// A command is a struct whose tags describe its arguments and whose Run method executes it. A
// new command needs a file and an entry in the table.
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
	"papayaport.dev/serving/connection/answer"
	"papayaport.dev/serving/process/problem"
)

// Exit codes of Run, documented in the output of --help.
const (
	Done        = 0
	NotDone     = 1
	BadUse      = 2
	NotKnownYet = 3
	Conflict    = 4
)

// commandEntry is an entry in the table of commands.
type commandEntry struct {
	name, help string
	command    any
}

// table lists the commands in the order of the help text.
func table() []commandEntry {
	return []commandEntry{
		{"check", "Check service files without sending anything.", &check{}},
		{"publish", "Publish service files as a new version.", &publish{}},
		{"status", "Show the status of entry instances, or the outcome of a publication.", &status{}},
		{"history", "Show the audit trail of versions.", &history{}},
		{"rollback", "Publish the files of an older version again.", &rollback{}},
		{"drain", "Stop new work for an instance.", &drain{}},
		{"undrain", "Cancel a drain.", &undrain{}},
		{"services", "List the services in force.", &services{}},
		{"accounts", "List the client accounts and their usage.", &accounts{}},
		{"requests", "Summarize the requests in the logs of entry instances.", &requests{}},
		{"instances", "List the instances in the directory of an entry instance.", &instances{}},
		{"key", "Generate a key for a client account or an operator, and its hash.", &key{}},
		{"uuid", "Print a UUIDv7, for an Idempotency-Key.", &uuidCommand{}},
		{"version", "Print the version of papayactl.", &version{}},
	}
}

// Options are the flags that all commands share.
type Options struct {
	Address   []string      `env:"PAPAYAPORT_ADDRESS" placeholder:"URL" help:"Administration listener of an entry instance, such as http://10.0.0.1:7070. May be given several times; the next one is tried if one does not respond."`
	Token     string        `env:"PAPAYAPORT_TOKEN" help:"Operator token."`
	TokenFile string        `env:"PAPAYAPORT_TOKEN_FILE" placeholder:"FILE" help:"File that contains the operator token."`
	JSON      bool          `name:"json" help:"Print JSON."`
	Timeout   time.Duration `default:"20s" help:"Time-out of a request."`
}

// environment holds the context, options and output streams of a command.
type environment struct {
	// ctx ends when a signal interrupts the command.
	ctx     context.Context
	options Options
	out     io.Writer
	err     io.Writer
}

// failure is an error with an exit code and a message that states what to do next.
type failure struct {
	code int
	text string
	// document is printed with --json, in addition to the text; may be nil.
	document any
}

func (f *failure) Error() string { return f.text }

func failed(code int, format string, args ...any) *failure {
	return &failure{code: code, text: fmt.Sprintf(format, args...)}
}

// exitRequest is the panic value that carries the exit code when kong exits, such as for --help.
type exitRequest int

// Run runs one command, whose calls end with ctx, and returns its exit code.
func Run(ctx context.Context, args []string, out, errOut io.Writer) (code int) {
	defer func() {
		if end := recover(); end != nil {
			requested, ok := end.(exitRequest)
			if !ok {
				panic(end)
			}
			code = int(requested)
		}
	}()
	env := &environment{ctx: ctx, out: out, err: errOut}
	parser, err := newParser(env)
	if err != nil {
		return env.exitCode(failed(BadUse, "%v", err))
	}
	if len(args) == 0 {
		args = []string{"--help"}
	}
	context, err := parser.Parse(args)
	if err != nil {
		return env.exitCode(failed(BadUse, "%v; see papayactl --help", err))
	}
	return env.exitCode(context.Run(env))
}

func newParser(env *environment) (*kong.Kong, error) {
	options := []kong.Option{
		kong.Name("papayactl"),
		kong.Description("Publishes and looks after papayaport's configuration.\n\nExit codes: 0 done, 1 not done, 2 bad use, 3 not known yet, 4 another version was published first."),
		kong.Writers(env.out, env.err),
		kong.Exit(func(code int) { panic(exitRequest(code)) }),
		kong.UsageOnError(),
		kong.ConfigureHelp(kong.HelpOptions{Compact: true}),
	}
	for _, row := range table() {
		options = append(options, kong.DynamicCommand(row.name, row.help, "", row.command))
	}
	return kong.New(&env.options, options...)
}

// exitCode prints the message of an error and returns its exit code, Done for nil.
func (e *environment) exitCode(err error) int {
	if err == nil {
		return Done
	}
	var failure *failure
	if !errors.As(err, &failure) {
		failure = apiFailure(err)
	}
	if e.options.JSON && failure.document != nil {
		e.printJSON(failure.document)
	}
	for line := range strings.Lines(failure.text) {
		_, _ = fmt.Fprintf(e.err, "papayactl: %s\n", strings.TrimRight(line, "\n"))
	}
	return failure.code
}

// apiFailure converts an error of the administration API into an exit code and a message.
func apiFailure(err error) *failure {
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

// client returns a client for the addresses on the command line.
func (e *environment) client() (*administration.Client, error) {
	return e.clientOf(e.options.Address)
}

func (e *environment) clientOf(addresses []string) (*administration.Client, error) {
	if len(addresses) == 0 {
		return nil, failed(BadUse, "no address of an entry instance; set --address or PAPAYAPORT_ADDRESS")
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
	return administration.NewClient(&http.Client{Transport: answer.NewTransport(http.DefaultTransport)}, urls, token), nil
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
	return context.WithTimeout(e.ctx, e.options.Timeout)
}

// printMessage prints a line with the program's name in front.
func (e *environment) printMessage(format string, args ...any) {
	_, _ = fmt.Fprintf(e.out, "papayactl: "+format+"\n", args...)
}

func (e *environment) printJSON(value any) {
	encoder := json.NewEncoder(e.out)
	encoder.SetIndent("", "  ")
	_ = encoder.Encode(value)
}

// printResult prints value as JSON with --json, and calls text otherwise.
func (e *environment) printResult(value any, text func()) {
	if e.options.JSON {
		e.printJSON(value)
		return
	}
	text()
}
