// Package command is the command line of the fault soak.
//
// # Usage
//
//	os.Exit(command.Main(os.Args[1:], os.Stdout, os.Stderr))
package command

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"os/signal"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/alecthomas/kong"
	"github.com/pkg/errors"
	"golang.org/x/sync/errgroup"

	"papayaport.dev/soak/plan"
	"papayaport.dev/soak/world"
)

// Exit codes.
const (
	exitDone   = 0
	exitFailed = 1
	exitUse    = 2
)

type commands struct {
	Run         run         `cmd:"" help:"Play one seed."`
	Hunt        hunt        `cmd:"" help:"Play many seeds and name those that broke a promise."`
	Regressions regressions `cmd:"" help:"Play each seed that ever failed."`
}

// where holds the flags that all commands share.
type where struct {
	Program string `default:"target/papayaport-site" type:"existingfile" help:"Program of the entry instance."`
	Dir     string `default:"target/soak" help:"Directory for settings and logs; those of kept promises are removed."`
}

type output struct {
	ctx context.Context
	mu  sync.Mutex
	out io.Writer
}

// Main runs one command and returns the exit code.
func Main(args []string, out, errOut io.Writer) int {
	var table commands
	parser, err := kong.New(&table, kong.Name("soak"),
		kong.Description("Plays seeded days of faults against real entry instances."), kong.Writers(out, errOut))
	if err != nil {
		fmt.Fprintln(errOut, "soak:", err)
		return exitUse
	}
	chosen, err := parser.Parse(args)
	if err != nil {
		fmt.Fprintln(errOut, "soak:", err)
		return exitUse
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	if err := chosen.Run(&output{ctx: ctx, out: out}); err != nil {
		fmt.Fprintln(errOut, "soak:", err)
		return exitFailed
	}
	return exitDone
}

var sizes = map[string]plan.Size{"short": plan.Short, "usual": plan.Usual, "large": plan.Large}

// play plays one seed, prints its report, and tells whether all promises were kept.
func (w where) play(out *output, seed uint64, size string) (bool, error) {
	dir := filepath.Join(w.Dir, fmt.Sprintf("%s-%d", size, seed))
	if err := os.RemoveAll(dir); err != nil {
		return false, errors.Wrap(err, "empty directory")
	}
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return false, errors.Wrap(err, "make directory")
	}
	report, err := world.Play(out.ctx, world.Options{Program: w.Program, Dir: dir}, plan.New(seed, sizes[size]))
	if err != nil {
		return false, errors.Wrapf(err, "seed %d", seed)
	}
	line, err := json.Marshal(report)
	if err != nil {
		return false, errors.Wrap(err, "encode report")
	}
	out.mu.Lock()
	fmt.Fprintln(out.out, string(line))
	out.mu.Unlock()
	if len(report.Violations) > 0 {
		return false, errors.Wrap(os.WriteFile(filepath.Join(dir, "report.json"), line, 0o600), "keep report")
	}
	return true, errors.Wrap(os.RemoveAll(dir), "remove logs")
}

type run struct {
	where
	Seed uint64 `required:"" help:"Seed of the plan."`
	Size string `default:"usual" enum:"short,usual,large" help:"Size of the run: short, usual, large."`
	Plan bool   `help:"Print the plan and play nothing."`
}

// Run plays one seed.
func (r *run) Run(out *output) error {
	if r.Plan {
		for _, f := range plan.New(r.Seed, sizes[r.Size]).Faults {
			fmt.Fprintf(out.out, "%8v to %8v %s %d %s %d\n", f.At.Round(time.Millisecond), f.End().Round(time.Millisecond), f.Kind, f.Target, f.Way, f.Number)
		}
		return nil
	}
	kept, err := r.play(out, r.Seed, r.Size)
	if err == nil && !kept {
		err = errors.Errorf("seed %d broke a promise", r.Seed)
	}
	return err
}

type hunt struct {
	where
	Seeds int    `default:"50" help:"Number of seeds."`
	From  uint64 `help:"First seed; from the time of day when 0."`
	Size  string `default:"usual" enum:"short,usual,large" help:"Size of the runs: short, usual, large."`
	Jobs  int    `default:"2" help:"Runs at a time."`
}

// Run plays the seeds.
func (h *hunt) Run(out *output) error {
	if h.From == 0 {
		h.From = uint64(time.Now().Unix())
	}
	var broken []uint64
	var unplayed []error
	var mu sync.Mutex
	group := errgroup.Group{}
	group.SetLimit(h.Jobs)
	for i := range h.Seeds {
		group.Go(func() error {
			if out.ctx.Err() != nil {
				return errors.New("interrupted")
			}
			seed := h.From + uint64(i)
			kept, err := h.play(out, seed, h.Size)
			mu.Lock()
			defer mu.Unlock()
			if err != nil {
				unplayed = append(unplayed, err)
			} else if !kept {
				broken = append(broken, seed)
			}
			return nil
		})
	}
	if err := group.Wait(); err != nil {
		return err
	}
	for _, err := range unplayed {
		fmt.Fprintln(out.out, "not played:", err)
	}
	if len(unplayed) > 0 {
		return errors.Errorf("%d of %d seeds could not be played, %d broke a promise: %v", len(unplayed), h.Seeds, len(broken), broken)
	}
	if len(broken) > 0 {
		return errors.Errorf("%d of %d seeds broke a promise: %v", len(broken), h.Seeds, broken)
	}
	fmt.Fprintf(out.out, "%d seeds from %d on: all promises kept\n", h.Seeds, h.From)
	return nil
}

type regressions struct {
	where
	File string `default:"soak/regressions.txt" type:"existingfile" help:"Seeds that failed, a line each: SIZE SEED CAUSE."`
}

// Run plays the seeds of the file.
func (r *regressions) Run(out *output) error {
	file, err := os.Open(r.File)
	if err != nil {
		return errors.Wrap(err, "open list")
	}
	defer file.Close()
	var broken []uint64
	lines := bufio.NewScanner(file)
	for lines.Scan() {
		line := strings.TrimSpace(lines.Text())
		if line == "" || strings.HasPrefix(line, "#") {
			continue
		}
		var size string
		var seed uint64
		if _, err := fmt.Sscan(line, &size, &seed); err != nil {
			return errors.Wrapf(err, "line %q", line)
		}
		if _, known := sizes[size]; !known {
			return errors.Errorf("line %q: unknown size", line)
		}
		kept, err := r.play(out, seed, size)
		if err != nil {
			return err
		}
		if !kept {
			broken = append(broken, seed)
		}
	}
	if len(broken) > 0 {
		return errors.Errorf("seeds broke a promise: %v", broken)
	}
	return errors.Wrap(lines.Err(), "read list")
}
