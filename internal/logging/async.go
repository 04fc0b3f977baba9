package logging

import (
	"bytes"
	"fmt"
	"io"
	"sync"
	"time"
)

const (
	// asyncBytes bounds the bytes that wait for the writer; lines beyond are dropped.
	asyncBytes = 256 << 10
	// asyncInterval is the time between two writes.
	asyncInterval = 100 * time.Millisecond
)

// Async is a writer that never blocks: a goroutine writes what was collected, and lines
// that find no room are counted and dropped.
type AsyncWriter struct {
	to      io.Writer
	mu      sync.Mutex
	waiting bytes.Buffer
	dropped int
	done    chan struct{}
	ended   chan struct{}
}

// NewAsync returns a writer to another one. Close it to write what waits.
func NewAsyncWriter(to io.Writer) *AsyncWriter {
	a := &AsyncWriter{to: to, done: make(chan struct{}), ended: make(chan struct{})}
	go a.run()
	return a
}

// Write collects one line.
func (a *AsyncWriter) Write(line []byte) (int, error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.waiting.Len()+len(line) > asyncBytes {
		a.dropped++
		return len(line), nil
	}
	return a.waiting.Write(line)
}

// Close writes what waits and ends the goroutine.
func (a *AsyncWriter) Close() error {
	close(a.done)
	<-a.ended
	return nil
}

func (a *AsyncWriter) run() {
	defer close(a.ended)
	var out bytes.Buffer
	for {
		stopping := false
		select {
		case <-a.done:
			stopping = true
		case <-time.After(asyncInterval):
		}
		a.mu.Lock()
		out.Reset()
		out.Write(a.waiting.Bytes())
		a.waiting.Reset()
		if a.dropped > 0 {
			fmt.Fprintf(&out, "level=WARN msg=\"daemon: Log lines dropped.\" lines=%d\n", a.dropped)
			a.dropped = 0
		}
		a.mu.Unlock()
		if out.Len() > 0 {
			_, _ = a.to.Write(out.Bytes()) // a log that can't be written has no other place
		}
		if stopping {
			return
		}
	}
}
