package amrslopes

import (
	"context"
	"fmt"
	"runtime"
	"time"

	"github.com/jonboulle/clockwork"
)

// repeats is the number of runs of which shortestRun takes the shortest.
const repeats = 5

// measurement describes a cost and the sizes at which it is measured.
type measurement struct {
	name  string
	role  string // role is the part of the system that bears the cost.
	unit  string // unit is the unit of the cost.
	per   string // per names one unit of the size.
	sizes []int
	cost  func(m *meter, size int) (float64, error) // cost measures the cost at the size, not divided by the size.
}

// meter measures durations and heap memory.
type meter struct {
	clock clockwork.Clock
}

// Run takes all measurements, one after the other, and returns a fitted slope
// for each. It calls progress before each size of a measurement. It returns the
// first error of a measurement, or that of ctx if ctx is done.
func Run(ctx context.Context, clock clockwork.Clock, progress func(name string, size int)) ([]Slope, error) {
	m := &meter{clock: clock}
	var slopes []Slope
	for _, measurement := range measurements() {
		s := Slope{Name: measurement.name, Role: measurement.role, Unit: measurement.unit, Per: measurement.per}
		for _, size := range measurement.sizes {
			if err := ctx.Err(); err != nil {
				return nil, err
			}
			progress(measurement.name, size)
			cost, err := measurement.cost(m, size)
			if err != nil {
				return nil, fmt.Errorf("measure %s at %d: %w", measurement.name, size, err)
			}
			s.Points = append(s.Points, Point{Size: size, Cost: cost})
		}
		slopes = append(slopes, s.fit())
	}
	return slopes, nil
}

// retainedHeap returns the number of heap bytes that the value returned by
// build retains.
func (m *meter) retainedHeap(build func() any) float64 {
	before := heapBytes()
	built := build()
	after := heapBytes()
	runtime.KeepAlive(built)
	// The values that build captures are in both readings and must not be
	// collected between them.
	runtime.KeepAlive(build)
	return float64(after) - float64(before)
}

// heapBytes returns the number of bytes of live heap objects. It collects
// garbage twice, since some objects, such as those in a sync.Pool, survive one
// collection.
func heapBytes() uint64 {
	runtime.GC()
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}

// shortestRun calls work several times and returns the shortest duration of a
// call, which other load on the machine affects least.
func (m *meter) shortestRun(work func()) time.Duration {
	shortest := time.Duration(0)
	for i := range repeats {
		start := m.clock.Now()
		work()
		if took := m.clock.Since(start); i == 0 || took < shortest {
			shortest = took
		}
	}
	return shortest
}
