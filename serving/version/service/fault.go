package service

import (
	"fmt"
	"sort"
	"strings"
)

// Fault is one error in a service file.
type Fault struct {
	// File is the name of the file.
	File string `json:"file"`
	// Field is the path of the field, such as "accounts[1].key_sha256"; empty for the whole file.
	Field string `json:"field,omitempty"`
	// Value is the rejected value as JSON, truncated if long; empty for a missing one.
	Value string `json:"value,omitempty"`
	// Allowed describes the allowed values.
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

// Faults formats faults as text, one per line.
func Faults(faults []Fault) string {
	lines := make([]string, len(faults))
	for i, fault := range faults {
		lines[i] = fault.String()
	}
	return strings.Join(lines, "\n")
}

// maxValueBytes is the length in bytes beyond which a rejected value is truncated.
const maxValueBytes = 80

func truncate(value string) string {
	if len(value) <= maxValueBytes {
		return value
	}
	return strings.ToValidUTF8(value[:maxValueBytes], "") + "..."
}

func sortFaults(faults []Fault) {
	sort.SliceStable(faults, func(i, j int) bool {
		if faults[i].File != faults[j].File {
			return faults[i].File < faults[j].File
		}
		return faults[i].Field < faults[j].Field
	})
}
