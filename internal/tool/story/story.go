package story

import (
	"fmt"
	"io"
	"slices"
	"strings"
	"time"

	"github.com/ebonyarch/ebonyarch/internal/jobs/model"
)

// before is how long before a request's first line the processes' state is told.
const before = 2 * time.Second

// beliefs are the messages that change what processes believe of each other and of the
// platform; they may explain what happened to a request.
var beliefs = []string{
	"claims the leadership", "claim failed", "leads", "no longer leads", "lost the leader", "follows",
	"the leader does not answer", "the store does not take an append", "configuration in force",
	"settings reloaded", "entry starts", "entry stops", "agent starts", "log lines dropped",
}

// fates are the messages that say what became of a submission.
var fates = []string{"job accepted", "job refused", "job handed in again", "job dropped before it was stored"}

// JobHistory is what became of one request.
type JobHistory struct {
	ID model.ID
	// Lines are about the request, Around tells of the processes meanwhile; both by time.
	Lines, Context []Line
	// Missing says what the logs should hold and do not.
	Missing []string
}

// New gathers the story of a request from lines in the order of their time.
func New(lines []Line, id model.ID) *JobHistory {
	s := &JobHistory{ID: id}
	for _, line := range lines {
		if line.JobID == id {
			s.Lines = append(s.Lines, line)
		}
	}
	if len(s.Lines) == 0 {
		s.Missing = []string{"no line names the request: it reached none of these processes, or their logs are not here"}
		return s
	}
	s.gather(lines)
	s.miss()
	return s
}

// gather finds what changed the beliefs about the VMs and the leader meanwhile.
func (s *JobHistory) gather(lines []Line) {
	from, to := s.Lines[0].Time.Add(-before), s.Lines[len(s.Lines)-1].Time
	vms := s.vms()
	for _, line := range lines {
		if line.JobID != "" || line.Time.Before(from) || line.Time.After(to) {
			continue
		}
		if slices.Contains(beliefs, line.Message) || slices.ContainsFunc(line.Attrs, func(in string) bool { return slices.Contains(vms, in) }) {
			s.Context = append(s.Context, line)
		}
	}
}

// vms returns the inputs that name the VMs on which the request ran.
func (s *JobHistory) vms() []string {
	var list []string
	for _, line := range s.Lines {
		for _, in := range line.Attrs {
			if strings.HasPrefix(in, "vm=") && !slices.Contains(list, in) {
				list = append(list, in)
			}
		}
	}
	return list
}

// miss says what is missing.
func (s *JobHistory) miss() {
	if !slices.ContainsFunc(s.Lines, func(l Line) bool { return slices.Contains(fates, l.Message) }) {
		s.Missing = append(s.Missing, "what became of the submission: the log of the entry that led is not here, or it ended before the store had the job")
	}
	type run struct {
		task   string
		number uint32
	}
	var open []run
	for _, line := range s.Lines {
		it := run{line.Task, line.Run}
		switch line.Message {
		case "task placed":
			open = append(open, it)
		case "run ended":
			open = slices.DeleteFunc(open, func(o run) bool { return o == it })
		}
	}
	for _, it := range open {
		s.Missing = append(s.Missing, fmt.Sprintf("the end of run %d of %s: it goes on, its VM was given up, or the next leader's log is not here", it.number, it.task))
	}
}

// Write writes the story for people.
func (s *JobHistory) Write(w io.Writer) error {
	var text strings.Builder
	fmt.Fprintf(&text, "request %s: %d lines\n", s.ID, len(s.Lines))
	all := slices.Concat(s.Lines, s.Context)
	slices.SortStableFunc(all, func(a, b Line) int { return a.Time.Compare(b.Time) })
	for _, line := range all {
		mark := " "
		if line.JobID == s.ID {
			mark = "*"
		}
		fmt.Fprintf(&text, "%s %s %s: %s %s\n", mark, line.Time.UTC().Format("15:04:05.000"), line.Node, line.Message, strings.Join(line.Attrs, " "))
	}
	for _, m := range s.Missing {
		fmt.Fprintf(&text, "missing: %s\n", m)
	}
	_, err := io.WriteString(w, text.String())
	return err
}
