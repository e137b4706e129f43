package lead

import (
	"fmt"
	"slices"
	"time"

	"github.com/ebonyarch/ebonyarch/internal/base/codec"
	"github.com/ebonyarch/ebonyarch/internal/plat/port"
)

const (
	// learnedKey is the key of the record that holds a leader's estimates.
	learnedKey = "learned"
	// learnedInterval is the minimum time between such records. They are only written
	// together with changes of jobs.
	learnedInterval = 3 * time.Second
	// maxLearnedBytes bounds the size of a record, learnedItemBytes that of an estimate without its
	// names. Estimates beyond it are left out.
	maxLearnedBytes  = 32 << 10
	learnedItemBytes = 40
	// inheritedStdDev is the standard deviation that is added to the coefficients of an
	// earlier leader, since they may be out of date.
	inheritedStdDev = 0.15
)

// learned is the record of the estimates that a leader leaves to the next one. Its loss
// only costs the time to measure them again.
type learned struct {
	_ struct{} `cbor:",toarray"`
	// Pairs holds the interference coefficients.
	Pairs []learnedPair
	// MinLatencies holds the lowest tail latency measured of each image's long-running
	// tasks.
	MinLatencies []learnedLatency
	// QueueWork holds the mean work of each queue's jobs.
	QueueWork []learnedWork
}

// learnedPair is the interference coefficient of best-effort tasks of one image on
// long-running tasks of another.
type learnedPair struct {
	_                       struct{} `cbor:",toarray"`
	LongRunning, BestEffort string
	// Coefficient is the utilization added by a best-effort task that uses all of a VM's
	// processors.
	Coefficient, Variance float64
}

// learnedLatency is the lowest tail latency measured of an image.
type learnedLatency struct {
	_     struct{} `cbor:",toarray"`
	Image string
	// Latency is in milliseconds.
	Latency float64
}

// learnedWork is the mean work of a queue's jobs.
type learnedWork struct {
	_     struct{} `cbor:",toarray"`
	Queue string
	// Mean is in core-seconds, Jobs the number of jobs that it is taken from.
	Mean float64
	Jobs int
}

// learnedRecord returns the record of the estimates, if one is due.
func (l *Leader) learnedRecord(now time.Time) ([]port.Record, error) {
	if now.Sub(l.estimatesSavedAt) < learnedInterval || len(l.interference.coefficients) == 0 {
		return nil, nil
	}
	l.estimatesSavedAt = now
	var m learned
	size := 0
	fits := func(names ...string) bool {
		item := learnedItemBytes
		for _, name := range names {
			item += len(name)
		}
		if size+item > maxLearnedBytes {
			return false
		}
		size += item
		return true
	}
	for queue, w := range l.onTimePlan.queueWork {
		if fits(queue) {
			m.QueueWork = append(m.QueueWork, learnedWork{Queue: queue, Mean: w.value, Jobs: w.n})
		}
	}
	for image, latency := range l.interference.minLatency {
		if fits(image) {
			m.MinLatencies = append(m.MinLatencies, learnedLatency{Image: image, Latency: latency})
		}
	}
	for pair, c := range l.interference.coefficients {
		if fits(pair.longRunning, pair.bestEffort) {
			m.Pairs = append(m.Pairs, learnedPair{LongRunning: pair.longRunning, BestEffort: pair.bestEffort, Coefficient: c.mean, Variance: c.variance})
		}
	}
	data, err := codec.Marshal(m)
	if err != nil {
		return nil, fmt.Errorf("encode the learned estimates: %w", err)
	}
	return []port.Record{{Key: learnedKey, Value: data}}, nil
}

// RestoreEstimates loads the estimates of an earlier leader, if the records contain them.
func (l *Leader) RestoreEstimates(now time.Time, records []port.Record) error {
	i := slices.IndexFunc(records, func(r port.Record) bool { return r.Key == learnedKey })
	if i < 0 {
		return nil
	}
	var m learned
	if err := codec.Unmarshal(records[i].Value, &m); err != nil {
		return fmt.Errorf("record %q: %w", learnedKey, err)
	}
	l.estimatesSavedAt = now
	l.interference.initMaps()
	for _, pair := range m.Pairs {
		if pair.Coefficient >= 0 && pair.Coefficient <= maxCoefficient && pair.Variance >= 0 {
			variance := min(pair.Variance+inheritedStdDev*inheritedStdDev, initialCoefficientStdDev*initialCoefficientStdDev)
			l.interference.addCoefficient(imagePair{pair.LongRunning, pair.BestEffort}, &estimate{mean: pair.Coefficient, variance: variance, at: now})
		}
	}
	for _, image := range m.MinLatencies {
		if image.Latency > 0 {
			l.interference.minLatency[image.Image] = image.Latency
		}
	}
	for _, w := range m.QueueWork {
		if w.Mean > 0 && w.Jobs > 0 {
			l.onTimePlan.restoreWork(w.Queue, w.Mean, w.Jobs)
		}
	}
	l.log.Info("restored the estimates of an earlier leader", "pairs", len(m.Pairs), "queues", len(m.QueueWork), "epoch", l.epoch)
	return nil
}
