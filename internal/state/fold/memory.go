package fold

// What a batch job and one of its tasks take in memory, in bytes, besides their texts.
const (
	jobMemory  = 1 << 10
	taskMemory = 256
)

// memory returns what a job takes in memory, in bytes.
func (j *Job) memory() int64 { return JobMemory(len(j.Input), len(j.Tasks)) }

// JobMemory returns what a batch job with an input, in bytes, and a number of tasks takes in memory.
func JobMemory(input, tasks int) int64 { return int64(jobMemory + input + tasks*taskMemory) }

// JobMemory returns what all batch jobs take in memory, in bytes.
func (f *Fold) JobMemory() int64 { return f.jobMemory }
