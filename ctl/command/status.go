package command

import (
	"fmt"
	"strings"

	"papayaport.dev/serving/connection/administration"
	"papayaport.dev/serving/version/publication"
)

type status struct {
	Publication string `placeholder:"ID" help:"Print the outcome of this publication instead."`
}

// instanceStatus is the status of the instance at an address, or the error of the request.
type instanceStatus struct {
	Address string                 `json:"address"`
	Status  *administration.Status `json:"status,omitempty"`
	Error   string                 `json:"error,omitempty"`
}

// statuses is the output with --json.
type statuses struct {
	Instances []instanceStatus `json:"instances"`
}

// Help returns the detailed help text.
func (s *status) Help() string {
	return `STALE lists the sources without a recent update and the age of the last one. With
--publication the exit code is 0 if it was published, 4 if another version was published
first, 3 if the outcome is not known yet.`
}

// Run prints the status of every address on the command line.
func (s *status) Run(env *environment) error {
	if s.Publication != "" {
		return env.printPublication(publication.ID(s.Publication))
	}
	if len(env.options.Address) == 0 {
		_, err := env.client()
		return err
	}
	var all statuses
	for _, address := range env.options.Address {
		one, err := env.fetchStatus(address)
		if err != nil {
			return err
		}
		all.Instances = append(all.Instances, one)
	}
	env.printResult(all, func() { env.printStatuses(all) })
	return all.failure()
}

func (e *environment) fetchStatus(address string) (instanceStatus, error) {
	client, err := e.clientOf([]string{address})
	if err != nil {
		return instanceStatus{}, err
	}
	ctx, cancel := e.context()
	defer cancel()
	status, err := client.Status(ctx)
	if err != nil {
		return instanceStatus{Address: address, Error: err.Error()}, nil
	}
	return instanceStatus{Address: address, Status: &status}, nil
}

// failure returns an error if an address gave no status, nil otherwise.
func (s statuses) failure() error {
	messages := []string{}
	for _, one := range s.Instances {
		if one.Status == nil {
			messages = append(messages, one.Error)
		}
	}
	if len(messages) == 0 {
		return nil
	}
	return failed(NotDone, "%d of %d instances gave no status\n%s", len(messages), len(s.Instances), strings.Join(messages, "\n"))
}

func (e *environment) printStatuses(all statuses) {
	table := newTextTable("INSTANCE", "DOMAIN", "READY", "DRAINING", "VERSION", "IN FORCE", "IN FLIGHT", "QUEUED", "STALE", "LEAVING", "LEASES")
	for _, one := range all.Instances {
		if s := one.Status; s != nil {
			table.add(s.Instance, s.FailureDomain, ready(s), yesNo(s.Draining), s.Version, age(s.VersionAgeMS), s.InFlight, s.Queued, stale(s), leaving(s), leases(s))
		}
	}
	if len(table.lines) > 1 {
		table.print(e.out)
	}
}

func ready(s *administration.Status) string {
	if s.Ready || s.Reason == "" {
		return yesNo(s.Ready)
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

// printPublication queries and prints the outcome of a publication.
func (e *environment) printPublication(id publication.ID) error {
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
	e.printResult(result, func() {
		e.printMessage("the publication landed as version %d (%s) by %s", result.Head.Version, describeChanges(result.Head.Changes), result.Head.Operator)
	})
	return nil
}
