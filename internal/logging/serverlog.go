package logging

import (
	"bytes"
	"log"
	"log/slog"
	"sync"
	"time"
)

const (
	// maxServerLines bounds the lines of an HTTP server in serverLineInterval. Callers can cause them.
	maxServerLines     = 10
	serverLineInterval = time.Second
	// maxServerLineBytes bounds one line; that of a panic has a stack of up to 64 KiB.
	maxServerLineBytes = 8 << 10
)

// NewServerLog returns a logger for http.Server.ErrorLog, which passes lines on at warning level. Lines beyond maxServerLines in a
// second are dropped, and their number is part of the next line.
func NewServerLog(logger *slog.Logger) *log.Logger {
	return log.New(&serverLog{logger: logger, now: time.Now}, "", 0)
}

type serverLog struct {
	logger *slog.Logger
	now    func() time.Time

	mu      sync.Mutex
	since   time.Time // begin of the current interval
	lines   int       // passed on in it
	dropped int       // since the last line that was passed on
}

// Write implements io.Writer for one line. It never returns an error.
func (l *serverLog) Write(line []byte) (int, error) {
	if dropped, ok := l.admit(); ok {
		text := bytes.TrimSpace(line)
		l.logger.Warn("HTTP server reports an error.", "error", string(text[:min(len(text), maxServerLineBytes)]), "dropped", dropped)
	}
	return len(line), nil
}

// admit reports whether another line is passed on, and how many were dropped before it.
func (l *serverLog) admit() (dropped int, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if now := l.now(); now.Sub(l.since) >= serverLineInterval {
		l.since, l.lines = now, 0
	}
	if l.lines >= maxServerLines {
		l.dropped++
		return 0, false
	}
	l.lines++
	dropped, l.dropped = l.dropped, 0
	return dropped, true
}
