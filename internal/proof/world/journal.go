package world

import (
	"context"
	"errors"
	"time"

	"github.com/ebonyarch/ebonyarch/internal/node/core"
	"github.com/ebonyarch/ebonyarch/internal/plat/port"
	"github.com/ebonyarch/ebonyarch/internal/state/fold"
	"github.com/ebonyarch/ebonyarch/internal/state/frame"
	"github.com/ebonyarch/ebonyarch/internal/wire/schema"
)

// read starts a read of the next log entries, as the entry's process does in a
// loop.
func (e *Entry) read() {
	if e.reading || e.world.logDown(e.Proc) {
		return
	}
	e.reading = true
	e.startRead(func(core.LogRead, error) { e.reading = false })
}

// startRead reads the next log entries, applies them and calls done. While the process
// is paused, the response waits.
func (e *Entry) startRead(done func(core.LogRead, error)) {
	w, incarnation, read := e.world, e.incarnation, e.Core.StartRead(e.clock())
	w.After(w.LogLatency/2, func() {
		if e.Dead || e.incarnation != incarnation {
			return
		}
		const maxEntries = 200
		entries, _, err := w.Log.Read(context.Background(), read.From, maxEntries, 0)
		if w.logDown(e.Proc) {
			err = errLogDown
		}
		w.runAfter(e.Proc, w.LogLatency/2, func() {
			if w.logDown(e.Proc) {
				err = errLogDown
			}
			e.finishRead(read, entries, len(entries) < maxEntries, err)
			done(read, err)
		})
	})
}

var errLogDown = errors.New("log is down")

// finishRead applies the result of a read of the log.
func (e *Entry) finishRead(read core.LogRead, entries []port.Entry, atEnd bool, err error) {
	switch {
	case errors.Is(err, port.ErrDeleted):
		e.reload()
	case err == nil:
		e.Core.Read(e.clock(), read, entries, atEnd)
		e.deliverResults()
		e.checkRevisions()
		e.appendPending()
	}
}

// readForBarriers reads the log while read barriers wait.
func (e *Entry) readForBarriers() {
	if e.barrierReading || !e.Core.BarriersPending() {
		return
	}
	e.barrierReading = true
	e.startRead(func(read core.LogRead, err error) {
		e.barrierReading = false
		if err != nil {
			e.Core.ReadFailed(read)
			e.deliverResults()
		}
		e.readForBarriers()
	})
}

// reload replaces the state after the log deleted entries that this one has not
// read. It takes the state of another entry that is ahead, or else the latest
// snapshot in the log.
func (e *Entry) reload() {
	for _, peer := range e.world.Entries {
		if peer != e && !peer.Dead && peer.Core.Ready() && peer.Core.Fold().Next() > e.Core.Fold().Next() {
			e.Core.Reload(e.clock(), peer.Core.Fold().Encode())
			return
		}
	}
	var loader fold.SnapshotLoader
	_, from, _ := e.world.Log.Read(context.Background(), 1, 1, 0)
	entries, _, _ := e.world.Log.Read(context.Background(), from, 1<<20, 0)
	for _, entry := range entries {
		if batch, err := frame.Decode(entry.Data); err == nil {
			loader.Scan(batch)
		}
	}
	if loader.State() != nil {
		e.Core.Reload(e.clock(), loader.State())
	}
}

// appendPending appends the next batch of the writer. If a batch is not due yet,
// it tries again when it is.
func (e *Entry) appendPending() {
	wr := e.Core.Writer()
	data, ok := wr.Next(e.clock())
	if !ok {
		if at := wr.NextAt(); !at.IsZero() {
			e.world.runAfter(e.Proc, max(at.Sub(e.clock()), time.Millisecond), e.appendPending)
		}
		return
	}
	for _, s := range stepsOf(data) {
		if e.world.reachStep(s, e.Proc) {
			return
		}
	}
	e.append(data)
}

// stepsOf returns the steps that the records of a batch stand for.
func stepsOf(data []byte) []Step {
	steps := []Step{Append}
	batch, err := frame.Decode(data)
	if err != nil {
		return steps
	}
	for _, r := range batch.GetRecords() {
		switch body := r.GetBody().(type) {
		case *schema.Record_Grants:
			steps = append(steps, Place)
		case *schema.Record_Cancel:
			steps = append(steps, Cancel)
		case *schema.Record_Config:
			steps = append(steps, Publish)
		case *schema.Record_Part, *schema.Record_Mark:
			steps = append(steps, Snapshot)
		case *schema.Record_Claim:
			if body.Claim.GetTerm() > 1 {
				steps = append(steps, Takeover)
			}
		case *schema.Record_Results:
			for _, result := range body.Results.GetResults() {
				if result.GetOutcome() == schema.Outcome_OUTCOME_COMPLETED {
					steps = append(steps, Complete)
					break
				}
			}
		}
	}
	return steps
}

// append appends a batch to the log. The entry's append faults may delay or
// duplicate it, or lose the reply.
func (e *Entry) append(data []byte) {
	w := e.world
	latency := w.LogLatency
	lose, duplicate, delay := e.loseAppendReply, e.duplicateAppend, e.delayAppend
	e.loseAppendReply, e.duplicateAppend, e.delayAppend = false, false, 0
	const appendTimeout = 5 * time.Second
	finished := false
	finish := func(offset uint64, err error) {
		if finished {
			return
		}
		finished = true
		e.Core.Writer().Appended(e.clock(), offset, err)
		e.appendPending()
	}
	w.After(latency/2+delay, func() {
		if w.logDown(e.Proc) {
			w.runAfter(e.Proc, latency/2, func() { finish(0, errLogDown) })
			return
		}
		offset, err := w.Log.Append(context.Background(), data)
		if duplicate {
			w.After(time.Second, func() { _, _ = w.Log.Append(context.Background(), data) })
		}
		if !lose {
			w.runAfter(e.Proc, latency/2, func() { finish(offset, err) })
		}
	})
	w.runAfter(e.Proc, appendTimeout, func() { finish(0, errors.New("append timed out")) })
}
