package daemon

import (
	"context"
	"slices"
	"strings"
	"time"

	"papayaport.dev/serving/connection/administration"
	"papayaport.dev/serving/process/membership"
	"papayaport.dev/serving/process/platform"
	"papayaport.dev/serving/process/problem"
	"papayaport.dev/serving/version/publication"
	"papayaport.dev/serving/version/service"
)

const (
	// staleSourceAge is the age above which the data of a source is stale.
	staleSourceAge = 10 * time.Second
	// drainTimeout is the time until a drained backend server must have finished its requests.
	drainTimeout = 10 * time.Minute
)

// administeredNode implements administration.Node for this entry instance.
type administeredNode struct{ d *Daemon }

// Publish publishes service files.
func (n *administeredNode) Publish(ctx context.Context, request publication.Request) (publication.Result, error) {
	return n.d.publisher.Publish(ctx, request)
}

// Publication returns the result of a publication.
func (n *administeredNode) Publication(ctx context.Context, id publication.ID) (publication.Result, error) {
	return n.d.publisher.Publication(ctx, id)
}

// History returns a part of the audit trail.
func (n *administeredNode) History(ctx context.Context, before uint64, limit int) ([]publication.Head, error) {
	return n.d.publisher.History(ctx, before, limit)
}

// Current returns the version in force.
func (n *administeredNode) Current() *publication.Version { return n.d.keeper.Current() }

// Drain stops new work for this instance or for a backend server.
func (n *administeredNode) Drain(_ context.Context, id string) error {
	if id == "" || id == n.d.settings.Instance {
		n.d.gateway.Drain(true)
		n.d.publishLocal(time.Now())
		return nil
	}
	inst, found := n.d.fleet.find(id)
	if !found || inst.Role != platform.BackendRole {
		return problem.New(problem.BadRequest, "no backend server %q in the instance list", id)
	}
	n.d.announceLeaving(inst.ID, inst.Incarnation, drainTimeout)
	n.d.exchange.Deliver()
	return nil
}

// Undrain reverts the drain of this instance.
func (n *administeredNode) Undrain(_ context.Context, id string) error {
	if id != "" && id != n.d.settings.Instance {
		return problem.New(problem.BadRequest, "the drain of a backend server cannot be reverted; it lasts until the server restarts")
	}
	n.d.gateway.Drain(false)
	n.d.publishLocal(time.Now())
	return nil
}

// Status returns the status of this instance.
func (n *administeredNode) Status() administration.Status {
	d := n.d
	now := time.Now()
	status := administration.Status{
		Instance: d.settings.Instance, Incarnation: d.settings.Incarnation,
		Region: d.settings.Region, FailureDomain: d.settings.FailureDomain,
		Draining: d.gateway.Draining(), UptimeMS: now.Sub(d.started).Milliseconds(),
		InFlight: d.gateway.InFlight(), Sources: n.sources(now),
		Leaving: n.leaving(now), Leases: n.leases(),
	}
	if err := d.ready(); err != nil {
		status.Reason = err.Error()
	}
	status.Ready = status.Reason == ""
	for _, file := range n.files() {
		waiting, _ := d.admission.QueueCounts(file.Name)
		status.Queued += waiting
	}
	if version := d.keeper.Current(); version != nil {
		status.Version = version.Number
		status.Publication = version.Head.Publication
		status.Operator = version.Head.Operator
		status.PublishedAt = version.Head.Time
		status.VersionAgeMS = now.Sub(d.keeper.Freshness().Adopted).Milliseconds()
	}
	return status
}

func (n *administeredNode) files() []*service.File {
	version := n.d.keeper.Current()
	if version == nil {
		return nil
	}
	var files []*service.File
	for _, file := range version.Files {
		files = append(files, file)
	}
	slices.SortFunc(files, func(a, b *service.File) int { return strings.Compare(a.Name, b.Name) })
	return files
}

func source(kind, name string, receivedAt, now time.Time) administration.Source {
	s := administration.Source{Kind: kind, Name: name, AgeMS: -1, Stale: true}
	if !receivedAt.IsZero() {
		s.AgeMS = now.Sub(receivedAt).Milliseconds()
		s.Stale = now.Sub(receivedAt) > staleSourceAge
	}
	return s
}

func (n *administeredNode) sources(now time.Time) []administration.Source {
	d := n.d
	_, listed := d.fleet.list()
	sources := []administration.Source{source("instance_list", "", listed, now), n.storeSource(now)}
	for _, member := range d.members.Members(now) {
		sources = append(sources, source("peer", member.Instance, member.LastHeartbeat, now))
	}
	ages := d.fleet.pollTimes()
	for _, inst := range d.engines() {
		sources = append(sources, source("backend", inst.ID, ages[inst.ID], now))
	}
	return sources
}

// storeSource returns when the key-value service last answered. An instance without leases
// rarely calls it, so that a high age alone does not make the source stale.
func (n *administeredNode) storeSource(now time.Time) administration.Source {
	answeredAt, lost := n.d.platform.Contact.State()
	s := source("store", "", answeredAt, now)
	s.Stale = lost
	return s
}

func (n *administeredNode) leaving(now time.Time) []administration.Leaving {
	var leaving []administration.Leaving
	for _, l := range n.d.members.LeavingSet() {
		leaving = append(leaving, administration.Leaving{
			Instance: l.Instance, Incarnation: l.Incarnation, LeaveInMS: l.Deadline.Sub(now).Milliseconds(),
		})
	}
	return leaving
}

func (n *administeredNode) leases() []administration.Lease {
	var leases []administration.Lease
	for _, name := range n.d.wantedLeases() {
		if fencing, held := n.d.leases.Held(name); held {
			leases = append(leases, administration.Lease{Name: name, Fencing: fencing})
		}
	}
	return leases
}

// Services returns the services in force with their load from this instance.
func (n *administeredNode) Services() []administration.Service {
	list, _ := n.d.fleet.list()
	used := n.inFlightByBackend()
	var services []administration.Service
	for _, file := range n.files() {
		s := administration.Service{Name: file.Name, Kind: file.Kind, Accounts: len(file.Accounts)}
		if file.Model != nil {
			s.Model = file.Model.Name + " " + file.Model.Version
		}
		s.Queued, _ = n.d.admission.QueueCounts(file.Name)
		for _, inst := range list {
			if inst.Service == file.Name {
				n.countBackend(&s, inst, used)
			}
		}
		services = append(services, s)
	}
	return services
}

func (n *administeredNode) inFlightByBackend() map[string]int {
	used := map[string]int{}
	for _, use := range n.d.routes.LocalLoad() {
		used[use.Backend] = use.InFlight
	}
	return used
}

func (n *administeredNode) countBackend(s *administration.Service, inst platform.Instance, used map[string]int) {
	s.InFlight += used[inst.ID]
	if _, leaving := n.d.routes.IsLeaving(inst.ID); leaving {
		s.Leaving++
		return
	}
	s.Backends++
}

// Accounts returns the client accounts with their use, summed over all entry instances.
func (n *administeredNode) Accounts() []administration.Account {
	now := time.Now()
	totals := n.d.members.Totals(now).ByAccount
	own := map[string]membership.AccountUsage{}
	for _, use := range n.d.admission.Usage(now) {
		own[use.Account] = use
	}
	var accounts []administration.Account
	for _, file := range n.files() {
		for _, account := range file.Accounts {
			name := file.Name + "/" + account.Name
			accounts = append(accounts, accountOf(file, account, totals[name], own[name]))
		}
	}
	return accounts
}

func accountOf(file *service.File, account service.Account, others, own membership.AccountUsage) administration.Account {
	return administration.Account{
		Service: file.Name, Name: account.Name, Priority: account.Priority,
		RequestsPerSecond: account.RequestsPerSecond, TokensPerSecond: account.TokensPerSecond,
		Concurrency:           account.Concurrency,
		UsedRequestsPerSecond: others.RequestsPerSecond + own.RequestsPerSecond,
		UsedTokensPerSecond:   others.TokensPerSecond + own.TokensPerSecond,
		InFlight:              others.InFlight + own.InFlight,
	}
}

// Instances returns the instances of the instance list.
func (n *administeredNode) Instances() []administration.Instance {
	list, _ := n.d.fleet.list()
	used := n.inFlightByBackend()
	leaving := map[string]bool{}
	for _, l := range n.d.members.LeavingSet() {
		leaving[l.Instance+"/"+formatIncarnation(l.Incarnation)] = true
	}
	var instances []administration.Instance
	for _, inst := range list {
		instances = append(instances, administration.Instance{
			ID: inst.ID, Incarnation: inst.Incarnation, Role: string(inst.Role), Service: inst.Service,
			Address: inst.Address, Region: inst.Region, FailureDomain: inst.FailureDomain, Class: inst.Class,
			PricePerHour: inst.PricePerHour, InFlight: used[inst.ID],
			Leaving: leaving[inst.ID+"/"+formatIncarnation(inst.Incarnation)],
		})
	}
	return instances
}
