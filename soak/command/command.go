// Package command implements the command line of the fault injection soak.
//
// # Usage
//
//	os.Exit(command.Main(ctx, os.Args[1:], os.Stdout, os.Stderr))
package command

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"time"

	"github.com/alecthomas/kong"
	"github.com/pkg/errors"
	"golang.org/x/sync/errgroup"

	"papayaport.dev/soak/plan"
	"papayaport.dev/soak/runner"
)

// Exit codes.
const (
	exitOK     = 0
	exitFailed = 1
	exitUsage  = 2
)

type commands struct {
	Run         run         `cmd:"" help:"Run one seed."`
	Hunt        hunt        `cmd:"" help:"Run many seeds and list those that violated an invariant."`
	Regressions regressions `cmd:"" help:"Run each seed that failed in the past."`
}

// playFlags holds the flags that all commands share.
type playFlags struct {
	Program string `default:"target/papayaport-site" type:"existingfile" help:"Program of the entry instance."`
	Dir     string `default:"target/soak" help:"Directory for settings and logs; those of successful runs are removed."`
}

type output struct {
	ctx context.Context
	mu  sync.Mutex
	out io.Writer
}

// Main runs one command until ctx ends and returns the exit code.
func Main(ctx context.Context, args []string, out, errOut io.Writer) int {
	var table commands
	parser, err := kong.New(&table, kong.Name("soak"),
		kong.Description("Runs seeded fault injection tests against real entry instances."), kong.Writers(out, errOut))
	if err != nil {
		fmt.Fprintln(errOut, "soak:", err)
		return exitUsage
	}
	chosen, err := parser.Parse(args)
	if err != nil {
		fmt.Fprintln(errOut, "soak:", err)
		return exitUsage
	}
	if err := chosen.Run(&output{ctx: ctx, out: out}); err != nil {
		fmt.Fprintln(errOut, "soak:", err)
		return exitFailed
	}
	return exitOK
}

var sizes = map[string]plan.Size{"short": plan.Short, "usual": plan.Usual, "large": plan.Large}

// play runs one seed, prints its report as a line of JSON, and returns whether all invariants
// held. Settings and logs are removed if they did.
func (f playFlags) play(out *output, seed uint64, size string) (bool, error) {
	dir := filepath.Join(f.Dir, fmt.Sprintf("%s-%d", size, seed))
	if err := os.RemoveAll(dir); err != nil {
		return false, errors.Wrap(err, "remove directory")
	}
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return false, errors.Wrap(err, "create directory")
	}
	report, err := runner.Play(out.ctx, runner.Options{Program: f.Program, Dir: dir}, plan.New(seed, sizes[size]))
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
		return false, errors.Wrap(os.WriteFile(filepath.Join(dir, "report.json"), line, 0o600), "write report")
	}
	return true, errors.Wrap(os.RemoveAll(dir), "remove logs")
}

type run struct {
	playFlags
	Seed uint64 `required:"" help:"Seed of the plan."`
	Size string `default:"usual" enum:"short,usual,large" help:"Size of the run: short, usual, large."`
	Plan bool   `help:"Print the plan without running it."`
}

// Run runs one seed, or prints its plan.
func (r *run) Run(out *output) error {
	if r.Plan {
		for _, f := range plan.New(r.Seed, sizes[r.Size]).Faults {
			fmt.Fprintf(out.out, "%8v to %8v %s %d %s %d\n", f.At.Round(time.Millisecond), f.End().Round(time.Millisecond), f.Kind, f.Target, f.Disturbance, f.Number)
		}
		return nil
	}
	kept, err := r.play(out, r.Seed, r.Size)
	if err == nil && !kept {
		err = errors.Errorf("seed %d violated an invariant", r.Seed)
	}
	return err
}

type hunt struct {
	playFlags
	Seeds int    `default:"50" help:"Number of seeds."`
	From  uint64 `help:"First seed; 0 for the current Unix time."`
	Size  string `default:"usual" enum:"short,usual,large" help:"Size of the runs: short, usual, large."`
	Jobs  int    `default:"2" help:"Number of concurrent runs."`
}

// Run runs the seeds and fails if one violated an invariant or could not be run.
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
		fmt.Fprintln(out.out, "not run:", err)
	}
	if len(unplayed) > 0 {
		return errors.Errorf("%d of %d seeds could not be run, %d violated an invariant: %v", len(unplayed), h.Seeds, len(broken), broken)
	}
	if len(broken) > 0 {
		return errors.Errorf("%d of %d seeds violated an invariant: %v", len(broken), h.Seeds, broken)
	}
	fmt.Fprintf(out.out, "%d seeds from %d on: no violations\n", h.Seeds, h.From)
	return nil
}

type regressions struct {
	playFlags
	File string `default:"soak/regressions.txt" type:"existingfile" help:"File of failed seeds, one per line: SIZE SEED CAUSE."`
}

// Run runs the seeds of the file.
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
		return errors.Errorf("seeds violated an invariant: %v", broken)
	}
	return errors.Wrap(lines.Err(), "read list")
}
