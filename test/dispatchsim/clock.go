// Package dispatchsim simulates the dispatch of a small fleet in virtual time. It runs the
// queues and dispatchers of internal/dispatch, delays, duplicates or drops their messages,
// and runs the requests on simulated servers, without sockets or processes.
package dispatchsim

import (
	"container/heap"
	"math/rand/v2"
	"time"
)

type event struct {
	at  time.Time
	seq int
	fn  func()
}

type eventHeap []event

func (e eventHeap) Len() int { return len(e) }
func (e eventHeap) Less(i, j int) bool {
	if e[i].at.Equal(e[j].at) {
		return e[i].seq < e[j].seq
	}
	return e[i].at.Before(e[j].at)
}
func (e eventHeap) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *eventHeap) Push(x any)   { *e = append(*e, x.(event)) }
func (e *eventHeap) Pop() any {
	last := len(*e) - 1
	x := (*e)[last]
	*e = (*e)[:last]
	return x
}

// clock runs events in the order of their virtual times, and events of the same time in the
// order in which they were scheduled.
type clock struct {
	now    time.Time
	seq    int
	events eventHeap
	rand   *rand.Rand
}

func newClock(seed uint64) *clock {
	return &clock{now: time.Unix(1_000_000, 0), rand: rand.New(rand.NewPCG(seed, 1))}
}

func (c *clock) after(d time.Duration, fn func()) {
	c.seq++
	heap.Push(&c.events, event{at: c.now.Add(d), seq: c.seq, fn: fn})
}

func (c *clock) every(d time.Duration, fn func()) {
	c.after(d, func() {
		fn()
		c.every(d, fn)
	})
}

func (c *clock) runUntil(end time.Time) {
	for len(c.events) > 0 && !c.events[0].at.After(end) {
		e := heap.Pop(&c.events).(event)
		c.now = e.at
		e.fn()
	}
	c.now = end
}
