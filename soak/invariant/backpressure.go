package invariant

import (
	"fmt"
	"slices"
	"strings"
	"time"
)

// Backpressure holds the backpressure headers of one response of a backend server.
type Backpressure struct {
	ID     string
	At     time.Time
	Server string
	// RateLimit is in requests per second, 0 for none.
	RateLimit float64
	// RetryAfter is how long the refused instance must send no requests, 0 for no refusal.
	RetryAfter time.Duration
	// Leaving is true if the server announced that it is leaving.
	Leaving bool
}

// Disruption is an interval in which an entry instance was restarted, suspended or cut off from
// its peers, or in which requests to a backend server were delayed on the network.
type Disruption struct {
	Entry int
	// Server is the base name of a backend server; if set, Entry does not apply.
	Server string
	// PeersOnly is true if the instance kept running and was only cut off from its peers.
	PeersOnly bool
	Span
}

// Bounds for following backpressure, from the users' specification of their first sites.
const (
	// limitGrace is the time after the first response with a rate limit from which on it is
	// enforced.
	limitGrace = 3 * time.Second
	// limitWindow is the window over which requests are counted. minLimitAge is how long before a
	// request its instance must have received the limit for the request to count.
	limitWindow = 4 * time.Second
	minLimitAge = 500 * time.Millisecond
	// limitFactor and limitSlack are the tolerance of a limit.
	limitFactor = 1.5
	limitSlack  = 5
	// inFlightSlack is the time after a refusal in which requests already in flight may arrive,
	// and maxLateRequests the number of requests allowed from then until RetryAfter has passed.
	inFlightSlack   = 500 * time.Millisecond
	maxLateRequests = 2
)

// entryArrival is the arrival of a request at a server, with the entry instance that sent it.
type entryArrival struct {
	entry int
	at    time.Time
}

// backpressure checks that entry instances follow the backpressure of servers: rate limits,
// Retry-After, and announcements that a server is leaving.
func backpressure(r Record) (found []string) {
	entries := map[string]int{}
	for _, a := range r.Answers {
		entries[a.ID] = a.Entry
	}
	arrivals := map[string][]entryArrival{}
	for _, one := range r.Arrivals {
		if entry, known := entries[one.ID]; known {
			arrivals[one.Server] = append(arrivals[one.Server], entryArrival{entry, one.At})
		}
	}
	told := map[string][]Backpressure{}
	for _, one := range r.Backpressure {
		told[one.Server] = append(told[one.Server], one)
	}
	for server, all := range told {
		slices.SortFunc(all, func(a, b Backpressure) int { return a.At.Compare(b.At) })
		slices.SortFunc(arrivals[server], func(a, b entryArrival) int { return a.at.Compare(b.at) })
		found = append(found, r.checkRateLimits(server, all, arrivals[server])...)
		for _, one := range all {
			if entry, known := entries[one.ID]; known {
				found = append(found, r.checkResponse(one, entry, arrivals[server])...)
			}
		}
	}
	return found
}

// checkResponse checks that the instance that received a response follows its RetryAfter and
// Leaving.
func (r Record) checkResponse(told Backpressure, entry int, arrivals []entryArrival) (found []string) {
	late := 0
	for _, one := range arrivals {
		passed := one.at.Sub(told.At)
		if one.entry != entry || passed <= 0 || r.disrupted(entry, told.Server, Span{told.At, one.at}, false) {
			continue
		}
		if told.RetryAfter > 0 && passed > inFlightSlack && passed < told.RetryAfter {
			late++
		}
		if told.Leaving && passed > LeavingBound+schedulingSlack {
			return []string{fmt.Sprintf("leaving: entry %d sent a request to %s %v after the announcement", entry, told.Server, passed)}
		}
	}
	if late > maxLateRequests {
		return []string{fmt.Sprintf("closed: entry %d sent %d requests to %s within its Retry-After of %v", entry, late, told.Server, told.RetryAfter)}
	}
	return nil
}

// checkRateLimits checks each interval in which a server sent the same rate limit throughout.
func (r Record) checkRateLimits(server string, told []Backpressure, arrivals []entryArrival) []string {
	for begin := 0; begin < len(told); {
		end := begin
		for end < len(told) && told[end].RateLimit == told[begin].RateLimit {
			end++
		}
		named := Span{told[begin].At.Add(limitGrace), told[end-1].At}
		if limit := told[begin].RateLimit; limit > 0 && named.From.Before(named.To) {
			if found := r.exceededWindow(server, limit, named, told[begin:end], arrivals); found != "" {
				return []string{found}
			}
		}
		begin = end
	}
	return nil
}

// exceededWindow describes the first window with more requests than the limit allows. It returns
// an empty string if there is none.
func (r Record) exceededWindow(server string, limit float64, named Span, told []Backpressure, arrivals []entryArrival) string {
	limitedSince := map[int]time.Time{}
	for _, a := range r.Answers {
		for _, one := range told {
			if before, known := limitedSince[a.Entry]; one.ID == a.ID && (!known || one.At.Before(before)) {
				limitedSince[a.Entry] = one.At
			}
		}
	}
	var counted []time.Time
	for _, one := range arrivals {
		from, known := limitedSince[one.entry]
		if !known || one.at.Sub(from) < minLimitAge || one.at.Before(named.From) || one.at.After(named.To) ||
			r.disrupted(one.entry, server, Span{from, one.at}, true) {
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
			return fmt.Sprintf("server limit: %s limited to %v requests per second and got %d within %v, allowed are %.1f", server, limit, count, limitWindow, most)
		}
	}
	return ""
}

// disrupted reports whether a disruption of an instance or a server overlaps a span. A cut from
// peers counts only with cutExcuses, for information that the peers relay.
func (r Record) disrupted(entry int, server string, span Span, cutExcuses bool) bool {
	return slices.ContainsFunc(r.Disruptions, func(h Disruption) bool {
		meant := h.Server == "" && h.Entry == entry && (cutExcuses || !h.PeersOnly)
		for _, mark := range []string{"#", "-"} { // separators of the incarnation and of later names
			meant = meant || h.Server != "" && strings.HasPrefix(server, h.Server+mark)
		}
		return meant && h.From.Before(span.To) && h.To.After(span.From)
	})
}
