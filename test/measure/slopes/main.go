// Command slopes measures how the memory, time and traffic of each role grow with its size. It
// measures each figure at three or more sizes, fits a straight line and prints name=value lines.
// docs/CAPACITY.md is derived from them.
package main

import (
	"fmt"
	"math"
	"runtime"
	"time"

	"gonum.org/v1/gonum/stat"
)

// series is a figure that is measured at several sizes.
type series struct {
	name     string
	unit     string // unit of the figure
	sizeUnit string // what the size counts, in the singular
	sizes    []int
	measure  func(size int) float64
}

func main() {
	for _, group := range [][]series{configSeries(), entrySeries(), telemetrySeries(), dispatchSeries(), trafficSeries()} {
		for _, s := range group {
			s.print()
		}
	}
}

// print measures the series and prints the points, the fitted line and the largest residual
// relative to its point.
func (s series) print() {
	var xs, ys []float64
	for _, size := range s.sizes {
		y := s.measure(size)
		fmt.Printf("%s.%s_at_%d_%s=%.4g\n", s.name, s.unit, size, s.sizeUnit, y)
		xs = append(xs, float64(size))
		ys = append(ys, y)
	}
	intercept, slope := stat.LinearRegression(xs, ys, nil, false)
	residual := 0.0
	for i := range xs {
		residual = max(residual, math.Abs(intercept+slope*xs[i]-ys[i])/math.Abs(ys[i]))
	}
	fmt.Printf("%s.%s_per_%s=%.4g\n", s.name, s.unit, s.sizeUnit, slope)
	fmt.Printf("%s.%s_base=%.4g\n", s.name, s.unit, intercept)
	fmt.Printf("%s.residual_percent=%.1f\n", s.name, 100*residual)
}

// minMeasureTime is the minimum time over which work is repeated for one figure.
const minMeasureTime = 200 * time.Millisecond

// microsecondsPerCall returns the mean wall time of one call of work, after one warm-up call.
func microsecondsPerCall(work func()) float64 {
	work()
	runs := 0
	start := time.Now()
	for time.Since(start) < minMeasureTime {
		work()
		runs++
	}
	return float64(time.Since(start).Microseconds()) / float64(runs)
}

// heapGrowth returns the bytes of live heap that the value returned by build occupies.
func heapGrowth(build func() any) float64 {
	before := liveHeap()
	built := build()
	after := liveHeap()
	runtime.KeepAlive(built)
	return float64(after) - float64(before)
}

func liveHeap() uint64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}
