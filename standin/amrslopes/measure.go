package amrslopes

import (
	"context"
	"fmt"
	"runtime"
	"time"

	"github.com/jonboulle/clockwork"
)

const repeats = 5

// measure is a cost to be measured at several sizes.
type measure struct {
	name  string
	role  string
	unit  string
	per   string
	sizes []int
	cost  func(m *meter, size int) (float64, error)
}

// meter measures time and memory.
type meter struct {
	clock clockwork.Clock
}

// Run makes all measurements and tells progress of each.
func Run(ctx context.Context, clock clockwork.Clock, progress func(name string, size int)) ([]Slope, error) {
	m := &meter{clock: clock}
	var slopes []Slope
	for _, what := range measures() {
		s := Slope{Name: what.name, Role: what.role, Unit: what.unit, Per: what.per}
		for _, size := range what.sizes {
			if err := ctx.Err(); err != nil {
				return nil, err
			}
			progress(what.name, size)
			cost, err := what.cost(m, size)
			if err != nil {
				return nil, fmt.Errorf("measure %s at %d: %w", what.name, size, err)
			}
			s.Points = append(s.Points, Point{Size: size, Cost: cost})
		}
		slopes = append(slopes, s.fit())
	}
	return slopes, nil
}

// memory returns the bytes of heap that what build returns holds.
func (m *meter) memory(build func() any) float64 {
	before := heap()
	kept := build()
	after := heap()
	runtime.KeepAlive(kept)
	runtime.KeepAlive(build) // And what it was built from.
	return float64(after) - float64(before)
}

func heap() uint64 {
	runtime.GC()
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}

// elapsed returns the shortest of several times that work took.
func (m *meter) elapsed(work func()) time.Duration {
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
