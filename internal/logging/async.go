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
	maxBufferedBytes = 256 << 10
	// asyncInterval is the time between two writes.
	flushInterval = 100 * time.Millisecond
)

// Async is a writer that never blocks: a goroutine writes what was collected, and lines
// that find no room are counted and dropped.
type AsyncWriter struct {
	out      io.Writer
	mu       sync.Mutex
	buffered bytes.Buffer
	dropped  int
	stop     chan struct{}
	stopped  chan struct{}
}

// NewAsync returns a writer to another one. Close it to write what waits.
func NewAsyncWriter(out io.Writer) *AsyncWriter {
	a := &AsyncWriter{out: out, stop: make(chan struct{}), stopped: make(chan struct{})}
	go a.run()
	return a
}

// Write collects one line.
func (a *AsyncWriter) Write(line []byte) (int, error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.buffered.Len()+len(line) > maxBufferedBytes {
		a.dropped++
		return len(line), nil
	}
	return a.buffered.Write(line)
}

// Close writes what waits and ends the goroutine.
func (a *AsyncWriter) Close() error {
	close(a.stop)
	<-a.stopped
	return nil
}

func (a *AsyncWriter) run() {
	defer close(a.stopped)
	var batch bytes.Buffer
	for {
		stopping := false
		select {
		case <-a.stop:
			stopping = true
		case <-time.After(flushInterval):
		}
		a.mu.Lock()
		batch.Reset()
		batch.Write(a.buffered.Bytes())
		a.buffered.Reset()
		if a.dropped > 0 {
			fmt.Fprintf(&batch, "level=WARN msg=\"daemon: Log lines dropped.\" lines=%d\n", a.dropped)
			a.dropped = 0
		}
		a.mu.Unlock()
		if batch.Len() > 0 {
			_, _ = a.out.Write(batch.Bytes()) // a log that can't be written has no other place
		}
		if stopping {
			return
		}
	}
}
