package fleet

import "time"

const (
	// seriesInterval is the time from the begin of one series of faults to that of the next.
	seriesInterval = 5 * time.Second
	// firstOfSeries is the number of the first job of the second series, above those of
	// ScheduleWorkload.
	firstOfSeries = 100
)

// InjectSeries injects several series of late orders. In each of them workers refuse a part of the
// orders, and then agents restart one after the other. Each series but the first brings jobs.
func (w *World) InjectSeries(series int) {
	for i := range series {
		begin := time.Duration(i) * seriesInterval
		w.After(begin, func() { w.lateOrders(4 * time.Second) })
		w.After(begin+500*time.Millisecond, func() { w.RefusedShare = 0.5 })
		w.After(begin+1500*time.Millisecond, func() { w.killAgents(2 * time.Second) })
		w.After(begin+4*time.Second, func() { w.RefusedShare = 0 })
		for n := range 20 * min(i, 1) {
			cancelAfter := time.Duration(n%3) * 300 * time.Millisecond
			w.After(begin+time.Duration(n)*150*time.Millisecond, func() { w.Callers.Submit(firstOfSeries*i+n, cancelAfter) })
		}
	}
}
