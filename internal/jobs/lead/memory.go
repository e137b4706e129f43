package lead

import (
	"fmt"
	"slices"
	"time"

	"github.com/ebonyarch/ebonyarch/internal/base/codec"
	"github.com/ebonyarch/ebonyarch/internal/plat/port"
)

const (
	// learnedKey is the key of the record of what leaders learned.
	learnedKey = "learned"
	// learnedEvery spaces the records; each goes along with changes of jobs.
	learnedEvery = 3 * time.Second
	// maxLearned bounds the pairs of images in a record.
	maxLearned = 512
	// staleDev is the doubt that is added to what an earlier leader learned.
	staleDev = 0.15
)

// learned is what a leader leaves to the next one: losing it costs only time, until it
// is learned again.
type learned struct {
	_ struct{} `cbor:",toarray"`
	// Pairs holds what fillers of an image add to lasting tasks of another.
	Pairs []learnedPair
	// Least holds the least tail latency measured of lasting tasks of an image.
	Least []learnedLeast
	// Works holds the mean work of each queue's jobs.
	Works []learnedWork
}

type learnedPair struct {
	_               struct{} `cbor:",toarray"`
	Lasting, Filler string
	// Part is what a filler that uses a whole VM adds to a utilization.
	Part, Variance float64
}

type learnedLeast struct {
	_     struct{} `cbor:",toarray"`
	Image string
	// Tail is in milliseconds.
	Tail float64
}

type learnedWork struct {
	_     struct{} `cbor:",toarray"`
	Queue string
	// Mean is in core-seconds, of so many jobs.
	Mean float64
	Jobs int
}

// remember returns the record of what was learned, if one is due.
func (l *Leader) remember(now time.Time) ([]port.Record, error) {
	if now.Sub(l.rememberedAt) < learnedEvery || len(l.harm.parts) == 0 {
		return nil, nil
	}
	l.rememberedAt = now
	var m learned
	for pair, p := range l.harm.parts {
		if len(m.Pairs) < maxLearned {
			m.Pairs = append(m.Pairs, learnedPair{Lasting: pair.lasting, Filler: pair.filler, Part: p.mean, Variance: p.variance})
		}
	}
	for image, tail := range l.harm.least {
		m.Least = append(m.Least, learnedLeast{Image: image, Tail: tail})
	}
	for queue, w := range l.timely.works {
		m.Works = append(m.Works, learnedWork{Queue: queue, Mean: w.value, Jobs: w.n})
	}
	data, err := codec.Marshal(m)
	if err != nil {
		return nil, fmt.Errorf("what was learned: %w", err)
	}
	return []port.Record{{Key: learnedKey, Value: data}}, nil
}

// RestoreEstimates takes over what an earlier leader learned, if the store's records hold it.
func (l *Leader) RestoreEstimates(now time.Time, records []port.Record) error {
	i := slices.IndexFunc(records, func(r port.Record) bool { return r.Key == learnedKey })
	if i < 0 {
		return nil
	}
	var m learned
	if err := codec.Unmarshal(records[i].Value, &m); err != nil {
		return fmt.Errorf("record %q: %w", learnedKey, err)
	}
	l.rememberedAt = now
	l.harm.init()
	for _, p := range m.Pairs {
		if p.Part >= 0 && p.Part <= mostPress && p.Variance >= 0 {
			variance := min(p.Variance+staleDev*staleDev, firstPressDev*firstPressDev)
			l.harm.parts[imagePair{p.Lasting, p.Filler}] = &estimate{mean: p.Part, variance: variance, at: now}
		}
	}
	for _, image := range m.Least {
		if image.Tail > 0 {
			l.harm.least[image.Image] = image.Tail
		}
	}
	for _, w := range m.Works {
		if w.Mean > 0 && w.Jobs > 0 {
			l.timely.recall(w.Queue, w.Mean, w.Jobs)
		}
	}
	l.log.Info("took over what was learned", "pairs", len(m.Pairs), "queues", len(m.Works), "epoch", l.epoch)
	return nil
}
