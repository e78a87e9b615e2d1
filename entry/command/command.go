// Package command implements the command line of the daemon, with one file per command.
//
// # Usage
//
//	os.Exit(command.Main(signals.New(), os.Args[1:], os.Stdout, os.Stderr))
package command

import (
	"fmt"
	"io"
	"os"

	"github.com/alecthomas/kong"
	"github.com/pkg/errors"

	"papayaport.dev/serving/process/settings"
	"papayaport.dev/serving/process/signals"
)

// Exit codes.
const (
	exitOK     = 0
	exitFailed = 1
	exitUsage  = 2
)

// commands are the daemon's commands.
type commands struct {
	Run           run           `cmd:"" help:"Serve callers, peers and operators until terminated."`
	CheckSettings checkSettings `cmd:"" help:"Check a settings file and list all its faults without starting anything."`
	Version       version       `cmd:"" help:"Print the version."`
}

// streams holds the signals of the process and the standard output and error streams of commands.
type streams struct {
	signals  *signals.Signals
	out, err io.Writer
}

// Main runs one command with the signals of the process and returns the exit code.
func Main(received *signals.Signals, args []string, out, errOut io.Writer) int {
	var table commands
	parser, err := kong.New(&table,
		kong.Name("papayaport"),
		kong.Description("The serving daemon of an entry instance."),
		kong.Writers(out, errOut),
		kong.DefaultEnvars("PAPAYAPORT"),
	)
	if err != nil {
		fmt.Fprintln(errOut, "papayaport:", err)
		return exitUsage
	}
	chosen, err := parser.Parse(args)
	if err != nil {
		fmt.Fprintln(errOut, "papayaport:", err)
		return exitUsage
	}
	if err := chosen.Run(&streams{received, out, errOut}); err != nil {
		fmt.Fprintln(errOut, "papayaport:", err)
		return exitFailed
	}
	return exitOK
}

// readSettings reads and validates a settings file and prints all its faults.
func readSettings(file string, out *streams) (settings.Settings, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return settings.Settings{}, errors.Wrap(err, "read settings")
	}
	set, faults := settings.Parse(file, data)
	for _, fault := range faults {
		fmt.Fprintln(out.err, "papayaport:", fault)
	}
	if len(faults) > 0 {
		return set, errors.Errorf("%s has %d faults; nothing was started", file, len(faults))
	}
	return set, nil
}
