// Package eventlog writes structured log lines without ever blocking the
// caller.
//
// Lines go through a bounded channel to one writer goroutine. Lines beyond the
// rate limit, or that find the channel full, are dropped and counted; the next
// line that is written reports how many. Warnings have a rate limit of their
// own, so that a flood of informational lines cannot displace them.
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
	// maxLinesPerSecond bounds the lines of each level. Writing that many takes
	// under a hundredth of the time of a third of a CPU core.
	maxLinesPerSecond = 150
	// maxBurstLines bounds the lines of each level in a burst, such as at
	// startup.
	maxBurstLines = 300
	// maxQueuedLines bounds the lines that wait for the writer.
	maxQueuedLines = 512
)

// Logger writes JSON lines. It is safe for concurrent use. A nil Logger
// discards all lines.
type Logger struct {
	logger      *log.Logger
	lines       chan []byte
	infoLimiter *rate.Limiter
	warnLimiter *rate.Limiter
	dropped     atomic.Uint64
	done        chan struct{}
	closeOnce   sync.Once
	mu          sync.RWMutex // guards closed; held for reading while a line is sent
	closed      bool
}

// New returns a logger that writes to w, with the fields on each line. Close
// stops it.
func New(w io.Writer, level log.Level, fields ...any) *Logger {
	l := &Logger{
		lines:       make(chan []byte, maxQueuedLines),
		infoLimiter: rate.NewLimiter(maxLinesPerSecond, maxBurstLines),
		warnLimiter: rate.NewLimiter(maxLinesPerSecond, maxBurstLines),
		done:        make(chan struct{}),
	}
	l.logger = log.NewWithOptions(lineQueue{l}, log.Options{
		Level:           level,
		Formatter:       log.JSONFormatter,
		ReportTimestamp: true,
		TimeFormat:      time.RFC3339Nano,
	}).With(fields...)
	go l.writeLoop(w)
	return l
}

// Info logs a change of state or a decision about a request.
func (l *Logger) Info(msg string, fields ...any) {
	if l != nil && l.allow(l.infoLimiter) {
		l.logger.Info(msg, l.withDropped(fields)...)
	}
}

// Warn logs a failure.
func (l *Logger) Warn(msg string, fields ...any) {
	if l != nil && l.allow(l.warnLimiter) {
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

// lineQueue is the io.Writer that queues formatted lines.
type lineQueue struct{ logger *Logger }

// Write never blocks; a line is dropped if the channel is full.
func (q lineQueue) Write(line []byte) (int, error) {
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

func (l *Logger) writeLoop(w io.Writer) {
	defer close(l.done)
	for line := range l.lines {
		// There is no other place to report that standard output fails.
		_, _ = w.Write(line)
	}
}

// Close writes the queued lines and stops the logger. Later lines are
// discarded.
func (l *Logger) Close() {
	if l == nil {
		return
	}
	l.closeOnce.Do(func() {
		l.mu.Lock()
		l.closed = true
		l.mu.Unlock()
		close(l.lines)
		<-l.done
	})
}
