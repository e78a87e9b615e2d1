package rollout

import (
	"iter"
	"maps"
	"slices"
)

// serversMost bounds the candidate servers that are told apart; the rest count as one.
const serversMost = 32

// otherServers is the name under which the rest is counted.
const otherServers = "*"

// Evidence counts how attempts ended, by route and cohort. It holds at most routesMost routes
// and serversMost servers, and one more of each, named "*", for the rest.
//
// All counts but Tally.Waiting are cumulative, so that a repeated report changes nothing and a
// lost one is made up for by the next.
type Evidence struct {
	Routes map[string]Cohorts `cbor:"1,keyasint,omitempty" json:"routes,omitempty"`
	// Servers counts the candidate's answers by server.
	Servers map[string]Tally `cbor:"2,keyasint,omitempty" json:"servers,omitempty"`
}

// Cohorts holds the counts of a route at the candidate and at the old versions.
type Cohorts struct {
	Candidate Tally `cbor:"1,keyasint" json:"candidate"`
	Old       Tally `cbor:"2,keyasint" json:"old"`
}

// Add sums the counts of other instances or processes into these. Other is not changed and
// shares nothing with the sum.
func (e *Evidence) Add(other Evidence) { e.combine(other, (*Tally).add) }

// Raise takes the higher of each two cumulative counts. It joins two counts of the same
// attempts that each may lack some: neither ever holds more than there were.
func (e *Evidence) Raise(other Evidence) {
	e.combine(other, func(t *Tally, other Tally) { t.combine(other, most) })
}

// Since returns what these counts hold more than earlier ones, and the attempts that wait.
func (e Evidence) Since(earlier Evidence) Evidence {
	since := e.Clone()
	since.combine(earlier, func(t *Tally, other Tally) { t.combine(other, less) })
	return since
}

// Clone returns a copy that shares nothing with these counts.
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

// combine joins the counts of two by name.
func (e *Evidence) combine(other Evidence, join func(t *Tally, other Tally)) {
	for name := range ordered(maps.Keys(other.Routes), len(e.Routes)+len(other.Routes) > routesMost) {
		cohorts := other.Routes[name]
		name = e.route(name)
		own := e.Routes[name]
		join(&own.Candidate, cohorts.Candidate)
		join(&own.Old, cohorts.Old)
		e.Routes[name] = own
	}
	for name := range ordered(maps.Keys(other.Servers), len(e.Servers)+len(other.Servers) > serversMost) {
		tally := other.Servers[name]
		name = e.server(name)
		own := e.Servers[name]
		join(&own, tally)
		e.Servers[name] = own
	}
}

// ordered sorts names where it matters which ones are told apart, so that the same reports give
// the same counts.
func ordered(names iter.Seq[string], matters bool) iter.Seq[string] {
	if !matters {
		return names
	}
	return slices.Values(slices.Sorted(names))
}

// route returns the name that a route is counted under.
func (e *Evidence) route(name string) string {
	if e.Routes == nil {
		e.Routes = make(map[string]Cohorts)
	}
	named := len(e.Routes)
	if _, ok := e.Routes[otherRoutes]; ok {
		named--
	}
	if _, ok := e.Routes[name]; ok || named < routesMost {
		return name
	}
	return otherRoutes
}

// server returns the name that a candidate server is counted under.
func (e *Evidence) server(name string) string {
	if e.Servers == nil {
		e.Servers = make(map[string]Tally)
	}
	named := len(e.Servers)
	if _, ok := e.Servers[otherServers]; ok {
		named--
	}
	if _, ok := e.Servers[name]; ok || named < serversMost {
		return name
	}
	return otherServers
}

// settled returns the counts without the attempts that wait.
func (e Evidence) settled() Evidence {
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

// waiting returns only the attempts that wait.
func (e Evidence) waiting() Evidence {
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
