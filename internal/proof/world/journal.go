package world

import (
	"context"
	"errors"
	"time"

	"github.com/ebonyarch/ebonyarch/internal/plat/port"
	"github.com/ebonyarch/ebonyarch/internal/state/fold"
	"github.com/ebonyarch/ebonyarch/internal/state/frame"
	"github.com/ebonyarch/ebonyarch/internal/wire/schema"
)

// read reads the log as the process's own loop does.
func (e *Entry) read() {
	if e.reading || e.world.logDown(e.Proc) {
		return
	}
	e.reading = true
	e.world.on(e.Proc, e.world.LogLatency, func() {
		e.reading = false
		if e.world.logDown(e.Proc) {
			return
		}
		const most = 200
		entries, _, err := e.world.Log.Read(context.Background(), e.Core.Fold().Next(), most, 0)
		if errors.Is(err, port.ErrDeleted) {
			e.reload()
			return
		}
		e.Core.Read(e.clock(), entries, len(entries) < most)
		e.deliver()
		e.observe()
		e.pump()
	})
}

// reload starts anew from another entry's state, or from the log's snapshot.
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

// pump appends what the core wants to write.
func (e *Entry) pump() {
	wr := e.Core.Writer()
	data, ok := wr.Next(e.clock())
	if !ok {
		if at := wr.NextAt(); !at.IsZero() {
			e.world.on(e.Proc, max(at.Sub(e.clock()), time.Millisecond), e.pump)
		}
		return
	}
	for _, s := range stepsOf(data) {
		if e.world.step(s, e.Proc) {
			return
		}
	}
	e.append(data)
}

// stepsOf names the steps that a batch is.
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

// append gives a batch to the log, which may take it late, twice or without
// answering.
func (e *Entry) append(data []byte) {
	w := e.world
	latency := w.LogLatency
	lose, double, delay := e.loseAck, e.doubleAppend, e.delayAppend
	e.loseAck, e.doubleAppend, e.delayAppend = false, false, 0
	const appendTimeout = 5 * time.Second
	answered := false
	answer := func(offset uint64, err error) {
		if answered {
			return
		}
		answered = true
		e.Core.Writer().Appended(e.clock(), offset, err)
		e.pump()
	}
	w.After(latency/2+delay, func() {
		if w.logDown(e.Proc) {
			w.on(e.Proc, latency/2, func() { answer(0, errors.New("log is down")) })
			return
		}
		offset, err := w.Log.Append(context.Background(), data)
		if double {
			w.After(time.Second, func() { _, _ = w.Log.Append(context.Background(), data) })
		}
		if !lose {
			w.on(e.Proc, latency/2, func() { answer(offset, err) })
		}
	})
	w.on(e.Proc, appendTimeout, func() { answer(0, errors.New("append timed out")) })
}
