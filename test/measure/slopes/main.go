// Command slopes measures how the state and the processor time of each role grow, at three
// or more sizes each, and fits a straight line. It prints name=value lines, from which
// docs/CAPACITY.md is worked out.
package main

import (
	"fmt"
	"math"
	"runtime"
	"time"

	"gonum.org/v1/gonum/stat"
)

// series is a figure that grows with a size.
type series struct {
	name     string
	unit     string // of the figure
	sizeUnit string // what the size counts
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

// report prints the points, the line and the largest residual relative to its point.
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

// minTime is how long a piece of work is repeated for one figure.
const minMeasureTime = 200 * time.Millisecond

// microseconds returns the processor time of one run of work.
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

// heapBytes returns the live heap that build leaves behind.
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
