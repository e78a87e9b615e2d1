// Package demo demonstrates papayaport: it starts a whole system as processes on loopback,
// publishes the service files of both tenants, sends requests of each kind and one whose engine is
// reclaimed meanwhile, checks every answer and prints the results.
//
// # Usage
//
//	err := demo.Run(ctx, "bin", os.Stdout)
//
// Run returns an error for the first wrong result. It stops all processes before it returns.
package demo

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/pkg/errors"

	wire "papayaport.dev/serving/connection/engine"
	"papayaport.dev/standin/caller"
	"papayaport.dev/standin/launch"
	"papayaport.dev/standin/tenants"
)

// runTimeout is the time limit of the whole demo.
const runTimeout = 55 * time.Second

// demo is the state of one run.
type demo struct {
	out    io.Writer
	system *launch.System
	http   *http.Client
	began  time.Time
}

// steps holds the steps of the demo in their order.
var steps = []struct {
	name string
	run  func(*demo, context.Context) error
}{
	{"publish the service files of both tenants", (*demo).publish},
	{"send two questions about a long court filing", (*demo).filing},
	{"send a chat of the night line", (*demo).nightChat},
	{"look up a status", (*demo).lookup},
	{"send a keyed booking twice", (*demo).booking},
	{"reclaim the engine of a running stream", (*demo).reclaim},
	{"figures", (*demo).figures},
}

// Run runs the demo with the programs in binDir.
func Run(ctx context.Context, binDir string, out io.Writer) error {
	ctx, cancel := context.WithTimeout(ctx, runTimeout)
	defer cancel()
	d := &demo{out: out, http: &http.Client{Transport: &http.Transport{}}, began: time.Now()}
	system, err := launch.Start(ctx, launch.Plan{BinDir: binDir, Engine: engineConfig()})
	if err != nil {
		return errors.Wrap(err, "starting the system")
	}
	defer system.Stop()
	d.system = system
	d.printf("started %d entry instances, %d engines and %d plain services in %d failure domains",
		len(system.Entries), len(system.Engines), len(system.Services), len(domains(system)))
	for _, step := range steps {
		d.printf("%s", step.name)
		if err := step.run(d, ctx); err != nil {
			return errors.Wrap(err, step.name)
		}
	}
	system.Stop()
	d.printf("all processes stopped, every answer was correct")
	return nil
}

// printf prints a line with the time since the start.
func (d *demo) printf(format string, args ...any) {
	_, _ = fmt.Fprintf(d.out, "%6.2fs  %s\n", time.Since(d.began).Seconds(), fmt.Sprintf(format, args...))
}

// detail prints a result of a step.
func (d *demo) detail(format string, args ...any) {
	_, _ = fmt.Fprintf(d.out, "         - %s\n", fmt.Sprintf(format, args...))
}

func domains(s *launch.System) map[string]bool {
	found := map[string]bool{}
	for _, p := range s.Entries {
		found[p.Instance.FailureDomain] = true
	}
	return found
}

// tenant returns one of the tenants by name.
func (d *demo) tenant(name string) tenants.Tenant {
	for _, t := range d.system.Tenants {
		if t.Name == name {
			return t
		}
	}
	return tenants.Tenant{}
}

// clientFor returns a client of the balancer for a client account.
func (d *demo) clientFor(account string) *caller.Client {
	return caller.New(d.http, "http://"+d.system.Balancer, tenants.Key(account))
}

func userMessage(content string) []wire.Message {
	return []wire.Message{{Role: "user", Content: content}}
}
