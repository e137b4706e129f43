package fold_test

import (
	"fmt"
	"runtime"
	"testing"

	"google.golang.org/protobuf/proto"

	"github.com/ebonyarch/ebonyarch/internal/base/ident"
	"github.com/ebonyarch/ebonyarch/internal/state/fold"
	"github.com/ebonyarch/ebonyarch/internal/wire/schema"
)

// newFilledLog returns a log with running and waiting tasks in jobs of 25 tasks.
func newFilledLog(runningTasks, waitingTasks int) *testLog {
	const tasksEach = 25
	log := newTestLog("w1")
	log.appendBatch("w1", claim(1), config("t", 0, `{"batch": {"b": {"cpu": 1}}}`))
	for i := range (runningTasks + waitingTasks) / tasksEach {
		key := fmt.Sprint(i)
		log.appendBatch("w1", job("t", key, tasksEach))
		if i*tasksEach >= runningTasks {
			continue
		}
		g := &schema.Grants{}
		for n := range uint32(tasksEach) {
			ref := &schema.TaskRef{Job: ident.BatchJob("t", key), Index: n, Epoch: 1}
			g.Vms = append(g.Vms, &schema.VMGrants{Vm: fmt.Sprintf("vm-%d", (i+int(n))%430), Tasks: []*schema.TaskRef{ref}})
		}
		log.appendBatch("w1", &schema.Record{Cell: "main", Term: 1, Body: &schema.Record_Grants{Grants: g}})
	}
	return log
}

// BenchmarkState measures the memory of the state, and the size and time of a
// snapshot. It uses two numbers of waiting tasks, so that the cost per task follows
// from the difference.
func BenchmarkState(b *testing.B) {
	for _, waiting := range []int{10_000, 50_000} {
		b.Run(fmt.Sprintf("running=3200/waiting=%d", waiting), func(b *testing.B) {
			var before, after runtime.MemStats
			runtime.GC()
			runtime.ReadMemStats(&before)
			log := newFilledLog(3200, waiting)
			log.entries = nil
			runtime.GC()
			runtime.ReadMemStats(&after)
			var size int
			for b.Loop() {
				data, err := proto.Marshal(log.fold.Encode())
				if err != nil {
					b.Fatal(err)
				}
				size = len(data)
			}
			b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/1e6, "state-MB")
			b.ReportMetric(float64(size)/1e6, "snapshot-MB")
			runtime.KeepAlive(log)
		})
	}
}

// BenchmarkApply measures applying one batch that grants and completes 72 tasks,
// which is one second at the peak load of the design target.
func BenchmarkApply(b *testing.B) {
	const tasks = 72
	for b.Loop() {
		b.StopTimer()
		log := newTestLog("w1")
		log.appendBatch("w1", claim(1), config("t", 0, `{"batch": {"b": {"cpu": 1}}}`), job("t", "k", tasks))
		id := ident.BatchJob("t", "k")
		g, r := &schema.Grants{}, &schema.Results{}
		for n := range uint32(tasks) {
			ref := &schema.TaskRef{Job: id, Index: n, Epoch: 1}
			vm := fmt.Sprintf("vm-%d", n)
			g.Vms = append(g.Vms, &schema.VMGrants{Vm: vm, Tasks: []*schema.TaskRef{ref}})
			r.Results = append(r.Results, &schema.Result{Task: ref, Vm: vm, Outcome: schema.Outcome_OUTCOME_COMPLETED})
		}
		b.StartTimer()
		log.appendBatch("w1", &schema.Record{Cell: "main", Term: 1, Body: &schema.Record_Grants{Grants: g}},
			&schema.Record{Cell: "main", Term: 1, Body: &schema.Record_Results{Results: r}})
	}
}

// BenchmarkDecode measures how an entry that starts restores the state from a
// snapshot of the design target's size.
func BenchmarkDecode(b *testing.B) {
	state := newFilledLog(3200, 50_000).fold.Encode()
	for b.Loop() {
		fold.Decode(state)
	}
}
