package service

import (
	"encoding/json"
	"reflect"
	"sort"
	"strconv"
)

// MaxFileBytes is the maximum size of a service file in bytes.
const MaxFileBytes = 256 << 10

// Defaults returns the values of omitted fields.
func Defaults() File {
	return File{
		LatencyTarget: LatencyTarget{FirstTokenMS: 1000, Quantile: 0.95},
		Retry:         Retry{MaxAttempts: 3, Budget: 0.1, WindowMS: 24 * 3600 * 1000},
		Queue:         Queue{MaxRequests: 256, AgeingMS: 2000},
		Capacity:      Capacity{MinPerDomain: 1, MaxPerDomain: 16, SlotsPerServer: 8},
		DeadlineMS:    60_000,
	}
}

// Parse decodes and checks a service file. Omitted fields get their Defaults. It returns either
// the file or all of its faults.
func Parse(name string, data []byte) (*File, []Fault) {
	if len(data) > MaxFileBytes {
		size := strconv.Itoa(len(data)) + " bytes"
		return nil, []Fault{{name, "", size, "at most " + strconv.Itoa(MaxFileBytes) + " bytes"}}
	}
	tree, err := readTree(data)
	if err != nil {
		return nil, []Fault{{name, "", err.Error(), "one JSON object"}}
	}
	types := &typeChecker{file: name}
	types.check("", tree, reflect.TypeOf(File{}))
	file := Defaults()
	err = json.Unmarshal(data, &file)
	if err != nil && len(types.faults) == 0 {
		return nil, []Fault{{name, "", err.Error(), "one JSON object"}}
	}
	faults := append(types.faults, checkValues(name, &file, types.faults)...)
	if len(faults) > 0 {
		sortFaults(faults)
		return nil, faults
	}
	return &file, nil
}

// ParseAll parses service files, given by file name, and checks them as one configuration. It
// returns the files by service name, or all faults.
func ParseAll(contents map[string][]byte) (map[string]*File, []Fault) {
	files := make(map[string]*File, len(contents))
	var faults []Fault
	for name, data := range contents {
		file, wrong := Parse(name, data)
		faults = append(faults, wrong...)
		if file != nil {
			files[name] = file
		}
	}
	faults = append(faults, Check(files)...)
	if len(faults) > 0 {
		sortFaults(faults)
		return nil, faults
	}
	services := make(map[string]*File, len(files))
	for _, file := range files {
		services[file.Name] = file
	}
	return services, nil
}

// Check returns the faults between files, given by file name: a service in two files, a client
// account with two keys, a key of two client accounts.
func Check(files map[string]*File) []Fault {
	names := make([]string, 0, len(files))
	for name := range files {
		names = append(names, name)
	}
	sort.Strings(names)
	var faults []Fault
	serviceIn := map[string]string{}
	hashOf := map[string]string{}
	accountOf := map[string]string{}
	for _, name := range names {
		file := files[name]
		if other, ok := serviceIn[file.Name]; ok {
			faults = append(faults, Fault{name, "name", quote(file.Name), "a service name that is not in " + other})
		}
		serviceIn[file.Name] = name
		for i, account := range file.Accounts {
			field := "accounts[" + strconv.Itoa(i) + "].key_sha256"
			hash, ok := hashOf[account.Name]
			if ok && hash != account.KeySHA256 {
				faults = append(faults, Fault{name, field, quote(account.KeySHA256), "one key for account " + account.Name + ", elsewhere " + hash})
			}
			owner, ok := accountOf[account.KeySHA256]
			if ok && owner != account.Name {
				faults = append(faults, Fault{name, field, quote(account.KeySHA256), "a key that account " + owner + " does not use"})
			}
			hashOf[account.Name] = account.KeySHA256
			accountOf[account.KeySHA256] = account.Name
		}
	}
	return faults
}

func quote(text string) string {
	quoted, _ := json.Marshal(text)
	return truncate(string(quoted))
}
