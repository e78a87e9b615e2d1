// Package tenants holds the two tenants of papayaport as fixtures: their service files, and their
// client accounts with keys.
//
// # Usage
//
//	t, err := tenants.Get(tenants.Rahmeh)
//	key := tenants.Key("night-line")
//	for name, data := range t.Files {
//		// name is, for example, "farewell-llm.json"
//	}
package tenants

import (
	"embed"
	"encoding/json"
	"path"

	"github.com/pkg/errors"

	"papayaport.dev/serving/version/service"
)

// Names of the tenants.
const (
	Villarreal = "villarreal"
	Rahmeh     = "rahmeh"
)

//go:embed villarreal/*.json rahmeh/*.json
var files embed.FS

// Tenant is one tenant with its services and client accounts.
type Tenant struct {
	Name   string
	Region string
	// Model and Plain are the names of its two services.
	Model string
	Plain string
	// Accounts are its client accounts, which use both services.
	Accounts []string
	// Files holds the contents of the service files by file name.
	Files map[string][]byte
	// Services holds the decoded service files by service name.
	Services map[string]service.File
}

// table holds the tenants by name, without their files.
var table = map[string]Tenant{
	Villarreal: {
		Name: Villarreal, Region: "tx-central", Model: "model-bench", Plain: "desk-app",
		Accounts: []string{"express-newsroom", "border-wire", "hill-country-herald", "gulf-daily", "capitol-report"},
	},
	Rahmeh: {
		Name: Rahmeh, Region: "amman", Model: "farewell-llm", Plain: "arrangements-app",
		Accounts: []string{"amman-central-clinic", "irbid-north-clinic", "abdoun-vets", "jerash-road-clinic", "night-line"},
	},
}

// Key returns the API key of a client account. The service files contain its hash.
func Key(account string) string { return "fixture-key-of-" + account }

// Get returns a tenant by name.
func Get(name string) (Tenant, error) {
	t, known := table[name]
	if !known {
		return Tenant{}, errors.Errorf("tenant %q is unknown", name)
	}
	t.Files = map[string][]byte{}
	t.Services = map[string]service.File{}
	listed, err := files.ReadDir(name)
	if err != nil {
		return Tenant{}, errors.Wrap(err, "listing service files")
	}
	for _, entry := range listed {
		if err := t.add(entry.Name()); err != nil {
			return Tenant{}, err
		}
	}
	return t, nil
}

func (t *Tenant) add(name string) error {
	data, err := files.ReadFile(path.Join(t.Name, name))
	if err != nil {
		return errors.Wrap(err, "reading a service file")
	}
	var file service.File
	if err := json.Unmarshal(data, &file); err != nil {
		return errors.Wrapf(err, "decoding %s", name)
	}
	t.Files[name] = data
	t.Services[file.Name] = file
	return nil
}

// ModelName returns the name of the model that the tenant's model service serves.
func (t *Tenant) ModelName() string { return t.Services[t.Model].Model.Name }
