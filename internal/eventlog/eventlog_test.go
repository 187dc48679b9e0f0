package eventlog

import (
	"bytes"
	"encoding/json"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/charmbracelet/log"
)

// blockedWriter is a writer that blocks until it is released.
type blockedWriter struct {
	release chan struct{}
	mu      sync.Mutex
	lines   bytes.Buffer
}

func (w *blockedWriter) Write(p []byte) (int, error) {
	<-w.release
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.lines.Write(p)
}

// A blocked log reader must not block the callers of the logger, and the number
// of dropped lines must be reported.
func TestStuckWriterHoldsNobodyUp(t *testing.T) {
	w := &blockedWriter{release: make(chan struct{})}
	l := New(w, log.InfoLevel, "vm", "vm-1")
	began := time.Now()
	for i := range 5 * maxBurstLines {
		l.Info("line", "n", i)
	}
	l.Warn("trouble")
	if took := time.Since(began); took > 2*time.Second {
		t.Errorf("logging to a blocked writer took %v, want at most 2s", took)
	}
	close(w.release)
	l.Close()
	l.Info("after the end")
	lines := strings.Split(strings.TrimSpace(w.lines.String()), "\n")
	if len(lines) > 2*maxBurstLines {
		t.Errorf("%d lines written, want at most twice the burst", len(lines))
	}
	var last struct {
		Msg, VM string
		Dropped int `json:"lines_dropped"`
	}
	if err := json.Unmarshal([]byte(lines[len(lines)-1]), &last); err != nil {
		t.Fatal(err)
	}
	if last.Msg != "trouble" || last.VM != "vm-1" || last.Dropped == 0 {
		t.Errorf("last line is %s, want the warning with vm and lines_dropped", lines[len(lines)-1])
	}
}

func TestNilLogger(t *testing.T) {
	var l *Logger
	l.Info("nothing")
	l.Warn("nothing")
	l.Close()
}
