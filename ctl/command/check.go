package command

import (
	"strings"

	"papayaport.dev/serving/version/service"
)

type check struct {
	Paths []string `arg:"" name:"path" help:"Service files, or directories with service.json and *.service.json files."`
}

// checkResult is the output with --json.
type checkResult struct {
	Files    int             `json:"files"`
	Services []string        `json:"services,omitempty"`
	Faults   []service.Fault `json:"faults,omitempty"`
}

// Run validates the files.
func (c *check) Run(env *environment) error {
	contents, err := collect(c.Paths)
	if err != nil {
		return err
	}
	parsed, err := parse(contents)
	if err != nil {
		return err
	}
	names := sortedNames(parsed)
	env.printResult(checkResult{Files: len(contents), Services: names}, func() {
		env.printMessage("%d files are valid (%s); publish them with: papayactl publish %s", len(contents), strings.Join(names, ", "), strings.Join(c.Paths, " "))
	})
	return nil
}
