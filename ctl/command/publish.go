package command

import (
	"context"
	"fmt"
	"sort"
	"strings"

	"papayaport.dev/serving/connection/administration"
	"papayaport.dev/serving/version/publication"
	"papayaport.dev/serving/version/service"
)

type publish struct {
	Paths   []string `arg:"" optional:"" name:"path" help:"Service files, or directories with service.json and *.service.json files. Other services stay unchanged."`
	Note    string   `short:"m" help:"Reason, for the audit trail."`
	Remove  []string `placeholder:"SERVICE" help:"Service to remove."`
	Replace bool     `help:"Remove all services that are not in the given files."`
	Base    int64    `default:"-1" help:"Version that the files are based on; defaults to the latest one. Publishing fails if another version was published in the meantime."`
}

// Help returns the detailed help text.
func (p *publish) Help() string {
	return `Files are validated locally and by the entry instance before anything changes. If
another version was published on the same base, the exit code is 4 and the message names its
operator. Exit code 3 means that the response was lost: repeat the printed command until
its exit code is 0 or 4.

Example: papayactl publish desk-app/service.json -m "raise the queue"`
}

// Run publishes the files.
func (p *publish) Run(env *environment) error {
	if len(p.Paths) == 0 && len(p.Remove) == 0 {
		return failed(BadUse, "nothing to publish; give service files or --remove")
	}
	contents, err := collect(p.Paths)
	if err != nil {
		return err
	}
	if _, err := parse(contents); err != nil {
		return err
	}
	return env.publish(p.Base, publication.Request{Note: p.Note, Files: contents, Remove: p.Remove, Replace: p.Replace})
}

// publish publishes a request on a base version, the latest one if base is negative.
func (e *environment) publish(base int64, request publication.Request) error {
	client, err := e.client()
	if err != nil {
		return err
	}
	ctx, cancel := e.context()
	defer cancel()
	if base < 0 {
		base, err = latestVersion(ctx, client)
		if err != nil {
			return err
		}
	}
	request.ID = publication.NewID(uint64(base) + 1)
	result, err := client.Publish(ctx, request)
	if err != nil {
		return err
	}
	e.printResult(result, func() { e.printPublished(result) })
	return nil
}

func latestVersion(ctx context.Context, client *administration.Client) (int64, error) {
	history, err := client.History(ctx, 0, 1)
	if err != nil || len(history.Versions) == 0 {
		return 0, err
	}
	return int64(history.Versions[0].Version), nil
}

func (e *environment) printPublished(result publication.Result) {
	head := result.Head
	if result.Unchanged {
		e.printMessage("nothing changed, version %d has these files already", head.Version)
		return
	}
	e.printMessage("version %d is published (%s), in force everywhere within seconds; see: papayactl status", head.Version, describeChanges(head.Changes))
}

func describeChanges(changes []publication.Change) string {
	if len(changes) == 0 {
		return "no service changed"
	}
	parts := make([]string, len(changes))
	for i, change := range changes {
		parts[i] = fmt.Sprintf("%s %s", change.Kind, change.Service)
	}
	return strings.Join(parts, ", ")
}

func sortedNames(files map[string]*service.File) []string {
	names := make([]string, 0, len(files))
	for name := range files {
		names = append(names, name)
	}
	sort.Strings(names)
	return names
}
