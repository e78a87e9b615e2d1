package measure

import (
	"context"
	"os"
	"os/signal"
	"strings"
	"syscall"
	"time"

	"papayaport.dev/serving/request/route"
)

// Command is the measure command of the stand-ins.
type Command struct {
	Bin              string        `default:"bin" type:"existingdir" help:"Directory with the programs."`
	Policies         []string      `help:"Routing policies; by default papayaport and the usual ones."`
	Ablation         bool          `help:"Compare papayaport with its variants that lack one part."`
	Shapes           []string      `default:"filings,chats" help:"Shapes of requests."`
	Weather          []string      `default:"calm,wave" enum:"calm,wave" help:"Calm runs, runs with a wave, or both."`
	Seeds            []uint64      `default:"1,2,3" help:"Seeds of arrivals and texts."`
	Duration         time.Duration `default:"10s" help:"Time in which requests arrive."`
	FilingsRate      float64       `default:"12" help:"Mean requests a second of the filings shape."`
	ChatsRate        float64       `default:"30" help:"Mean requests a second of the chats shape."`
	Entries          int           `default:"4" help:"Entry instances."`
	EnginesPerDomain int           `default:"2" help:"Engines in each of the four failure domains."`
}

// Run runs the comparison and prints the page of measures.
func (c *Command) Run(ctx context.Context) error {
	ctx, stop := signal.NotifyContext(ctx, syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	o := Options{
		BinDir: c.Bin, Policies: c.policies(), Shapes: c.Shapes, Seeds: c.Seeds, Duration: c.Duration,
		Rates:   map[string]float64{"filings": c.FilingsRate, "chats": c.ChatsRate},
		Entries: c.Entries, EnginesPerDomain: c.EnginesPerDomain,
		Command: "standin " + strings.Join(os.Args[1:], " "),
	}
	for _, weather := range c.Weather {
		o.Waves = append(o.Waves, weather == "wave")
	}
	return Run(ctx, o, os.Stdout, os.Stderr)
}

// policies returns the policies that the flags select.
func (c *Command) policies() []string {
	if len(c.Policies) > 0 {
		return c.Policies
	}
	if !c.Ablation {
		return UsualPolicies()
	}
	variants := []string{route.Papayaport}
	for _, name := range route.Policies() {
		if strings.HasPrefix(name, route.Papayaport+"_no_") {
			variants = append(variants, name)
		}
	}
	return variants
}
