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
	Paths   []string `arg:"" optional:"" name:"path" help:"Service files, or directories with service.json and *.service.json files. Other services stay as they are."`
	Note    string   `short:"m" help:"Why, for the audit trail."`
	Remove  []string `placeholder:"SERVICE" help:"Service to remove."`
	Replace bool     `help:"Remove all services that are not given."`
	Base    int64    `default:"-1" help:"Version that the files were made for; the latest one if not given. Publishing fails when another version came first."`
}

// Help describes the command further.
func (p *publish) Help() string {
	return `Files are checked here and by the entry instance before anything changes. Whoever
publishes second on the same base gets exit code 4 and learns who was first. With exit
code 3 the answer was lost: ask with the printed command until it is 0 or 4.

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
	return env.send(p.Base, publication.Request{Note: p.Note, Files: contents, Remove: p.Remove, Replace: p.Replace})
}

// send publishes a request on a base version, the latest one if base is negative.
func (e *environment) send(base int64, request publication.Request) error {
	client, err := e.client()
	if err != nil {
		return err
	}
	ctx, cancel := e.context()
	defer cancel()
	if base < 0 {
		base, err = latest(ctx, client)
		if err != nil {
			return err
		}
	}
	request.ID = publication.NewID(uint64(base) + 1)
	result, err := client.Publish(ctx, request)
	if err != nil {
		return err
	}
	e.show(result, func() { e.sayPublished(result) })
	return nil
}

func latest(ctx context.Context, client *administration.Client) (int64, error) {
	history, err := client.History(ctx, 0, 1)
	if err != nil || len(history.Versions) == 0 {
		return 0, err
	}
	return int64(history.Versions[0].Version), nil
}

func (e *environment) sayPublished(result publication.Result) {
	head := result.Head
	if result.Unchanged {
		e.say("nothing changed, version %d has these files already", head.Version)
		return
	}
	e.say("version %d is published (%s), in force everywhere within seconds; see: papayactl status", head.Version, describe(head.Changes))
}

func describe(changes []publication.Change) string {
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
