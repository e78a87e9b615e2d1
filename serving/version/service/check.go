package service

import (
	"fmt"
	"net/http"
	"regexp"
	"slices"
	"strconv"
	"strings"
)

// Limits of the values in a service file.
const (
	maxWeightBytes   = 16 << 40
	maxTokens        = 1 << 20
	maxContextTokens = 16 << 20
	maxNameBytes     = 128
	maxPriority      = 9
	maxRate          = 1e9
	maxConcurrency   = 1_000_000
	maxTargetMS      = 600_000
	maxAttempts      = 10
	minWindowMS      = 1000
	maxWindowMS      = 24 * 3600 * 1000
	maxQueue         = 100_000
	maxAgeingMS      = 3_600_000
	maxPerDomain     = 10_000
	maxSlots         = 10_000
	minDeadlineMS    = 100
	maxDeadlineMS    = 3_600_000
)

var (
	namePattern = regexp.MustCompile(`^[a-z][a-z0-9-]{0,62}$`)
	hashPattern = regexp.MustCompile(`^[0-9a-f]{64}$`)
	pathPattern = regexp.MustCompile(`^/[A-Za-z0-9._~!$&'()*+,;=:@/-]*$`)
)

const nameAllowed = "1 to 63 lower-case letters, digits and hyphens, the first one a letter"

// reservedNames holds names that services cannot have, because the callers' listener uses them
// as paths.
var reservedNames = []string{"v1", "livez", "readyz", "metrics", "debug"}

// methods holds the methods allowed in routes.
var methods = []string{
	http.MethodGet, http.MethodHead, http.MethodPost, http.MethodPut,
	http.MethodPatch, http.MethodDelete, http.MethodOptions,
}

// valueChecker collects faults of values. Fields that already have a type fault are skipped.
type valueChecker struct {
	file       string
	typeFaults []Fault
	faults     []Fault
}

func checkValues(name string, file *File, typeFaults []Fault) []Fault {
	c := &valueChecker{file: name, typeFaults: typeFaults}
	c.identity(file)
	c.model(file)
	c.routes(file)
	c.accounts(file)
	c.latency(&file.LatencyTarget)
	c.retry(file)
	c.queue(&file.Queue)
	c.capacity(&file.Capacity)
	c.integer("deadline_ms", file.DeadlineMS, minDeadlineMS, maxDeadlineMS)
	return c.faults
}

func (c *valueChecker) addFault(field, value, allowed string) {
	for _, fault := range c.typeFaults {
		if fault.Field == field || fault.Field == "" || strings.HasPrefix(field, fault.Field+".") {
			return
		}
	}
	c.faults = append(c.faults, Fault{c.file, field, value, allowed})
}

func (c *valueChecker) integer(field string, value, low, high int64) {
	if value < low || value > high {
		c.addFault(field, strconv.FormatInt(value, 10), fmt.Sprintf("%d to %d", low, high))
	}
}

func (c *valueChecker) number(field string, value, low, high float64) {
	if !(value >= low && value <= high) {
		c.addFault(field, formatFloat(value), formatFloat(low)+" to "+formatFloat(high))
	}
}

func formatFloat(value float64) string { return strconv.FormatFloat(value, 'g', -1, 64) }

func (c *valueChecker) text(field, value string, ok bool, allowed string) {
	if ok {
		return
	}
	if value == "" {
		c.addFault(field, "", allowed)
		return
	}
	c.addFault(field, quote(value), allowed)
}

func (c *valueChecker) label(field, value string) {
	ok := value != "" && len(value) <= maxNameBytes && strings.TrimSpace(value) == value
	c.text(field, value, ok, fmt.Sprintf("1 to %d bytes without blanks at the ends", maxNameBytes))
}

func (c *valueChecker) labels(field string, values []string) {
	for i, value := range values {
		at := field + "[" + strconv.Itoa(i) + "]"
		c.label(at, value)
		if slices.Contains(values[:i], value) {
			c.addFault(at, quote(value), "each value once")
		}
	}
}

func (c *valueChecker) identity(file *File) {
	c.text("name", file.Name, namePattern.MatchString(file.Name), nameAllowed)
	if slices.Contains(reservedNames, file.Name) {
		c.addFault("name", quote(file.Name), "none of "+strings.Join(reservedNames, ", "))
	}
	valid := file.Kind == ModelKind || file.Kind == PlainKind
	c.text("kind", string(file.Kind), valid, string(ModelKind)+" or "+string(PlainKind))
}

func (c *valueChecker) model(file *File) {
	model := file.Model
	switch {
	case file.Kind == PlainKind && model != nil:
		c.addFault("model", "an object", "nothing in a service of kind plain")
		return
	case file.Kind == ModelKind && model == nil:
		c.addFault("model", "", "an object in a service of kind model")
		return
	case model == nil:
		return
	}
	c.label("model.name", model.Name)
	c.label("model.version", model.Version)
	c.labels("model.adapters", model.Adapters)
	c.integer("model.weight_bytes", model.WeightBytes, 1, maxWeightBytes)
	c.integer("model.max_tokens", int64(model.MaxTokens), 1, maxTokens)
	c.integer("model.context_tokens", int64(model.ContextTokens), int64(max(model.MaxTokens, 1)), maxContextTokens)
}

func (c *valueChecker) routes(file *File) {
	if file.Kind == ModelKind && len(file.Routes) > 0 {
		c.addFault("routes", "a list", "nothing in a service of kind model")
		return
	}
	if file.Kind == PlainKind && len(file.Routes) == 0 {
		c.addFault("routes", "", "at least one route in a service of kind plain")
	}
	taken := map[string]string{}
	for i := range file.Routes {
		field := "routes[" + strconv.Itoa(i) + "]"
		c.route(field, &file.Routes[i])
		c.overlap(field, &file.Routes[i], taken)
	}
}

func (c *valueChecker) route(field string, route *Route) {
	clean := pathPattern.MatchString(route.Path) && isCleanPath(route.Path)
	c.text(field+".path", route.Path, clean, "a clean path that begins with / and has no escapes, query or dot segments")
	for i, method := range route.Methods {
		at := field + ".methods[" + strconv.Itoa(i) + "]"
		c.text(at, method, slices.Contains(methods, method), strings.Join(methods, ", "))
	}
	if route.KeyRequired && route.Idempotent {
		c.addFault(field+".key_required", "true", "false on an idempotent route")
	}
	for i, status := range route.NotRunStatus {
		c.integer(field+".not_run_status["+strconv.Itoa(i)+"]", int64(status), 400, 599)
	}
}

// overlap rejects a second route for the same path and method.
func (c *valueChecker) overlap(field string, route *Route, taken map[string]string) {
	prefix := strings.TrimSuffix(route.Path, "/")
	if len(route.Methods) == 0 {
		c.claimMethod(field+".path", prefix, "all other methods", taken)
	}
	for i, method := range route.Methods {
		c.claimMethod(field+".methods["+strconv.Itoa(i)+"]", prefix, method, taken)
	}
}

func (c *valueChecker) claimMethod(field, prefix, method string, taken map[string]string) {
	key := method + " " + prefix
	if other, ok := taken[key]; ok {
		c.addFault(field, quote(method), "each method of a path once, already in "+other)
	}
	taken[key] = field
}

func (c *valueChecker) accounts(file *File) {
	if len(file.Accounts) == 0 {
		c.addFault("accounts", "", "at least one account")
	}
	names := map[string]bool{}
	hashes := map[string]bool{}
	for i, account := range file.Accounts {
		field := "accounts[" + strconv.Itoa(i) + "]"
		c.account(field, &account)
		if names[account.Name] && account.Name != "" {
			c.addFault(field+".name", quote(account.Name), "each account once in a file")
		}
		if hashes[account.KeySHA256] && account.KeySHA256 != "" {
			c.addFault(field+".key_sha256", quote(account.KeySHA256), "another key for each account")
		}
		names[account.Name] = true
		hashes[account.KeySHA256] = true
	}
}

func (c *valueChecker) account(field string, account *Account) {
	c.text(field+".name", account.Name, namePattern.MatchString(account.Name), nameAllowed)
	hash := account.KeySHA256
	c.text(field+".key_sha256", hash, hashPattern.MatchString(hash), "64 lower-case hexadecimal digits, as papayactl key prints them")
	c.integer(field+".priority", int64(account.Priority), 0, maxPriority)
	c.number(field+".requests_per_second", account.RequestsPerSecond, 0, maxRate)
	c.number(field+".tokens_per_second", account.TokensPerSecond, 0, maxRate)
	c.number(field+".token_burst", account.TokenBurst, 0, maxRate)
	c.integer(field+".concurrency", int64(account.Concurrency), 0, maxConcurrency)
}

func (c *valueChecker) latency(target *LatencyTarget) {
	c.number("latency_target.first_token_ms", target.FirstTokenMS, 1, maxTargetMS)
	c.number("latency_target.between_tokens_ms", target.BetweenTokensMS, 0, maxTargetMS)
	c.number("latency_target.quantile", target.Quantile, 0.5, 0.9999)
}

func (c *valueChecker) retry(file *File) {
	c.integer("retry.max_attempts", int64(file.Retry.MaxAttempts), 1, maxAttempts)
	c.number("retry.budget", file.Retry.Budget, 0, 1)
	c.integer("retry.window_ms", file.Retry.WindowMS, minWindowMS, maxWindowMS)
}

func (c *valueChecker) queue(queue *Queue) {
	c.integer("queue.max_requests", int64(queue.MaxRequests), 1, maxQueue)
	c.integer("queue.ageing_ms", queue.AgeingMS, 1, maxAgeingMS)
}

func (c *valueChecker) capacity(capacity *Capacity) {
	c.integer("capacity.min_per_domain", int64(capacity.MinPerDomain), 0, maxPerDomain)
	c.integer("capacity.max_per_domain", int64(capacity.MaxPerDomain), int64(max(capacity.MinPerDomain, 1)), maxPerDomain)
	c.integer("capacity.slots_per_server", int64(capacity.SlotsPerServer), 1, maxSlots)
	c.labels("capacity.classes", capacity.Classes)
}
