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

// Command is the command "standin measure".
type Command struct {
	Bin              string        `default:"bin" type:"existingdir" help:"Directory with the programs."`
	Policies         []string      `help:"Routing policies; by default papayaport and the common ones."`
	Ablation         bool          `help:"Compare papayaport with its variants that each omit one part."`
	Shapes           []string      `default:"filings,chats" help:"Shapes of requests."`
	Weather          []string      `default:"calm,wave" enum:"calm,wave" help:"Runs without reclaims (calm), with a wave of reclaims (wave), or both."`
	Seeds            []uint64      `default:"1,2,3" help:"Seeds of the arrival times and texts."`
	Duration         time.Duration `default:"10s" help:"Time during which requests are sent."`
	FilingsRate      float64       `default:"12" help:"Mean requests per second of the filings shape."`
	ChatsRate        float64       `default:"30" help:"Mean requests per second of the chats shape."`
	Entries          int           `default:"4" help:"Number of entry instances."`
	EnginesPerDomain int           `default:"2" help:"Number of engines in each of the four failure domains."`
}

// Run runs the comparison and prints its report.
func (c *Command) Run(ctx context.Context) error {
	ctx, stop := signal.NotifyContext(ctx, syscall.SIGINT, syscall.SIGTERM, syscall.SIGQUIT)
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

// policies returns the policies to compare according to the flags.
func (c *Command) policies() []string {
	if len(c.Policies) > 0 {
		return c.Policies
	}
	if !c.Ablation {
		return CommonPolicies()
	}
	variants := []string{route.Papayaport}
	for _, name := range route.Policies() {
		if strings.HasPrefix(name, route.Papayaport+"_no_") {
			variants = append(variants, name)
		}
	}
	return variants
}
