package service_test

import (
	"encoding/json"
	"math/rand/v2"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"papayaport.dev/serving/version/service"
)

const (
	hashOne = "1111111111111111111111111111111111111111111111111111111111111111"
	hashTwo = "2222222222222222222222222222222222222222222222222222222222222222"
)

const modelFile = `{
  "name": "model-bench",
  "kind": "model",
  "model": {"name": "bench", "version": "3", "weight_bytes": 1000, "max_tokens": 512, "context_tokens": 4096},
  "accounts": [{"name": "newsroom", "key_sha256": "` + hashOne + `", "priority": 5}]
}`

const plainFile = `{
  "name": "desk-app",
  "kind": "plain",
  "routes": [
    {"path": "/verdicts", "methods": ["GET"], "idempotent": true},
    {"path": "/corrections", "idempotent": false, "key_required": true, "not_run_status": [503]}
  ],
  "accounts": [{"name": "newsroom", "key_sha256": "` + hashOne + `", "priority": 5}]
}`

func TestParse(t *testing.T) {
	replace := func(from, to string) func(string) string {
		return func(text string) string { return strings.Replace(text, from, to, 1) }
	}
	tests := map[string]struct {
		base   string
		change func(string) string
		fields []string
	}{
		"model file":          {modelFile, replace("", ""), nil},
		"plain file":          {plainFile, replace("", ""), nil},
		"empty":               {"", replace("", ""), []string{""}},
		"not an object":       {"[]", replace("", ""), []string{""}},
		"null":                {"null", replace("", ""), []string{""}},
		"cut short":           {modelFile, func(s string) string { return s[:len(s)-3] }, []string{""}},
		"text behind":         {modelFile, func(s string) string { return s + "{}" }, []string{""}},
		"too deep":            {strings.Repeat("[", 100000), replace("", ""), []string{""}},
		"too large":           {modelFile, func(s string) string { return s + strings.Repeat(" ", service.MaxFileBytes) }, []string{""}},
		"unknown field":       {modelFile, replace(`"kind"`, `"colour": 1, "kind"`), []string{"colour"}},
		"other case":          {modelFile, replace(`"kind": "model"`, `"Kind": "model"`), []string{"Kind"}},
		"unknown inner field": {modelFile, replace(`"priority": 5`, `"prio": 5`), []string{"accounts[0].prio"}},
		"repeated field":      {modelFile, replace(`"kind"`, `"name": "other", "kind"`), []string{"name"}},
		"name of wrong type":  {modelFile, replace(`"model-bench"`, `7`), []string{"name"}},
		"name with blank":     {modelFile, replace(`model-bench`, `model bench`), []string{"name"}},
		"reserved name":       {modelFile, replace(`model-bench`, `metrics`), []string{"name"}},
		"unknown kind":        {modelFile, replace(`"kind": "model"`, `"kind": "magic"`), []string{"kind"}},
		"model missing":       {modelFile, replace(`"kind": "model"`, `"kind": "plain"`), []string{"model", "routes"}},
		"fraction of tokens":  {modelFile, replace(`512`, `512.5`), []string{"model.max_tokens"}},
		"negative tokens":     {modelFile, replace(`512`, `-1`), []string{"model.max_tokens"}},
		"context too small":   {modelFile, replace(`4096`, `100`), []string{"model.context_tokens"}},
		"huge number":         {modelFile, replace(`4096`, `99999999999999999999`), []string{"model.context_tokens"}},
		"null priority":       {modelFile, replace(`"priority": 5`, `"priority": null`), []string{"accounts[0].priority"}},
		"priority too high":   {modelFile, replace(`"priority": 5`, `"priority": 10`), []string{"accounts[0].priority"}},
		"hash too short":      {modelFile, replace(hashOne, "11"), []string{"accounts[0].key_sha256"}},
		"hash in capitals":    {modelFile, replace(hashOne, strings.Repeat("A", 64)), []string{"accounts[0].key_sha256"}},
		"no accounts":         {modelFile, replace(`"accounts": [`, `"accounts": [], "x": [`), []string{"accounts", "x"}},
		"account twice": {
			modelFile,
			replace(`"accounts": [`, `"accounts": [{"name": "newsroom", "key_sha256": "`+hashTwo+`"},`),
			[]string{"accounts[1].name"},
		},
		"key twice": {
			modelFile,
			replace(`"accounts": [`, `"accounts": [{"name": "paper", "key_sha256": "`+hashOne+`"},`),
			[]string{"accounts[1].key_sha256"},
		},
		"quantile of one":      {modelFile, replace(`"kind"`, `"latency_target": {"quantile": 1}, "kind"`), []string{"latency_target.quantile"}},
		"zero target":          {modelFile, replace(`"kind"`, `"latency_target": {"first_token_ms": 0}, "kind"`), []string{"latency_target.first_token_ms"}},
		"no attempt":           {modelFile, replace(`"kind"`, `"retry": {"max_attempts": 0}, "kind"`), []string{"retry.max_attempts"}},
		"budget above one":     {modelFile, replace(`"kind"`, `"retry": {"budget": 1.5}, "kind"`), []string{"retry.budget"}},
		"queue of wrong type":  {modelFile, replace(`"kind"`, `"queue": 5, "kind"`), []string{"queue"}},
		"deadline too long":    {modelFile, replace(`"kind"`, `"deadline_ms": 99999999, "kind"`), []string{"deadline_ms"}},
		"more least than most": {modelFile, replace(`"kind"`, `"capacity": {"min_per_domain": 5, "max_per_domain": 2}, "kind"`), []string{"capacity.max_per_domain"}},
		"relative path":        {plainFile, replace(`"/verdicts"`, `"verdicts"`), []string{"routes[0].path"}},
		"path with dots":       {plainFile, replace(`"/verdicts"`, `"/a/../verdicts"`), []string{"routes[0].path"}},
		"path of two slashes":  {plainFile, replace(`"/verdicts"`, `"//"`), []string{"routes[0].path"}},
		"path with query":      {plainFile, replace(`"/verdicts"`, `"/verdicts?a=1"`), []string{"routes[0].path"}},
		"unknown method":       {plainFile, replace(`"GET"`, `"get"`), []string{"routes[0].methods[0]"}},
		"method twice":         {plainFile, replace(`["GET"]`, `["GET", "GET"]`), []string{"routes[0].methods[1]"}},
		"path twice":           {plainFile, replace(`{"path": "/verdicts", "methods": ["GET"]`, `{"path": "/corrections/"`), []string{"routes[1].path"}},
		"key on idempotent":    {plainFile, replace(`"idempotent": false`, `"idempotent": true`), []string{"routes[1].key_required"}},
		"status of success":    {plainFile, replace(`[503]`, `[200]`), []string{"routes[1].not_run_status[0]"}},
		"several at once": {
			modelFile,
			func(text string) string {
				text = strings.Replace(text, "512", `"many"`, 1)
				text = strings.Replace(text, "newsroom", "News Room", 1)
				return strings.Replace(text, `"kind"`, `"colour": 1, "kind"`, 1)
			},
			[]string{"accounts[0].name", "colour", "model.max_tokens"},
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			file, faults := service.Parse("f.json", []byte(test.change(test.base)))
			fields := []string{}
			for _, fault := range faults {
				require.Equal(t, "f.json", fault.File)
				require.NotEmpty(t, fault.Allowed)
				fields = append(fields, fault.Field)
			}
			require.ElementsMatch(t, test.fields, fields, service.Faults(faults))
			require.Equal(t, len(faults) == 0, file != nil)
		})
	}
}

func TestParseFillsDefaults(t *testing.T) {
	file, faults := service.Parse("f.json", []byte(modelFile))
	require.Empty(t, faults)
	defaults := service.Defaults()
	require.Equal(t, defaults.Retry, file.Retry)
	require.Equal(t, defaults.DeadlineMS, file.DeadlineMS)
}

// TestParseOfDamagedFiles corrupts valid files at random places: a file must either be rejected
// with faults or survive a round trip unchanged.
func TestParseOfDamagedFiles(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 2))
	alphabet := []byte(`{}[]",:0123456789-.eE\ntrufalsx/ ` + "\x00\xff")
	for range 5000 {
		data := []byte([]string{modelFile, plainFile}[random.IntN(2)])
		for range 1 + random.IntN(3) {
			at := random.IntN(len(data))
			switch random.IntN(3) {
			case 0:
				data[at] = alphabet[random.IntN(len(alphabet))]
			case 1:
				data = append(data[:at:at], data[min(at+random.IntN(8), len(data)):]...)
			default:
				data = append(data[:at:at], append([]byte{alphabet[random.IntN(len(alphabet))]}, data[at:]...)...)
			}
		}
		file, faults := service.Parse("f.json", data)
		require.Equal(t, file == nil, len(faults) > 0, string(data))
		if file == nil {
			continue
		}
		again, err := json.Marshal(file)
		require.NoError(t, err)
		copied, faults := service.Parse("f.json", again)
		require.Empty(t, faults)
		require.Equal(t, file, copied)
	}
}

func TestParseAll(t *testing.T) {
	tests := map[string]struct {
		contents map[string]string
		fields   []string
	}{
		"good":            {map[string]string{"a.json": modelFile, "b.json": plainFile}, nil},
		"service twice":   {map[string]string{"a.json": modelFile, "b.json": modelFile}, []string{"b.json name"}},
		"account's keys":  {map[string]string{"a.json": modelFile, "b.json": strings.Replace(plainFile, hashOne, hashTwo, 1)}, []string{"b.json accounts[0].key_sha256"}},
		"key's accounts":  {map[string]string{"a.json": modelFile, "b.json": strings.Replace(plainFile, "newsroom", "paper", 1)}, []string{"b.json accounts[0].key_sha256"}},
		"one broken file": {map[string]string{"a.json": modelFile, "b.json": "{"}, []string{"b.json "}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			contents := map[string][]byte{}
			for file, text := range test.contents {
				contents[file] = []byte(text)
			}
			services, faults := service.ParseAll(contents)
			var fields []string
			for _, fault := range faults {
				fields = append(fields, fault.File+" "+fault.Field)
			}
			require.Equal(t, test.fields, fields)
			require.Equal(t, len(faults) == 0, len(services) == len(contents))
		})
	}
}
