package command

import (
	"fmt"
	"strings"

	"papayaport.dev/serving/connection/administration"
	"papayaport.dev/serving/version/publication"
)

type status struct {
	Publication string `placeholder:"ID" help:"Tell how this publication ended instead."`
}

// answered is the status of one address, or why there is none.
type answered struct {
	Address string                 `json:"address"`
	Status  *administration.Status `json:"status,omitempty"`
	Error   string                 `json:"error,omitempty"`
}

// statuses is the answer with --json.
type statuses struct {
	Instances []answered `json:"instances"`
}

// Help describes the command further.
func (s *status) Help() string {
	return `STALE lists what the instance has not heard from for longer than usual, and for how
long. With --publication the exit code is 0 if it landed, 4 if another version came
first, 3 if that is not known yet.`
}

// Run prints the status of every address that is given.
func (s *status) Run(env *environment) error {
	if s.Publication != "" {
		return env.askPublication(publication.ID(s.Publication))
	}
	if len(env.options.Address) == 0 {
		_, err := env.client()
		return err
	}
	var all statuses
	for _, address := range env.options.Address {
		one, err := env.ask(address)
		if err != nil {
			return err
		}
		all.Instances = append(all.Instances, one)
	}
	env.show(all, func() { env.printStatuses(all) })
	return all.failure()
}

func (e *environment) ask(address string) (answered, error) {
	client, err := e.clientOf([]string{address})
	if err != nil {
		return answered{}, err
	}
	ctx, cancel := e.context()
	defer cancel()
	status, err := client.Status(ctx)
	if err != nil {
		return answered{Address: address, Error: err.Error()}, nil
	}
	return answered{Address: address, Status: &status}, nil
}

// failure tells that some address did not answer.
func (s statuses) failure() error {
	silent := []string{}
	for _, one := range s.Instances {
		if one.Status == nil {
			silent = append(silent, one.Error)
		}
	}
	if len(silent) == 0 {
		return nil
	}
	return failed(NotDone, "%d of %d instances gave no status\n%s", len(silent), len(s.Instances), strings.Join(silent, "\n"))
}

func (e *environment) printStatuses(all statuses) {
	table := newRows("INSTANCE", "DOMAIN", "READY", "DRAINING", "VERSION", "IN FORCE", "IN FLIGHT", "QUEUED", "STALE", "LEAVING", "LEASES")
	for _, one := range all.Instances {
		if s := one.Status; s != nil {
			table.add(s.Instance, s.FailureDomain, ready(s), yes(s.Draining), s.Version, age(s.VersionAgeMS), s.InFlight, s.Queued, stale(s), leaving(s), leases(s))
		}
	}
	if len(table.lines) > 1 {
		table.print(e.out)
	}
}

func ready(s *administration.Status) string {
	if s.Ready || s.Reason == "" {
		return yes(s.Ready)
	}
	return "no (" + s.Reason + ")"
}

func stale(s *administration.Status) string {
	var parts []string
	for _, source := range s.Sources {
		if source.Stale {
			parts = append(parts, strings.TrimSpace(source.Kind+" "+source.Name)+" "+age(source.AgeMS))
		}
	}
	return list(parts)
}

func leaving(s *administration.Status) string {
	var parts []string
	for _, one := range s.Leaving {
		parts = append(parts, one.Instance)
	}
	return list(parts)
}

func leases(s *administration.Status) string {
	var parts []string
	for _, one := range s.Leases {
		parts = append(parts, fmt.Sprintf("%s #%d", one.Name, one.Fencing))
	}
	return list(parts)
}

func list(parts []string) string {
	if len(parts) == 0 {
		return "-"
	}
	return strings.Join(parts, ", ")
}

// askPublication tells how a publication ended.
func (e *environment) askPublication(id publication.ID) error {
	if _, err := id.Version(); err != nil {
		return failed(BadUse, "%v", err)
	}
	client, err := e.client()
	if err != nil {
		return err
	}
	ctx, cancel := e.context()
	defer cancel()
	result, err := client.Publication(ctx, id)
	if err != nil {
		return err
	}
	e.show(result, func() {
		e.say("the publication landed as version %d (%s) by %s", result.Head.Version, describe(result.Head.Changes), result.Head.Operator)
	})
	return nil
}
