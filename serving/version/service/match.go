package service

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"slices"
	"strings"
)

// Match returns the route of a request. Path is the decoded path after "/<service>". The route
// with the longest prefix of whole path segments wins; among routes with the same path, one that
// names the method takes precedence over one for all methods. A path with empty or dot segments
// matches nothing, because a backend server may normalise it to a different path.
func (f *File) Match(method, path string) (*Route, bool) {
	if path == "" {
		path = "/"
	}
	if !isCleanPath(path) {
		return nil, false
	}
	longest := -1
	var found *Route
	for i := range f.Routes {
		route := &f.Routes[i]
		prefix := strings.TrimSuffix(route.Path, "/")
		if len(prefix) < longest || !hasPathPrefix(path, prefix) {
			continue
		}
		if len(prefix) > longest {
			longest = len(prefix)
			found = nil
		}
		named := slices.Contains(route.Methods, method)
		if named || (len(route.Methods) == 0 && found == nil) {
			found = route
		}
	}
	return found, found != nil
}

func hasPathPrefix(path, prefix string) bool {
	return strings.HasPrefix(path, prefix) && (len(path) == len(prefix) || path[len(prefix)] == '/')
}

func isCleanPath(path string) bool {
	if path[0] != '/' {
		return false
	}
	if strings.Contains(path, "//") || strings.ContainsRune(path, '\\') {
		return false
	}
	for segment := range strings.SplitSeq(path, "/") {
		if segment == "." || segment == ".." {
			return false
		}
	}
	return true
}

// KeyHash returns the SHA-256 of a client account's key in the form used in service files.
func KeyHash(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}

// Authenticate returns the client account of a key. It runs in constant time: the duration does
// not depend on the key or on which account matches.
func (f *File) Authenticate(key string) (*Account, bool) {
	sum := sha256.Sum256([]byte(key))
	var hash [2 * sha256.Size]byte
	hex.Encode(hash[:], sum[:])
	found := -1
	for i := range f.Accounts {
		same := subtle.ConstantTimeCompare(hash[:], []byte(f.Accounts[i].KeySHA256))
		found = subtle.ConstantTimeSelect(same, i, found)
	}
	if found < 0 {
		return nil, false
	}
	return &f.Accounts[found], true
}
