package table

import "github.com/ebonyarch/ebonyarch/internal/jobs/model"

// What the parts of a job take in memory, with what the leader keeps for each, in bytes. A task
// counts as one that has a run.
const (
	jobMemory   = 2 << 10
	stepMemory  = 512
	stageMemory = 128
	taskMemory  = 1 << 10
)

// MemoryOf returns what a job takes in the table, in bytes.
func MemoryOf(job *model.Job) int64 {
	n, tasks := jobMemory+len(job.Payload), 0
	for i := range job.Steps {
		s := &job.Steps[i]
		n += stepMemory + len(s.Requires) + len(s.Rack) + len(s.Image) + 8*len(s.After)
		tasks += s.Tasks
	}
	return int64(n) + int64(job.Occurrences())*int64(len(job.Steps)*stageMemory+tasks*taskMemory)
}

// Memory returns what all jobs take, in bytes.
func (tbl *Table) Memory() int64 { return tbl.memory }
