package command_test

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http/httptest"
	"os"
	"path/filepath"
	"regexp"
	"testing"
	"time"

	"github.com/google/uuid"
	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"

	"papayaport.dev/ctl/command"
	"papayaport.dev/serving/connection/administration"
	"papayaport.dev/serving/process/problem"
	"papayaport.dev/serving/version/publication"
	"papayaport.dev/serving/version/service"
)

const token = "let-me-in"

var publishedHead = publication.Head{
	Version: 8, Operator: "ann", BaseVersion: 7, Note: "more\x1b[2Jroom", Time: time.Unix(1_800_000_000, 0).UTC(),
	Changes: []publication.Change{{Service: "desk-app", Kind: publication.Changed}},
}

// fakeEntry implements the administration API of an entry instance and records requests.
type fakeEntry struct {
	err       error
	unchanged bool
	requests  []publication.Request
	drained   []string
}

func (n *fakeEntry) Publish(_ context.Context, request publication.Request) (publication.Result, error) {
	n.requests = append(n.requests, request)
	return publication.Result{Head: publishedHead, Unchanged: n.unchanged}, n.err
}

func (n *fakeEntry) Publication(context.Context, publication.ID) (publication.Result, error) {
	return publication.Result{Head: publishedHead}, n.err
}

func (n *fakeEntry) History(context.Context, uint64, int) ([]publication.Head, error) {
	return []publication.Head{{Version: 7, Operator: "bob"}, publishedHead}, nil
}

func (n *fakeEntry) Current() *publication.Version { return nil }

func (n *fakeEntry) Status() administration.Status {
	return administration.Status{
		Instance: "entry-1", Reason: "no version", Version: 7,
		Sources: []administration.Source{{Kind: "store", AgeMS: 65_000, Stale: true}, {Kind: "peer", Name: "p2", AgeMS: 10}},
		Leaving: []administration.Leaving{{Instance: "engine-3"}},
		Leases:  []administration.Lease{{Name: "watch/a/0", Fencing: 4}},
	}
}

func (n *fakeEntry) Drain(_ context.Context, instance string) error {
	n.drained = append(n.drained, "drain "+instance)
	return n.err
}

func (n *fakeEntry) Undrain(_ context.Context, instance string) error {
	n.drained = append(n.drained, "undrain "+instance)
	return n.err
}

func (n *fakeEntry) Services() []administration.Service {
	return []administration.Service{{Name: "desk-app", Kind: service.PlainKind, Backends: 4}}
}

func (n *fakeEntry) Accounts() []administration.Account {
	return []administration.Account{{Service: "desk-app", Name: "newsroom", RequestsPerSecond: 20, UsedRequestsPerSecond: 3}}
}

func (n *fakeEntry) Instances() []administration.Instance {
	return []administration.Instance{{ID: "engine-3", Leaving: true}}
}

// run starts an administration listener backed by n and runs one command against it.
func run(t *testing.T, n *fakeEntry, args ...string) (code int, out, errOut string) {
	log := logrus.New()
	log.SetOutput(io.Discard)
	tokens := administration.Tokens{{Name: "ann", SHA256: service.KeyHash(token)}}
	server := httptest.NewServer(administration.New(n, tokens, administration.Hooks{}, log))
	defer server.Close()
	t.Setenv("PAPAYAPORT_ADDRESS", server.URL)
	t.Setenv("PAPAYAPORT_TOKEN", token)
	var stdout, stderr bytes.Buffer
	code = command.Run(t.Context(), args, &stdout, &stderr)
	return code, stdout.String(), stderr.String()
}

const goodFile = `{"name": "desk-app", "kind": "plain", "routes": [{"path": "/"}],
	"accounts": [{"name": "newsroom", "key_sha256": "%064d", "priority": 1}]}`

// writeFiles creates a directory with valid and invalid service files, and with directories that
// contain none.
func writeFiles(t *testing.T) string {
	dir := t.TempDir()
	files := map[string]string{
		"good/desk/service.json":      fmt.Sprintf(goodFile, 1),
		"good/desk/package.json":      "not a service file",
		"good/.git/service.json":      "hidden",
		"good/bench.service.json":     `{"name": "bench", "kind": "plain", "routes": [{"path": "/"}], "accounts": [{"name": "newsroom", "key_sha256": "` + fmt.Sprintf("%064d", 1) + `", "priority": 1}]}`,
		"bad.json":                    `{"name": "Desk App", "kind": "plain", "colour": 1}`,
		"empty/readme.txt":            "",
		"large/service.json":          string(bytes.Repeat([]byte(" "), service.MaxFileBytes+1)),
		"twice/a.service.json":        fmt.Sprintf(goodFile, 1),
		"twice/b.service.json":        fmt.Sprintf(goodFile, 1),
		"token":                       token + "\n",
		"unrelated/not-a-service.txt": "",
	}
	for name, text := range files {
		path := filepath.Join(dir, name)
		require.NoError(t, os.MkdirAll(filepath.Dir(path), 0o700))
		require.NoError(t, os.WriteFile(path, []byte(text), 0o600))
	}
	return dir
}

func TestCommands(t *testing.T) {
	dir := writeFiles(t)
	id := string(publication.NewID(8))
	conflict := problem.New(problem.VersionConflict, "version 8 was published first by bob")
	unknown := problem.New(problem.NotKnownYet, "ask again: papayactl status --publication %s", id)
	tests := map[string]struct {
		args []string
		node fakeEntry
		code int
		out  string
		err  string
	}{
		"no command":               {args: nil, out: "Commands:"},
		"help":                     {args: []string{"publish", "--help"}, out: "Example: papayactl publish"},
		"unknown command":          {args: []string{"fly"}, code: 2, err: "papayactl: unexpected argument fly"},
		"unknown flag":             {args: []string{"status", "--fly"}, code: 2, err: "unknown flag"},
		"check":                    {args: []string{"check", dir + "/good"}, out: "papayactl: 2 files are valid (bench, desk-app)"},
		"check bad":                {args: []string{"check", dir + "/bad.json"}, code: 1, err: "bad.json: colour"},
		"check names all":          {args: []string{"check", dir + "/bad.json"}, code: 1, err: "accounts: missing"},
		"check missing":            {args: []string{"check", dir + "/none.json"}, code: 2, err: "no such file"},
		"check empty":              {args: []string{"check", dir + "/empty"}, code: 2, err: "holds no service.json"},
		"check large":              {args: []string{"check", dir + "/large"}, code: 1, err: "allowed: at most"},
		"check twice":              {args: []string{"check", dir + "/twice"}, code: 1, err: "b.service.json: name"},
		"check nothing":            {args: []string{"check"}, code: 2, err: "expected"},
		"publish":                  {args: []string{"publish", dir + "/good"}, out: "papayactl: version 8 is published (changed desk-app)"},
		"publish unchanged":        {args: []string{"publish", dir + "/good"}, node: fakeEntry{unchanged: true}, out: "nothing changed"},
		"publish nothing":          {args: []string{"publish"}, code: 2, err: "nothing to publish"},
		"publish bad":              {args: []string{"publish", dir + "/bad.json"}, code: 1, err: "nothing was sent"},
		"publish loses":            {args: []string{"publish", dir + "/good"}, node: fakeEntry{err: conflict}, code: 4, err: "published first by bob; look at papayactl history"},
		"publish not known":        {args: []string{"publish", dir + "/good"}, node: fakeEntry{err: unknown}, code: 3, err: "papayactl status --publication " + id},
		"publish store down":       {args: []string{"publish", dir + "/good"}, node: fakeEntry{err: problem.New(problem.StoreUnavailable, "no")}, code: 1, err: "nothing was done"},
		"publish wrong token":      {args: []string{"publish", "--token", "other", dir + "/good"}, code: 1, err: "give the token of an operator"},
		"publish with token file":  {args: []string{"publish", "--token", "", "--token-file", dir + "/token", dir + "/good"}, out: "version 8"},
		"publish no token file":    {args: []string{"publish", "--token", "", "--token-file", dir + "/none", dir + "/good"}, code: 2, err: "reading the token"},
		"publish unreachable":      {args: []string{"publish", "--address", "127.0.0.1:1", dir + "/good"}, code: 1, err: "refused"},
		"publication landed":       {args: []string{"status", "--publication", id}, out: "landed as version 8"},
		"publication lost":         {args: []string{"status", "--publication", id}, node: fakeEntry{err: conflict}, code: 4, err: "bob"},
		"publication not known":    {args: []string{"status", "--publication", id}, node: fakeEntry{err: unknown}, code: 3, err: "ask again"},
		"publication malformed":    {args: []string{"status", "--publication", "x"}, code: 2, err: "publication id"},
		"status":                   {args: []string{"status"}, out: "store 1m5s"},
		"status unreachable":       {args: []string{"status", "--address", "127.0.0.1:1"}, code: 1, err: "1 of 1 instances gave no status"},
		"history":                  {args: []string{"history"}, out: "more [2Jroom"},
		"history limit":            {args: []string{"history", "--limit", "0"}, code: 2, err: "allowed: 1 to 200"},
		"rollback":                 {args: []string{"rollback", "3"}, out: "version 8 is published"},
		"rollback to zero":         {args: []string{"rollback", "0"}, code: 2, err: "version 0 has no files"},
		"rollback to word":         {args: []string{"rollback", "last"}, code: 2, err: "<version>: expected a valid"},
		"drain":                    {args: []string{"drain"}, out: "entry-1 takes no new requests"},
		"drain of several":         {args: []string{"drain", "--address", "127.0.0.1:1", "--address", "127.0.0.1:2"}, code: 2, err: "single --address"},
		"drain backend":            {args: []string{"drain", "engine-3"}, out: "engine-3 gets no new work"},
		"drain refused":            {args: []string{"drain", "x"}, node: fakeEntry{err: problem.New(problem.UnknownRequest, "no such instance")}, code: 1, err: "no such instance"},
		"undrain":                  {args: []string{"undrain", "engine-3"}, out: "engine-3 gets new work again"},
		"services":                 {args: []string{"services"}, out: "desk-app"},
		"accounts":                 {args: []string{"accounts"}, out: "3.0 of 20"},
		"instances":                {args: []string{"instances"}, out: "engine-3"},
		"version":                  {args: []string{"version"}, out: "papayactl: version"},
		"json publish":             {args: []string{"--json", "publish", dir + "/good"}, out: `"version": 8`},
		"json conflict":            {args: []string{"--json", "publish", dir + "/good"}, node: fakeEntry{err: conflict}, code: 4, out: `"kind": "version_conflict"`},
		"json check":               {args: []string{"--json", "check", dir + "/bad.json"}, code: 1, out: `"field": "colour"`},
		"json status":              {args: []string{"--json", "status"}, out: `"instance": "entry-1"`},
		"json history":             {args: []string{"--json", "history"}, out: `"operator": "bob"`},
		"json services":            {args: []string{"--json", "services"}, out: `"backends": 4`},
		"json accounts":            {args: []string{"--json", "accounts"}, out: `"used_requests_per_second": 3`},
		"json instances":           {args: []string{"--json", "instances"}, out: `"leaving": true`},
		"json drain":               {args: []string{"--json", "drain"}, out: `"draining": false`},
		"json rollback":            {args: []string{"--json", "rollback", "3"}, out: `"version": 8`},
		"json publication landed":  {args: []string{"--json", "status", "--publication", id}, out: `"version": 8`},
		"json publication unknown": {args: []string{"--json", "status", "--publication", id}, node: fakeEntry{err: unknown}, code: 3, out: `"outcome": "unknown"`},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			code, out, errOut := run(t, &test.node, test.args...)
			require.Equal(t, test.code, code, out+errOut)
			require.Contains(t, out, test.out)
			require.Contains(t, errOut, test.err)
			if test.code == 0 {
				require.Empty(t, errOut)
			}
			if len(test.args) > 0 && test.args[0] == "--json" {
				require.True(t, json.Valid([]byte(out)), out)
			}
		})
	}
}

func TestPublishRequest(t *testing.T) {
	dir := writeFiles(t)
	tests := map[string]struct {
		args    []string
		version uint64
		check   func(t *testing.T, request publication.Request)
	}{
		"files on the latest base": {[]string{"publish", dir + "/good", "-m", "why"}, 8, func(t *testing.T, request publication.Request) {
			require.Len(t, request.Files, 2)
			require.Equal(t, "why", request.Note)
			require.False(t, request.Replace)
		}},
		"on a base": {[]string{"publish", dir + "/good", "--base", "3", "--replace"}, 4, func(t *testing.T, request publication.Request) {
			require.True(t, request.Replace)
		}},
		"on no base": {[]string{"publish", dir + "/good", "--base", "0"}, 1, func(*testing.T, publication.Request) {}},
		"removal": {[]string{"publish", "--remove", "bench"}, 8, func(t *testing.T, request publication.Request) {
			require.Equal(t, []string{"bench"}, request.Remove)
		}},
		"rollback": {[]string{"rollback", "5"}, 8, func(t *testing.T, request publication.Request) {
			require.Equal(t, uint64(5), request.RollbackOf)
		}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			n := &fakeEntry{}
			code, out, errOut := run(t, n, test.args...)
			require.Zero(t, code, out+errOut)
			require.Len(t, n.requests, 1)
			version, err := n.requests[0].ID.Version()
			require.NoError(t, err)
			require.Equal(t, test.version, version)
			test.check(t, n.requests[0])
		})
	}
}

func TestKeyAndUUID(t *testing.T) {
	code, out, _ := run(t, &fakeEntry{}, "--json", "key")
	require.Zero(t, code)
	var made struct {
		Key       string `json:"key"`
		KeySHA256 string `json:"key_sha256"`
	}
	require.NoError(t, json.Unmarshal([]byte(out), &made))
	require.Equal(t, service.KeyHash(made.Key), made.KeySHA256)
	require.Regexp(t, regexp.MustCompile(`^[A-Za-z0-9_-]{43}$`), made.Key)

	code, out, _ = run(t, &fakeEntry{}, "uuid")
	require.Zero(t, code)
	id, err := uuid.Parse(out[:len(out)-1])
	require.NoError(t, err)
	require.Equal(t, uuid.Version(7), id.Version())
}
