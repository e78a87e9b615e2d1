package verdict

import (
	"fmt"
	"slices"
	"strings"
	"time"
)

// Told is what a backend server asked for in its answer to one request.
type Told struct {
	ID     string
	At     time.Time
	Server string
	// PerSecond is the limit that it named in requests a second, 0 for none.
	PerSecond float64
	// Closed is how long it wanted nothing from the instance that it turned away, 0 for not.
	Closed time.Duration
	// Leaving tells that it said that it leaves.
	Leaving bool
}

// Held is a time in which an entry instance was restarted, frozen or cut from its peers, or
// in which what was under way to a backend server was held up.
type Held struct {
	Entry int
	// Server is the place of a backend server and set instead of the entry.
	Server string
	// Cut tells that the instance ran on and was cut from its peers only.
	Cut bool
	Span
}

// Bounds of what servers ask for, those of the users' pages for their first sites.
const (
	// contact is the time behind its first answer from which on a limit holds.
	contact = 3 * time.Second
	// limitWindow is the time in which requests count against a limit; toldBefore is how long
	// before its request an instance has to have been told.
	limitWindow = 4 * time.Second
	toldBefore  = 500 * time.Millisecond
	// limitFactor and limitSlack are by how much a limit may be passed.
	limitFactor = 1.5
	limitSlack  = 5
	// closedSlack is how long behind its answer a server may still get requests that were under
	// way, and closedMost how many may come then until it opens.
	closedSlack = 500 * time.Millisecond
	closedMost  = 2
)

// arrivalOf is a request that reached a server through an entry instance.
type arrivalOf struct {
	entry int
	at    time.Time
}

// wishes checks that servers get what they asked for: no more than their limit, nothing while
// they want nothing, nothing once they said that they leave.
func wishes(r Record) (found []string) {
	entries := map[string]int{}
	for _, a := range r.Answers {
		entries[a.ID] = a.Entry
	}
	arrivals := map[string][]arrivalOf{}
	for _, one := range r.Arrivals {
		if entry, known := entries[one.ID]; known {
			arrivals[one.Server] = append(arrivals[one.Server], arrivalOf{entry, one.At})
		}
	}
	told := map[string][]Told{}
	for _, one := range r.Told {
		told[one.Server] = append(told[one.Server], one)
	}
	for server, all := range told {
		slices.SortFunc(all, func(a, b Told) int { return a.At.Compare(b.At) })
		slices.SortFunc(arrivals[server], func(a, b arrivalOf) int { return a.at.Compare(b.at) })
		found = append(found, r.namedLimits(server, all, arrivals[server])...)
		for _, one := range all {
			if entry, known := entries[one.ID]; known {
				found = append(found, r.heeded(one, entry, arrivals[server])...)
			}
		}
	}
	return found
}

// heeded checks what one answer asked of the instance that it went to.
func (r Record) heeded(told Told, entry int, arrivals []arrivalOf) (found []string) {
	late := 0
	for _, one := range arrivals {
		passed := one.at.Sub(told.At)
		if one.entry != entry || passed <= 0 || r.heldUp(entry, told.Server, Span{told.At, one.at}, false) {
			continue
		}
		if told.Closed > 0 && passed > closedSlack && passed < told.Closed {
			late++
		}
		if told.Leaving && passed > LeavingBound+wakeSlack {
			return []string{fmt.Sprintf("leaving: entry %d sent to %s %v behind its answer that it leaves", entry, told.Server, passed)}
		}
	}
	if late > closedMost {
		return []string{fmt.Sprintf("closed: entry %d sent %d requests to %s, which wanted none for %v", entry, late, told.Server, told.Closed)}
	}
	return nil
}

// namedLimits checks each window in which a server went on naming one limit.
func (r Record) namedLimits(server string, told []Told, arrivals []arrivalOf) []string {
	for begin := 0; begin < len(told); {
		end := begin
		for end < len(told) && told[end].PerSecond == told[begin].PerSecond {
			end++
		}
		named := Span{told[begin].At.Add(contact), told[end-1].At}
		if limit := told[begin].PerSecond; limit > 0 && named.From.Before(named.To) {
			if found := r.window(server, limit, named, told[begin:end], arrivals); found != "" {
				return []string{found}
			}
		}
		begin = end
	}
	return nil
}

// window returns a window with more requests than a limit allows, empty when there is none.
func (r Record) window(server string, limit float64, named Span, told []Told, arrivals []arrivalOf) string {
	heard := map[int]time.Time{}
	for _, a := range r.Answers {
		for _, one := range told {
			if before, known := heard[a.Entry]; one.ID == a.ID && (!known || one.At.Before(before)) {
				heard[a.Entry] = one.At
			}
		}
	}
	var counted []time.Time
	for _, one := range arrivals {
		from, known := heard[one.entry]
		if !known || one.at.Sub(from) < toldBefore || one.at.Before(named.From) || one.at.After(named.To) ||
			r.heldUp(one.entry, server, Span{from, one.at}, true) {
			continue
		}
		counted = append(counted, one.at)
	}
	most, first := limitFactor*limit*limitWindow.Seconds()+limitSlack, 0
	for last, at := range counted {
		for at.Sub(counted[first]) >= limitWindow {
			first++
		}
		if count := last - first + 1; float64(count) > most {
			return fmt.Sprintf("server limit: %s named %v a second and got %d requests within %v, allowed are %.1f", server, limit, count, limitWindow, most)
		}
	}
	return ""
}

// heldUp tells whether something excuses an instance, or held requests up, during a span. A cut
// from peers excuses from what these would have told.
func (r Record) heldUp(entry int, server string, span Span, cutExcuses bool) bool {
	return slices.ContainsFunc(r.Held, func(h Held) bool {
		meant := h.Server == "" && h.Entry == entry && (cutExcuses || !h.Cut)
		for _, mark := range []string{"#", "-"} { // of its life, and of its name
			meant = meant || h.Server != "" && strings.HasPrefix(server, h.Server+mark)
		}
		return meant && h.From.Before(span.To) && h.To.After(span.From)
	})
}
