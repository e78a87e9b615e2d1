package command

import (
	"strings"

	"papayaport.dev/serving/version/service"
)

type check struct {
	Paths []string `arg:"" name:"path" help:"Service files, or directories with service.json and *.service.json files."`
}

// checked is the answer with --json.
type checked struct {
	Files    int             `json:"files"`
	Services []string        `json:"services,omitempty"`
	Faults   []service.Fault `json:"faults,omitempty"`
}

// Run checks the files.
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
	env.show(checked{Files: len(contents), Services: names}, func() {
		env.say("%d files are valid (%s); publish them with: papayactl publish %s", len(contents), strings.Join(names, ", "), strings.Join(c.Paths, " "))
	})
	return nil
}
