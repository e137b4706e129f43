package table

import (
	"fmt"
	"slices"
	"strconv"
	"time"

	"github.com/ebonyarch/ebonyarch/internal/base/codec"
	"github.com/ebonyarch/ebonyarch/internal/plat/port"
)

const (
	// partPrefix is the prefix of the keys of parts. The rest is the job's id, a slash and the
	// part's index.
	partPrefix = "tasks/"
	// partTasks is the number of tasks in a part.
	partTasks = 64
)

// parts describes how the tasks of a large job are divided into records of their own, of which
// only those that changed are written.
type parts struct {
	// size is the number of tasks in each part but the last.
	size int
	// versions holds the number of times that each part was written. The progress lists them, so
	// that a part of another time is noticed when the job is loaded.
	versions []uint32
	// changed is set for each part with changes that are in no batch.
	changed []bool
}

// newParts returns the division of n tasks, with all parts changed.
func newParts(n int) *parts {
	count := (n + partTasks - 1) / partTasks
	p := &parts{partTasks, make([]uint32, count), make([]bool, count)}
	for i := range p.changed {
		p.changed[i] = true
	}
	return p
}

// touch marks parts as changed.
func (p *parts) touch(indexes ...int) {
	for _, i := range indexes {
		p.changed[i] = true
	}
}

// written notes that parts are in a batch.
func (p *parts) written(indexes []int) {
	for _, i := range indexes {
		p.changed[i] = false
		p.versions[i]++
	}
}

// bounds returns the indexes of a part's first task and of the one after its last, of n tasks.
func (p *parts) bounds(i, n int) (int, int) { return i * p.size, min((i+1)*p.size, n) }

// partKey returns the key of a part's record.
func partKey(id string, i int) string { return partPrefix + id + "/" + strconv.Itoa(i) }

// head is the progress of a job whose tasks are in parts. Earlier versions of the program cannot
// decode it, so they start no task of the job.
type head struct {
	_      struct{} `cbor:",toarray"`
	State  State
	Reason string
	Ended  time.Time
	// PartTasks is the number of tasks in each part but the last, Versions the version of each
	// part.
	PartTasks int
	Versions  []uint32
}

// part is the record of some of a job's tasks.
type part struct {
	_       struct{} `cbor:",toarray"`
	Version uint32
	// Locations holds the locations of the runs, each once.
	Locations []location
	Tasks     []partTask
	// Crashes holds the crashes for which a task of the part may be the cause.
	Crashes []taskCrashes
}

// location is where a run is assigned to, see Run.
type location struct {
	_           struct{} `cbor:",toarray"`
	VM          string
	Incarnation int64
	Node        string
}

// partTask is a Task in a part.
type partTask struct {
	_          struct{} `cbor:",toarray"`
	Done       bool
	LastRun    uint32
	Runs       []partRun
	Failures   uint16
	Checkpoint string
	GivenUp    []uint32
}

// partRun is a Run in a part. Location is an index in part.Locations.
type partRun struct {
	_        struct{} `cbor:",toarray"`
	Number   uint32
	Location int
}

// newPart returns the record of a part of the entry's tasks.
func (e *Entry) newPart(i int) part {
	first, end := e.parts.bounds(i, len(e.Tasks))
	p := part{Version: e.parts.versions[i] + 1}
	index := map[location]int{}
	for n := first; n < end; n++ {
		t := &e.Tasks[n]
		pt := partTask{Done: t.Done, LastRun: t.LastRun, Failures: t.Failures, Checkpoint: t.Checkpoint, GivenUp: t.GivenUp}
		for _, r := range t.Runs {
			at := location{VM: r.VM, Incarnation: r.Incarnation, Node: r.Node}
			if _, ok := index[at]; !ok {
				index[at] = len(p.Locations)
				p.Locations = append(p.Locations, at)
			}
			pt.Runs = append(pt.Runs, partRun{Number: r.Number, Location: index[at]})
		}
		p.Tasks = append(p.Tasks, pt)
		if crashes := e.crashes[n]; len(crashes) > 0 {
			p.Crashes = append(p.Crashes, taskCrashes{Task: n, Crashes: crashes})
		}
	}
	return p
}

// task returns a task of the part.
func (p *part) task(pt *partTask) (Task, error) {
	t := Task{Done: pt.Done, LastRun: pt.LastRun, Failures: pt.Failures, Checkpoint: pt.Checkpoint, GivenUp: pt.GivenUp}
	for _, r := range pt.Runs {
		if r.Location < 0 || r.Location >= len(p.Locations) {
			return t, fmt.Errorf("run %d has location %d of %d", r.Number, r.Location, len(p.Locations))
		}
		at := p.Locations[r.Location]
		t.Runs = append(t.Runs, Run{Number: r.Number, VM: at.VM, Incarnation: at.Incarnation, Node: at.Node})
	}
	return t, nil
}

// partRecords returns the records of a job whose tasks are in parts: its progress and the parts
// that have changed. It also returns the indexes of these.
func (e *Entry) partRecords() ([]port.Record, []int, error) {
	id := string(e.Job.ID)
	versions := slices.Clone(e.parts.versions)
	var list []port.Record
	var written []int
	for i, changed := range e.parts.changed {
		if !changed {
			continue
		}
		p := e.newPart(i)
		data, err := codec.Marshal(&p)
		if err != nil {
			return nil, nil, fmt.Errorf("part %d of the progress of job %s: %w", i, id, err)
		}
		versions[i] = p.Version
		list = append(list, port.Record{Key: partKey(id, i), Value: data})
		written = append(written, i)
	}
	data, err := codec.Marshal(&head{State: e.State, Reason: e.Reason, Ended: e.Ended, PartTasks: e.parts.size, Versions: versions})
	if err != nil {
		return nil, nil, fmt.Errorf("progress of job %s: %w", id, err)
	}
	return append(list, port.Record{Key: progressPrefix + id, Value: data}), written, nil
}

// keys returns the keys of the records of all parts. There are none if p is nil.
func (p *parts) keys(id string) []string {
	if p == nil {
		return nil
	}
	var list []string
	for i := range p.versions {
		list = append(list, partKey(id, i))
	}
	return list
}
