package service

import (
	"fmt"
	"sort"
	"strings"
)

// Fault is one thing that is wrong in a service file.
type Fault struct {
	// File is the name of the file.
	File string `json:"file"`
	// Field is the path of the field, such as "accounts[1].key_sha256"; empty for the whole file.
	Field string `json:"field,omitempty"`
	// Value is the refused value as JSON, shortened when long; empty for a missing one.
	Value string `json:"value,omitempty"`
	// Allowed tells what may stand there.
	Allowed string `json:"allowed"`
}

// String returns the fault in one line.
func (f Fault) String() string {
	where := f.File
	if f.Field != "" {
		where += ": " + f.Field
	}
	if f.Value == "" {
		return fmt.Sprintf("%s: missing, allowed: %s", where, f.Allowed)
	}
	return fmt.Sprintf("%s: %s is refused, allowed: %s", where, f.Value, f.Allowed)
}

// Faults joins faults into one text, a line each.
func Faults(faults []Fault) string {
	lines := make([]string, len(faults))
	for i, fault := range faults {
		lines[i] = fault.String()
	}
	return strings.Join(lines, "\n")
}

// maxValueChars is the length from which a refused value is shortened, in bytes.
const maxValueChars = 80

func shorten(value string) string {
	if len(value) <= maxValueChars {
		return value
	}
	return strings.ToValidUTF8(value[:maxValueChars], "") + "..."
}

func sortFaults(faults []Fault) {
	sort.SliceStable(faults, func(i, j int) bool {
		if faults[i].File != faults[j].File {
			return faults[i].File < faults[j].File
		}
		return faults[i].Field < faults[j].Field
	})
}
