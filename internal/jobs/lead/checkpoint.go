package lead

import (
	"slices"

	"github.com/ebonyarch/ebonyarch/internal/jobs/model"
	"github.com/ebonyarch/ebonyarch/internal/jobs/plan"
	"github.com/ebonyarch/ebonyarch/internal/jobs/table"
)

// checkpoints finds the checkpoints from which the next runs of tasks resume. It looks through the members
// of a gang once. The zero value is ready for use while no checkpoint changes.
type checkpoints struct {
	gangs map[plan.StageKey]string
}

// latest returns the checkpoint from which the next run of a task resumes. All members of a gang resume
// from the same one, which any of them may have saved.
func (c *checkpoints) latest(e *table.Entry, ref model.TaskRef) string {
	step := &e.Job.Steps[ref.Step]
	if !step.Gang {
		return e.Task(ref).Checkpoint
	}
	key := stageKey(ref)
	if checkpoint, known := c.gangs[key]; known {
		return checkpoint
	}
	if c.gangs == nil {
		c.gangs = map[plan.StageKey]string{}
	}
	st := e.Stage(ref)
	members := e.Tasks[st.First : st.First+step.Tasks]
	if i := slices.IndexFunc(members, func(t table.Task) bool { return t.Checkpoint != "" }); i >= 0 {
		c.gangs[key] = members[i].Checkpoint
	} else {
		c.gangs[key] = ""
	}
	return c.gangs[key]
}
