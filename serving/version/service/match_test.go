package service_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"papayaport.dev/serving/version/service"
)

func TestMatch(t *testing.T) {
	file := &service.File{Routes: []service.Route{
		{Path: "/", Idempotent: true},
		{Path: "/slots", Methods: []string{"GET"}, Idempotent: true},
		{Path: "/slots"},
		{Path: "/slots/free/", Methods: []string{"GET"}, Idempotent: true},
	}}
	tests := map[string]struct {
		method, path string
		route        int
	}{
		"empty path":               {"GET", "", 0},
		"root":                     {"POST", "/", 0},
		"falls to root":            {"GET", "/status/7", 0},
		"method named":             {"GET", "/slots/9", 1},
		"method not named":         {"POST", "/slots/9", 2},
		"longest prefix":           {"GET", "/slots/free/3", 3},
		"longest without slash":    {"GET", "/slots/free", 3},
		"longest lacks the method": {"POST", "/slots/free/3", -1},
		"whole segments only":      {"POST", "/slotsfree", 0},
		"dot segments":             {"POST", "/status/../slots", -1},
		"empty segment":            {"POST", "//slots", -1},
		"backslash":                {"POST", `/status\..\slots`, -1},
		"no slash":                 {"POST", "slots", -1},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			route, ok := file.Match(test.method, test.path)
			require.Equal(t, test.route >= 0, ok)
			if ok {
				require.Same(t, &file.Routes[test.route], route)
			}
		})
	}
}

func TestAuthenticate(t *testing.T) {
	file := &service.File{Accounts: []service.Account{
		{Name: "one", KeySHA256: service.KeyHash("key-one")},
		{Name: "two", KeySHA256: service.KeyHash("key-two")},
	}}
	tests := map[string]struct{ key, account string }{
		"first":     {"key-one", "one"},
		"second":    {"key-two", "two"},
		"wrong":     {"key-three", ""},
		"missing":   {"", ""},
		"the hash":  {service.KeyHash("key-one"), ""},
		"with tail": {"key-one ", ""},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			account, ok := file.Authenticate(test.key)
			require.Equal(t, test.account != "", ok)
			if ok {
				require.Equal(t, test.account, account.Name)
			}
		})
	}
}
