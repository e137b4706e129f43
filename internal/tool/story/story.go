package story

import (
	"fmt"
	"io"
	"slices"
	"strings"
	"time"

	"github.com/ebonyarch/ebonyarch/internal/jobs/model"
)

// contextBefore is how long before a job's first line the context begins.
const contextBefore = 2 * time.Second

// contextMessages are log messages about leadership, the store, configuration, and the
// start and stop of processes, which may explain what happened to a job.
var contextMessages = []string{
	"claims the leadership", "claim failed", "leads", "no longer leads", "lost the leader", "follows",
	"the leader does not answer", "the store does not take an append", "configuration in force",
	"settings reloaded", "entry starts", "entry stops", "agent starts", "log lines dropped",
}

// submissionMessages are the log messages that report the result of a submission.
var submissionMessages = []string{"job accepted", "job refused", "job handed in again", "job dropped before it was stored"}

// JobHistory holds the log lines of one job.
type JobHistory struct {
	ID model.ID
	// Lines are the lines that name the job. Context are lines from the same period about
	// the processes and the job's VMs. Both are sorted by time.
	Lines, Context []Line
	// Missing describes what the logs should contain but do not.
	Missing []string
}

// New returns the history of a job. lines must be sorted by time.
func New(lines []Line, id model.ID) *JobHistory {
	h := &JobHistory{ID: id}
	for _, line := range lines {
		if line.JobID == id {
			h.Lines = append(h.Lines, line)
		}
	}
	if len(h.Lines) == 0 {
		h.Missing = []string{"no line names the job: it reached none of these processes, or their logs are not in the input"}
		return h
	}
	h.addContext(lines)
	h.findMissing()
	return h
}

// addContext adds the lines from the job's period that have one of contextMessages or
// name one of the job's VMs.
func (h *JobHistory) addContext(lines []Line) {
	from, to := h.Lines[0].Time.Add(-contextBefore), h.Lines[len(h.Lines)-1].Time
	vms := h.vms()
	for _, line := range lines {
		if line.JobID != "" || line.Time.Before(from) || line.Time.After(to) {
			continue
		}
		if slices.Contains(contextMessages, line.Message) || slices.ContainsFunc(line.Attrs, func(attr string) bool { return slices.Contains(vms, attr) }) {
			h.Context = append(h.Context, line)
		}
	}
}

// vms returns the attributes "vm=ID" of the VMs on which the job ran.
func (h *JobHistory) vms() []string {
	var list []string
	for _, line := range h.Lines {
		for _, attr := range line.Attrs {
			if strings.HasPrefix(attr, "vm=") && !slices.Contains(list, attr) {
				list = append(list, attr)
			}
		}
	}
	return list
}

// findMissing sets Missing if the lines do not contain the result of the submission or
// the end of a run.
func (h *JobHistory) findMissing() {
	if !slices.ContainsFunc(h.Lines, func(l Line) bool { return slices.Contains(submissionMessages, l.Message) }) {
		h.Missing = append(h.Missing, "the result of the submission: the log of the leading entry is not in the input, or the entry ended before the job was stored")
	}
	type taskRun struct {
		task   string
		number uint32
	}
	var running []taskRun
	for _, line := range h.Lines {
		r := taskRun{line.Task, line.Run}
		switch line.Message {
		case "task placed":
			running = append(running, r)
		case "run ended":
			running = slices.DeleteFunc(running, func(o taskRun) bool { return o == r })
		}
	}
	for _, r := range running {
		h.Missing = append(h.Missing, fmt.Sprintf("the end of run %d of %s: the run is still in progress, its VM was abandoned, or the next leader's log is not in the input", r.number, r.task))
	}
}

// Write writes the history as text. Lines that name the job are marked with *.
func (h *JobHistory) Write(w io.Writer) error {
	var text strings.Builder
	fmt.Fprintf(&text, "job %s (request id, req in the logs): %d lines\n", h.ID, len(h.Lines))
	all := slices.Concat(h.Lines, h.Context)
	slices.SortStableFunc(all, func(a, b Line) int { return a.Time.Compare(b.Time) })
	for _, line := range all {
		mark := " "
		if line.JobID == h.ID {
			mark = "*"
		}
		fmt.Fprintf(&text, "%s %s %s: %s %s\n", mark, line.Time.UTC().Format("15:04:05.000"), line.Node, line.Message, strings.Join(line.Attrs, " "))
	}
	for _, m := range h.Missing {
		fmt.Fprintf(&text, "missing: %s\n", m)
	}
	_, err := io.WriteString(w, text.String())
	return err
}
