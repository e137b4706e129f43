package table

import (
	"errors"
	"fmt"
	"slices"
	"strconv"
	"strings"
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

// storedProgress is a job's progress as stored. head is set if the tasks are in parts.
type storedProgress struct {
	Progress
	head *head
}

// UnmarshalCBOR implements cbor.Unmarshaler.
func (p *storedProgress) UnmarshalCBOR(data []byte) error {
	err := codec.Unmarshal(data, &p.Progress)
	if err == nil {
		return nil
	}
	var h head
	if codec.Unmarshal(data, &h) != nil || h.PartTasks <= 0 {
		return err
	}
	p.Progress, p.head = Progress{State: h.State, Reason: h.Reason, Ended: h.Ended}, &h
	return nil
}

// partTable holds the records of parts while a table is loaded, by key.
type partTable map[string]port.Record

// newPartTable returns the records of parts among others.
func newPartTable(records []port.Record) partTable {
	t := partTable{}
	for _, r := range records {
		switch {
		case !strings.HasPrefix(r.Key, partPrefix):
		case len(r.Value) == 0:
			delete(t, r.Key)
		default:
			t[r.Key] = r
		}
	}
	return t
}

// take removes and returns the parts that a head lists. An error means that one is missing, or is
// not of the time of the head.
func (t partTable) take(id string, h *head) ([]part, error) {
	var list []part
	var errs error
	for i, version := range h.Versions {
		r, ok := t[partKey(id, i)]
		delete(t, partKey(id, i))
		var p part
		switch err := codec.Unmarshal(r.Value, &p); {
		case !ok:
			errs = errors.Join(errs, fmt.Errorf("part %d of %d is missing", i, len(h.Versions)))
		case err != nil:
			errs = errors.Join(errs, fmt.Errorf("part %d: %w", i, err))
		case p.Version != version:
			errs = errors.Join(errs, fmt.Errorf("part %d has version %d, want %d", i, p.Version, version))
		}
		list = append(list, p)
	}
	return list, errs
}

// restore sets the tasks and crashes of an entry from the parts that a head lists.
func (t partTable) restore(e *Entry, h *head) error {
	list, err := t.take(string(e.Job.ID), h)
	e.parts = &parts{h.PartTasks, h.Versions, make([]bool, len(h.Versions))}
	if err != nil {
		return err
	}
	return e.restoreParts(h, list)
}

// unused returns the keys of the parts that were not taken, and whose job has no progress or one
// without parts. An earlier version of the program leaves them behind if it ends or purges their job.
// Progress that cannot be decoded may list parts.
func (t partTable) unused(records []port.Record, progress map[string]storedProgress) []string {
	stored := map[string]bool{}
	for _, r := range records {
		if id, ok := strings.CutPrefix(r.Key, progressPrefix); ok {
			stored[id] = len(r.Value) > 0
		}
	}
	var keys []string
	for key := range t {
		id, _, _ := strings.Cut(strings.TrimPrefix(key, partPrefix), "/")
		if p, decoded := progress[id]; !stored[id] || (decoded && p.head == nil) {
			keys = append(keys, key)
		}
	}
	return slices.Sorted(slices.Values(keys))
}

// restoreParts sets the tasks and crashes of an entry that has none from its parts.
func (e *Entry) restoreParts(h *head, list []part) error {
	if want := (len(e.Tasks) + h.PartTasks - 1) / h.PartTasks; len(list) != want {
		return fmt.Errorf("%d parts for %d tasks, want %d", len(list), len(e.Tasks), want)
	}
	tasks := make([]Task, 0, len(e.Tasks))
	for i := range list {
		first, end := e.parts.bounds(i, len(e.Tasks))
		if n := len(list[i].Tasks); n != end-first {
			return fmt.Errorf("part %d has %d tasks, want %d", i, n, end-first)
		}
		for n := range list[i].Tasks {
			t, err := list[i].task(&list[i].Tasks[n])
			if err != nil {
				return fmt.Errorf("part %d: %w", i, err)
			}
			tasks = append(tasks, t)
		}
	}
	e.setTasks(tasks)
	for i := range list {
		e.restoreCrashes(list[i].Crashes)
	}
	return nil
}
