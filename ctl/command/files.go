package command

import (
	"io/fs"
	"os"
	"path/filepath"
	"strings"

	"github.com/pkg/errors"

	"papayaport.dev/serving/version/service"
)

// serviceFileName and serviceFileSuffix identify service files in directories.
const (
	serviceFileName   = "service.json"
	serviceFileSuffix = ".service.json"
)

// collect reads service files and returns their contents by path. A directory stands for all
// files below it named service.json or *.service.json, except in hidden directories.
func collect(paths []string) (map[string][]byte, error) {
	contents := map[string][]byte{}
	for _, path := range paths {
		names, err := expand(path)
		if err != nil {
			return nil, pathFailure(err)
		}
		for _, name := range names {
			data, err := readFile(name)
			if err != nil {
				return nil, pathFailure(err)
			}
			contents[name] = data
		}
	}
	return contents, nil
}

// pathFailure converts an error of reading a path into a failure.
func pathFailure(err error) error {
	var failure *failure
	if errors.As(err, &failure) {
		return failure
	}
	return failed(BadUse, "%v", err)
}

func expand(path string) ([]string, error) {
	info, err := os.Stat(path)
	if err != nil {
		return nil, err
	}
	if !info.IsDir() {
		return []string{filepath.Clean(path)}, nil
	}
	var names []string
	err = filepath.WalkDir(path, func(name string, entry fs.DirEntry, err error) error {
		switch {
		case err != nil:
			return err
		case entry.IsDir() && name != path && strings.HasPrefix(entry.Name(), "."):
			return filepath.SkipDir
		case !entry.IsDir() && isServiceFile(entry.Name()):
			names = append(names, name)
		}
		return nil
	})
	if err == nil && len(names) == 0 {
		return nil, failed(BadUse, "%s holds no %s or *%s", path, serviceFileName, serviceFileSuffix)
	}
	return names, err
}

func isServiceFile(name string) bool {
	return name == serviceFileName || strings.HasSuffix(name, serviceFileSuffix)
}

// readFile reads a file and fails if it is larger than service.MaxFileBytes.
func readFile(name string) ([]byte, error) {
	info, err := os.Stat(name)
	if err != nil {
		return nil, err
	}
	if info.Size() > service.MaxFileBytes {
		return nil, failed(NotDone, "%s has %d bytes, allowed: at most %d", name, info.Size(), service.MaxFileBytes)
	}
	return os.ReadFile(name)
}

// parse validates files as one configuration and returns them by service name.
func parse(contents map[string][]byte) (map[string]*service.File, error) {
	parsed, faults := service.ParseAll(contents)
	if len(faults) == 0 {
		return parsed, nil
	}
	document := checkResult{Files: len(contents), Faults: faults}
	text := service.Faults(faults) + "\nnothing was sent; mend the files and check again"
	return nil, &failure{code: NotDone, text: text, document: document}
}
