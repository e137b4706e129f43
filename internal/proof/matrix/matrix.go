// Package matrix injects every fault at every step of a run of the whole system, in virtual
// time, and checks the system's invariants.
package matrix

import (
	"fmt"
	"io"
	"math/rand/v2"
	"runtime"
	"strings"
	"sync"

	"github.com/ebonyarch/ebonyarch/internal/proof/world"
)

// Cell is a run with one fault at one step, or with a pair of faults.
type Cell struct {
	Injections []Injection
	Seed       uint64
	// SkipReason is why the cell does not apply, "" if it does.
	SkipReason string
	Result
}

// Passed reports whether the cell ran, all its faults were injected and no invariant was
// violated.
func (c *Cell) Passed() bool { return c.SkipReason == "" && c.Injected && len(c.Faults) == 0 }

// String returns the cell's name, which Filter matches.
func (c *Cell) String() string {
	names := make([]string, len(c.Injections))
	for i, s := range c.Injections {
		names[i] = s.String()
	}
	return fmt.Sprintf("seed %d: %s", c.Seed, strings.Join(names, " and "))
}

// occurrences holds the occurrences of a step at which Cells injects faults.
var occurrences = []int{1, 2}

// Cells returns all cells with a single fault.
func Cells(seed uint64) []*Cell {
	var cells []*Cell
	for _, s := range world.Steps {
		for _, f := range Faults() {
			for _, n := range occurrences {
				c := &Cell{Injections: []Injection{{s, f, n}}, Seed: seed, SkipReason: f.skipReason(s)}
				if c.SkipReason == "" && n > 1 && rareSteps[s] {
					c.SkipReason = "a run may take the step only once"
				}
				cells = append(cells, c)
			}
		}
	}
	return cells
}

// rareSteps holds the steps that a run takes only once or twice.
var rareSteps = map[world.Step]bool{
	world.Announce: true, world.Drain: true, world.Takeover: true, world.Cancel: true, world.Publish: true, world.Resume: true,
}

// Pairs returns n cells with two random faults each, which the seed determines.
func Pairs(seed uint64, n int) []*Cell {
	rnd := rand.New(rand.NewPCG(seed, 2))
	var cells []*Cell
	for len(cells) < n {
		c := &Cell{Seed: seed + uint64(len(cells))}
		for range 2 {
			s := world.Steps[rnd.IntN(len(world.Steps))]
			f := Faults()[rnd.IntN(len(Faults()))]
			if f.skipReason(s) != "" {
				break
			}
			c.Injections = append(c.Injections, Injection{s, f, 1})
		}
		if len(c.Injections) == 2 && c.Injections[0].Step != c.Injections[1].Step {
			cells = append(cells, c)
		}
	}
	return cells
}

// RunCells runs the cells that apply, as many at a time as there are processors, and stores
// their results.
func RunCells(cells []*Cell) {
	queue := make(chan *Cell)
	var wg sync.WaitGroup
	for range runtime.GOMAXPROCS(0) {
		wg.Go(func() {
			for c := range queue {
				c.Result = Run(c.Seed, nil, c.Injections...)
			}
		})
	}
	for _, c := range cells {
		if c.SkipReason == "" {
			queue <- c
		}
	}
	close(queue)
	wg.Wait()
}

// Summary holds numbers of cells. Run is the sum of Passed, Failed and NotReached.
type Summary struct {
	Run, Passed, NotApplicable, NotReached, Failed int
}

// Summarize counts the cells by result.
func Summarize(cells []*Cell) Summary {
	var s Summary
	for _, c := range cells {
		switch {
		case c.SkipReason != "":
			s.NotApplicable++
			continue
		case c.Passed():
			s.Passed++
		case len(c.Faults) > 0:
			s.Failed++
		default:
			s.NotReached++
		}
		s.Run++
	}
	return s
}

// Print writes a table of the cells with a single fault, with one row for each fault and one
// column for each step.
func Print(out io.Writer, cells []*Cell) {
	marks := map[string]map[world.Step]string{}
	for _, c := range cells {
		if len(c.Injections) != 1 {
			continue
		}
		s := c.Injections[0]
		if marks[s.Fault.Name] == nil {
			marks[s.Fault.Name] = map[world.Step]string{}
		}
		marks[s.Fault.Name][s.Step] += c.mark()
	}
	for i, s := range world.Steps {
		fmt.Fprintf(out, "%35s%s %s\n", "", strings.Repeat("|  ", i), s)
	}
	for _, f := range Faults() {
		fmt.Fprintf(out, "%-35s", f.Name)
		for _, s := range world.Steps {
			fmt.Fprintf(out, "%-3s", marks[f.Name][s])
		}
		fmt.Fprintln(out)
	}
	fmt.Fprintln(out, "+ held, X broken, . does not apply, ? step not reached; one mark for each occurrence")
}

// mark returns the character for the cell in the table.
func (c *Cell) mark() string {
	switch {
	case c.SkipReason != "":
		return "."
	case len(c.Faults) > 0:
		return "X"
	case !c.Injected:
		return "?"
	}
	return "+"
}

// Filter returns the cells whose name contains text.
func Filter(cells []*Cell, text string) []*Cell {
	var kept []*Cell
	for _, c := range cells {
		if strings.Contains(c.String(), text) {
			kept = append(kept, c)
		}
	}
	return kept
}
