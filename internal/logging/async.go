package logging

import (
	"bytes"
	"fmt"
	"io"
	"sync"
	"time"
)

const (
	// maxBufferedBytes bounds the buffered lines; further lines are dropped.
	maxBufferedBytes = 256 << 10
	// flushInterval is the time between two writes to the underlying writer.
	flushInterval = 100 * time.Millisecond
)

// AsyncWriter is a buffered writer whose Write never blocks on the underlying writer, to which a
// goroutine writes. Lines that exceed the buffer are dropped, and their number is logged. It is
// safe for concurrent use.
type AsyncWriter struct {
	out      io.Writer
	mu       sync.Mutex
	buffered bytes.Buffer
	dropped  int
	stop     chan struct{}
	stopped  chan struct{}
}

// NewAsyncWriter returns a writer to out. Close it to flush the buffer.
func NewAsyncWriter(out io.Writer) *AsyncWriter {
	a := &AsyncWriter{out: out, stop: make(chan struct{}), stopped: make(chan struct{})}
	go a.run()
	return a
}

// Write buffers one line, or drops it if it exceeds the buffer. It never returns an error.
func (a *AsyncWriter) Write(line []byte) (int, error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.buffered.Len()+len(line) > maxBufferedBytes {
		a.dropped++
		return len(line), nil
	}
	return a.buffered.Write(line)
}

// Close flushes the buffer and stops the goroutine. It must be called at most once.
func (a *AsyncWriter) Close() error {
	close(a.stop)
	<-a.stopped
	return nil
}

// run flushes the buffer every flushInterval until Close is called.
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
			_, _ = a.out.Write(batch.Bytes()) // there is nowhere else to report a failed write of the log
		}
		if stopping {
			return
		}
	}
}
