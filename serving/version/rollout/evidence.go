package rollout

import (
	"iter"
	"maps"
	"slices"
)

// maxNamedServers bounds the candidate servers counted by name; all others are counted together.
const maxNamedServers = 32

// otherServers is the name of the combined count.
const otherServers = "*"

// Evidence counts the results of attempts by route and cohort. It holds at most maxNamedRoutes
// routes and maxNamedServers servers, and one more entry of each, named "*", for all others.
//
// All counts but Tally.Waiting are cumulative: a repeated report changes nothing, and the next
// report makes up for a lost one.
type Evidence struct {
	Routes map[string]Cohorts `cbor:"1,keyasint,omitempty" json:"routes,omitempty"`
	// Servers holds the candidate's counts by server.
	Servers map[string]Tally `cbor:"2,keyasint,omitempty" json:"servers,omitempty"`
}

// Cohorts holds a route's counts for the candidate and for the old versions.
type Cohorts struct {
	Candidate Tally `cbor:"1,keyasint" json:"candidate"`
	Old       Tally `cbor:"2,keyasint" json:"old"`
}

// Add adds the counts of another instance or process. Other is not modified and shares no memory
// with the sum.
func (e *Evidence) Add(other Evidence) { e.combine(other, (*Tally).add) }

// Raise sets each cumulative count to the higher of both. It merges two incomplete counts of the
// same attempts without exceeding the true count.
func (e *Evidence) Raise(other Evidence) {
	e.combine(other, func(t *Tally, other Tally) { t.combine(other, maxCount) })
}

// Since returns the difference from earlier counts, and the waiting attempts.
func (e Evidence) Since(earlier Evidence) Evidence {
	since := e.Clone()
	since.combine(earlier, func(t *Tally, other Tally) { t.combine(other, subtractCounts) })
	return since
}

// Clone returns a deep copy.
func (e Evidence) Clone() Evidence {
	var clone Evidence
	clone.Add(e)
	return clone
}

// Answers returns the number of answers of both cohorts.
func (e Evidence) Answers() (candidate, old int) {
	for _, cohorts := range e.Routes {
		candidate += cohorts.Candidate.Answers
		old += cohorts.Old.Answers
	}
	return candidate, old
}

// combine joins the counts of both by route and by server.
func (e *Evidence) combine(other Evidence, join func(t *Tally, other Tally)) {
	for name := range sortedIf(maps.Keys(other.Routes), len(e.Routes)+len(other.Routes) > maxNamedRoutes) {
		cohorts := other.Routes[name]
		name = e.routeKey(name)
		own := e.Routes[name]
		join(&own.Candidate, cohorts.Candidate)
		join(&own.Old, cohorts.Old)
		e.Routes[name] = own
	}
	for name := range sortedIf(maps.Keys(other.Servers), len(e.Servers)+len(other.Servers) > maxNamedServers) {
		tally := other.Servers[name]
		name = e.serverKey(name)
		own := e.Servers[name]
		join(&own, tally)
		e.Servers[name] = own
	}
}

// sortedIf returns the names, sorted if needed. Where not all names fit, sorting makes the
// result independent of the map's order.
func sortedIf(names iter.Seq[string], matters bool) iter.Seq[string] {
	if !matters {
		return names
	}
	return slices.Values(slices.Sorted(names))
}

// routeKey returns the name under which a route is counted.
func (e *Evidence) routeKey(name string) string {
	if e.Routes == nil {
		e.Routes = make(map[string]Cohorts)
	}
	named := len(e.Routes)
	if _, ok := e.Routes[otherRoutes]; ok {
		named--
	}
	if _, ok := e.Routes[name]; ok || named < maxNamedRoutes {
		return name
	}
	return otherRoutes
}

// serverKey returns the name under which a candidate server is counted.
func (e *Evidence) serverKey(name string) string {
	if e.Servers == nil {
		e.Servers = make(map[string]Tally)
	}
	named := len(e.Servers)
	if _, ok := e.Servers[otherServers]; ok {
		named--
	}
	if _, ok := e.Servers[name]; ok || named < maxNamedServers {
		return name
	}
	return otherServers
}

// withoutWaiting returns the counts without the waiting attempts.
func (e Evidence) withoutWaiting() Evidence {
	settled := e.Clone()
	for name, cohorts := range settled.Routes {
		cohorts.Candidate.Waiting, cohorts.Old.Waiting = nil, nil
		settled.Routes[name] = cohorts
	}
	for name, tally := range settled.Servers {
		tally.Waiting = nil
		settled.Servers[name] = tally
	}
	return settled
}

// onlyWaiting returns only the counts of waiting attempts.
func (e Evidence) onlyWaiting() Evidence {
	waiting := Evidence{Routes: make(map[string]Cohorts), Servers: make(map[string]Tally)}
	for name, cohorts := range e.Routes {
		if len(cohorts.Candidate.Waiting)+len(cohorts.Old.Waiting) > 0 {
			waiting.Routes[name] = Cohorts{
				Candidate: Tally{Waiting: cohorts.Candidate.Waiting},
				Old:       Tally{Waiting: cohorts.Old.Waiting},
			}
		}
	}
	for name, tally := range e.Servers {
		if len(tally.Waiting) > 0 {
			waiting.Servers[name] = Tally{Waiting: tally.Waiting}
		}
	}
	return waiting
}
