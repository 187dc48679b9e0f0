// Package eventlog writes structured log lines that never hold up their caller.
//
// Lines go through a bounded channel to one writer. Past the rate or a full
// channel they are dropped and counted; the next line that is written says how
// many. Warnings have a rate of their own, so that a flood of ordinary lines
// cannot hide them.
package eventlog

import (
	"bytes"
	"io"
	"sync"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"
	"golang.org/x/time/rate"
)

const (
	// linesPerSecond bounds the lines of each level: a processor share of a third
	// writes them in under a hundredth of its time.
	linesPerSecond = 150
	// burstLines may follow each other at once, such as at a start.
	burstLines = 300
	// waitingLines is the most lines that wait for the writer.
	waitingLines = 512
)

// Logger writes JSON lines. It is safe for concurrent use. A nil Logger writes
// nothing.
type Logger struct {
	logger  *log.Logger
	lines   chan []byte
	info    *rate.Limiter
	warn    *rate.Limiter
	dropped atomic.Uint64
	done    chan struct{}
	closing sync.Once
	mu      sync.RWMutex // guards closed against sends
	closed  bool
}

// New returns a logger that writes to w with fields on each line. Close ends it.
func New(w io.Writer, level log.Level, fields ...any) *Logger {
	l := &Logger{
		lines: make(chan []byte, waitingLines),
		info:  rate.NewLimiter(linesPerSecond, burstLines),
		warn:  rate.NewLimiter(linesPerSecond, burstLines),
		done:  make(chan struct{}),
	}
	l.logger = log.NewWithOptions(queue{l}, log.Options{
		Level:           level,
		Formatter:       log.JSONFormatter,
		ReportTimestamp: true,
		TimeFormat:      time.RFC3339Nano,
	}).With(fields...)
	go l.write(w)
	return l
}

// Info logs what changed a belief or decided a request.
func (l *Logger) Info(msg string, fields ...any) {
	if l != nil && l.allow(l.info) {
		l.logger.Info(msg, l.withDropped(fields)...)
	}
}

// Warn logs what failed.
func (l *Logger) Warn(msg string, fields ...any) {
	if l != nil && l.allow(l.warn) {
		l.logger.Warn(msg, l.withDropped(fields)...)
	}
}

func (l *Logger) allow(limiter *rate.Limiter) bool {
	if limiter.Allow() {
		return true
	}
	l.dropped.Add(1)
	return false
}

func (l *Logger) withDropped(fields []any) []any {
	if n := l.dropped.Swap(0); n > 0 {
		return append(fields, "lines_dropped", n)
	}
	return fields
}

// queue is the writer of the formatted lines.
type queue struct{ logger *Logger }

// Write never blocks; a line that finds the channel full is dropped.
func (q queue) Write(line []byte) (int, error) {
	l := q.logger
	l.mu.RLock()
	defer l.mu.RUnlock()
	if l.closed {
		return len(line), nil
	}
	select {
	case l.lines <- bytes.Clone(line):
	default:
		l.dropped.Add(1)
	}
	return len(line), nil
}

func (l *Logger) write(w io.Writer) {
	defer close(l.done)
	for line := range l.lines {
		// Nobody is left to tell when standard output fails.
		_, _ = w.Write(line)
	}
}

// Close writes the waiting lines and ends the logger.
func (l *Logger) Close() {
	if l == nil {
		return
	}
	l.closing.Do(func() {
		l.mu.Lock()
		l.closed = true
		l.mu.Unlock()
		close(l.lines)
		<-l.done
	})
}
