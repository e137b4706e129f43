package table

import (
	"errors"
	"fmt"
	"slices"
	"strings"

	"github.com/ebonyarch/ebonyarch/internal/base/codec"
	"github.com/ebonyarch/ebonyarch/internal/plat/port"
)

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
